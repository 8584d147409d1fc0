package backpressure

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/rendezvous"
)

// What all instances together may send to an endpoint beyond its limit. Their sum stays
// below what engines bear for a few seconds: half of the limit and five requests more.
const (
	// burstTime and burstRequests bound what may be sent at once: what the limit
	// allows in burstTime, and burstRequests more.
	burstTime     = time.Second
	burstRequests = 2
	// probeShare, of the limit, and probeRate, per second, bound the requests of
	// instances without a share.
	probeShare = 0.1
	probeRate  = 0.1
	// probeSlot is how long such an instance may send its request after its wait.
	probeSlot = time.Second
	// unknownProbeWait is the mean time between two of these slots while the number of
	// instances is not known.
	unknownProbeWait = 10 * time.Second
)

// Shares divides limits between the instances. Its fields must be set before use.
type Shares struct {
	Self hbs.InstanceID
	// Others returns the other instances; ok is false while they are not known.
	Others func() (ids []hbs.InstanceID, ok bool)
}

// share is the part of a limit that one instance has.
type share struct {
	// rate is in requests per second, 0 for an instance without a share. burst is the
	// number of requests that may be sent at once.
	rate, burst float64
	// probeWait is the mean time between two slots in which an instance without a
	// share may send.
	probeWait time.Duration
}

// of returns this instance's share of an endpoint's limit (rules 2 and 3). It has none
// while it doesn't know the others.
func (s *Shares) of(e hbs.EndpointID, limit float64) share {
	others, ok := s.Others()
	if !ok {
		return share{probeWait: unknownProbeWait}
	}
	instances := 1 + len(others)
	burst := limit*burstTime.Seconds() + burstRequests
	sharers := int(min(burst, float64(instances)))
	if limit <= probeRate {
		sharers = 0
	}
	if rendezvous.Place(string(e), s.Self, others) < sharers {
		n := float64(sharers)
		return share{rate: limit / n, burst: burst / n}
	}
	wait := float64(instances-sharers) / (probeShare*limit + probeRate)
	return share{probeWait: time.Duration(wait * float64(time.Second))}
}
