package limit

import (
	"cmp"
	"math"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// allocation is the part of a workspace's limits that one participant gets.
type allocation struct {
	rate        float64
	concurrency int
	// othersRunning is how many requests the other participants run.
	othersRunning int
}

// splitter splits the limits of one workspace over participants.
type splitter struct {
	participants []participant
	self         string
	// claims returns the published claim of another participant.
	claims func(name string) claim
	// local is the claim of self.
	local claim
	Limits
	// rateFloor and concurrencyFloor are the fractions of the limits that are
	// divided evenly (rule 3).
	rateFloor, concurrencyFloor float64
}

// share returns the share of self.
func (s *splitter) share() allocation {
	self := slices.IndexFunc(s.participants, func(p participant) bool { return p.name == s.self })
	demands := make([]float64, len(s.participants))
	wants := make([]float64, len(s.participants))
	others := 0
	for i, p := range s.participants {
		c := s.local
		if i != self {
			c = s.claims(p.name)
			others += c.Running
		}
		demands[i], wants[i] = c.Demand, c.Wanted
	}
	concurrency := divideByDemand(float64(s.Concurrency), wants, s.participants, s.concurrencyFloor)
	return allocation{
		rate:          divideByDemand(s.RequestsPerSecond, demands, s.participants, s.rateFloor)[self],
		concurrency:   roundToTotal(concurrency, s.Concurrency)[self],
		othersRunning: others,
	}
}

// even returns the share of self if no participant claims anything.
func (s splitter) even() allocation {
	s.claims = func(string) claim { return claim{} }
	s.local = claim{}
	return s.share()
}

// withoutClaim returns the share of self if self claims nothing.
func (s splitter) withoutClaim() allocation {
	s.local = claim{}
	return s.share()
}

// domainSplitter splits the limits over the domains, with local as the claim of
// this domain.
func (l *Limiter) domainSplitter(id hbs.WorkspaceID, limits Limits, local claim) splitter {
	floor := l.Policy.Number(KnobFloor, hbs.Scope{})
	return splitter{
		participants:     l.view.domains,
		self:             string(l.view.domain),
		claims:           func(name string) claim { return l.domains.claim(name, id) },
		local:            local,
		Limits:           limits,
		rateFloor:        floor,
		concurrencyFloor: floor,
	}
}

// instanceSplitter splits part, the domain's part of limits, over the
// domain's instances, with local as the claim of this instance. An instance's
// floor is the same number of requests in all domains.
func (l *Limiter) instanceSplitter(id hbs.WorkspaceID, limits, part Limits, local claim) splitter {
	floor := l.Policy.Number(KnobFloor, hbs.Scope{})
	inDomain, inFleet := 0, 0
	for _, p := range l.view.domains {
		inFleet += p.instances
		if p.name == string(l.view.domain) {
			inDomain = p.instances
		}
	}
	even := floor * float64(inDomain) / float64(inFleet)
	return splitter{
		participants:     l.view.siblings,
		self:             string(l.Self),
		claims:           func(name string) claim { return l.siblings.claim(name, id) },
		local:            local,
		Limits:           part,
		rateFloor:        ratio(even*limits.RequestsPerSecond, part.RequestsPerSecond),
		concurrencyFloor: ratio(even*float64(limits.Concurrency), float64(part.Concurrency)),
	}
}

// ratio returns x as a fraction of total, at most 1.
func ratio(x, total float64) float64 {
	if x >= total {
		return 1
	}
	return x / total
}

// divideByDemand splits limit by demands (rules 2 and 3).
func divideByDemand(limit float64, demands []float64, participants []participant, floor float64) []float64 {
	shares := make([]float64, len(demands))
	instances, sum := 0, 0.0
	for i, d := range demands {
		instances += participants[i].instances
		sum += d
	}
	for i, d := range demands {
		even := float64(participants[i].instances) / float64(instances)
		if sum <= limit {
			shares[i] = d + (limit-sum)*even
			continue
		}
		shares[i] = limit * (floor*even + (1-floor)*d/sum)
	}
	return shares
}

// roundToTotal rounds shares to whole numbers that add up to limit (rule 6).
func roundToTotal(shares []float64, limit int) []int {
	out := make([]int, len(shares))
	order := make([]int, len(shares))
	left := limit
	for i, s := range shares {
		out[i] = int(s)
		order[i] = i
		left -= out[i]
	}
	fraction := func(i int) float64 { return shares[i] - math.Floor(shares[i]) }
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(fraction(y), fraction(x)) })
	for _, i := range order[:min(max(left, 0), len(order))] {
		out[i]++
	}
	return out
}
