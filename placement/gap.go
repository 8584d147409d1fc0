package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// gapTTL is how long the last gap of a stream tells how its endpoint does: a few
	// events, and about as long as a prompt takes to compute.
	gapTTL = 250 * time.Millisecond
	// leastSlowdown is the ratio below which gaps differ as they always do.
	leastSlowdown = 1.6
	// maxSlowdown bounds the ratio: one long gap tells no more than that the
	// endpoint is to be left alone.
	maxSlowdown = 6
)

// lastGap is the last time between two events of a stream (rule 11 of Fleet).
type lastGap struct {
	// ratio is the gap over the usual one of the model.
	ratio float64
	at    time.Time
}

// slowdown returns how many times longer than usual work takes now, at least 1.
func (l *lastGap) slowdown(now time.Time) float64 {
	if l.ratio < leastSlowdown || now.Sub(l.at) > gapTTL {
		return 1
	}
	return min(l.ratio, maxSlowdown)
}

// Gap implements hornbeamstage.Placer.
func (f *Fleet) Gap(p *hbs.Placement, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.running(p)
	if b == nil {
		return
	}
	rates := &b.member.group.rates
	b.member.lastGap = lastGap{ratio: gap.Seconds() / rates.event, at: time.Now()}
	rates.between(gap)
}
