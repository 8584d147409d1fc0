package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// gapTTL is how long the last gap of a stream is taken as the current speed
	// of its endpoint: a few events, and about the time to compute a prompt.
	gapTTL = 250 * time.Millisecond
	// minSlowdown is the ratio below which a gap is within normal variation.
	minSlowdown = 1.6
	// maxSlowdown bounds the ratio. However long a single gap is, it means only
	// that the endpoint should be avoided.
	maxSlowdown = 6
)

// lastGap is the time between the last two events of a stream (rule 11 of
// Placer).
type lastGap struct {
	// ratio is the gap divided by the model's median gap.
	ratio float64
	at    time.Time
}

// slowdown returns how many times slower than usual the endpoint is at the time
// now, at least 1.
func (l *lastGap) slowdown(now time.Time) float64 {
	if l.ratio < minSlowdown || now.Sub(l.at) > gapTTL {
		return 1
	}
	return min(l.ratio, maxSlowdown)
}

// ObserveGap implements hornbeamstage.Placer.
func (p *Placer) ObserveGap(placed *hbs.Placement, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.currentAttempt(placed)
	if a == nil {
		return
	}
	rates := &a.member.group.rates
	a.member.lastGap = lastGap{ratio: gap.Seconds() / rates.eventGap, at: time.Now()}
	rates.observeEventGap(gap)
}
