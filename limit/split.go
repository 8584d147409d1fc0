package limit

import (
	"cmp"
	"math"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// split is one party's share of a workspace's limits.
type split struct {
	rate        float64
	concurrency int
	// othersRunning is what the other parties have running.
	othersRunning int
}

// division splits the limits of one workspace.
type division struct {
	seats []seat
	self  string
	// claims returns the published claim of another party.
	claims func(name string) claim
	// own is the claim of self.
	own claim
	Bounds
	// rateFloor and concurrencyFloor are the parts that are spread evenly.
	rateFloor, concurrencyFloor float64
}

// share returns the share of self.
func (d *division) share() split {
	self := slices.IndexFunc(d.seats, func(s seat) bool { return s.name == d.self })
	demands := make([]float64, len(d.seats))
	wants := make([]float64, len(d.seats))
	others := 0
	for i, s := range d.seats {
		c := d.own
		if i != self {
			c = d.claims(s.name)
			others += c.Running
		}
		demands[i], wants[i] = c.Demand, c.Wanted
	}
	concurrency := divide(float64(d.Concurrency), wants, d.seats, d.concurrencyFloor)
	return split{
		rate:          divide(d.RequestsPerSecond, demands, d.seats, d.rateFloor)[self],
		concurrency:   whole(concurrency, d.Concurrency)[self],
		othersRunning: others,
	}
}

// even returns the share of self when nobody claims anything.
func (d division) even() split {
	d.claims = func(string) claim { return claim{} }
	d.own = claim{}
	return d.share()
}

// quiet returns the share of self without a claim of its own.
func (d division) quiet() split {
	d.own = claim{}
	return d.share()
}

// overDomains is the split over domains, with own as the claim of this one.
func (l *Limiter) overDomains(id hbs.WorkspaceID, b Bounds, own claim) division {
	floor := l.Policy.Number(KnobFloor, hbs.Scope{})
	return division{
		seats:            l.view.domains,
		self:             string(l.view.domain),
		claims:           func(name string) claim { return l.domains.claim(name, id) },
		own:              own,
		Bounds:           b,
		rateFloor:        floor,
		concurrencyFloor: floor,
	}
}

// overInstances is the split of the domain's part of the limits b. The floor of
// an instance is the same in all domains.
func (l *Limiter) overInstances(id hbs.WorkspaceID, b, part Bounds, own claim) division {
	floor := l.Policy.Number(KnobFloor, hbs.Scope{})
	mine, all := 0, 0
	for _, s := range l.view.domains {
		all += s.instances
		if s.name == string(l.view.domain) {
			mine = s.instances
		}
	}
	even := floor * float64(mine) / float64(all)
	return division{
		seats:            l.view.siblings,
		self:             string(l.Self),
		claims:           func(name string) claim { return l.siblings.claim(name, id) },
		own:              own,
		Bounds:           part,
		rateFloor:        ratio(even*b.RequestsPerSecond, part.RequestsPerSecond),
		concurrencyFloor: ratio(even*float64(b.Concurrency), float64(part.Concurrency)),
	}
}

// ratio returns the part that x is of total, at most all of it.
func ratio(x, total float64) float64 {
	if x >= total {
		return 1
	}
	return x / total
}

// divide splits limit by demands (rules 2 and 3).
func divide(limit float64, demands []float64, seats []seat, floor float64) []float64 {
	shares := make([]float64, len(demands))
	instances, sum := 0, 0.0
	for i, d := range demands {
		instances += seats[i].instances
		sum += d
	}
	for i, d := range demands {
		even := float64(seats[i].instances) / float64(instances)
		if sum <= limit {
			shares[i] = d + (limit-sum)*even
			continue
		}
		shares[i] = limit * (floor*even + (1-floor)*d/sum)
	}
	return shares
}

// whole rounds shares to whole numbers that add up to limit (rule 6).
func whole(shares []float64, limit int) []int {
	out := make([]int, len(shares))
	order := make([]int, len(shares))
	left := limit
	for i, s := range shares {
		out[i] = int(s)
		order[i] = i
		left -= out[i]
	}
	rest := func(i int) float64 { return shares[i] - math.Floor(shares[i]) }
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(rest(y), rest(x)) })
	for _, i := range order[:min(max(left, 0), len(order))] {
		out[i]++
	}
	return out
}
