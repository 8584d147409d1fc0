package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/load"
)

// Endpoints may tell their load with each answer. Over many answers the part of
// it that is the instance's own is also the instance's part of all demand, which
// sizes the sets of prefixes where instances do not hear each other.

const (
	// shareGain is the weight of one answer in the instance's share.
	shareGain = 0.01
	// leastShare bounds the share.
	leastShare = 1.0 / 256
	// missGain is the weight of one attempt in the mean number of tokens to compute.
	missGain = 0.02
)

// part follows the own and all work at endpoints that tell their load.
type part struct {
	own, all float64
}

func (p *part) add(own, all float64) {
	p.own += shareGain * (own - p.own)
	p.all += shareGain * (all - p.all)
}

// scale returns how many times the own demand all demand is, at least 1.
func (p *part) scale() float64 {
	if p.all <= 0 {
		return 1
	}
	return max(1, 1/max(p.own/p.all, leastShare))
}

// TakeLoad takes the load that an endpoint tells with an answer to this instance.
func (f *Fleet) TakeLoad(id hbs.EndpointID, running, waiting int) {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return
	}
	now := time.Now()
	all := float64(running + waiting)
	if m.rec.Kind == hbs.KindEngine {
		f.part.add(m.ledger.Own().Running, all)
		f.heat.Scale = f.part.scale()
	}
	m.ledger.Report(load.Count{Running: all, Prefill: float64(waiting) * m.group.miss}, now)
}
