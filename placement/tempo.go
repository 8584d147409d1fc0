package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// tempoTTL is how long the last gap of a stream tells how its endpoint does: a
	// few events, and about as long as a prompt takes to compute.
	tempoTTL = 250 * time.Millisecond
	// leastTempo is the ratio below which gaps differ as they always do.
	leastTempo = 1.6
	// maxTempo bounds the ratio: one long gap tells no more than that the endpoint
	// is to be left alone.
	maxTempo = 6
)

// tempo is how an endpoint's streams run at this moment (rule 11 of Fleet).
type tempo struct {
	// ratio is the last gap over the usual one of the model.
	ratio float64
	at    time.Time
}

// slowdown returns how many times longer than usual work takes now, at least 1.
func (t *tempo) slowdown(now time.Time) float64 {
	if t.ratio < leastTempo || now.Sub(t.at) > tempoTTL {
		return 1
	}
	return min(t.ratio, maxTempo)
}

// Gap implements hornbeamstage.Placer.
func (f *Fleet) Gap(p *hbs.Placement, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.bookings[p.Attempt]
	if b == nil || b.life != b.member.life {
		return
	}
	rates := &b.member.group.rates
	b.member.tempo = tempo{ratio: gap.Seconds() / rates.event, at: time.Now()}
	rates.between(gap)
}
