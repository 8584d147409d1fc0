package objects

import (
	"math/rand/v2"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// roundTrip is the longest time to the effect of a call without a fault, and from
// there to its answer.
const roundTrip = 3 * time.Millisecond

// RandomPlans draws the plans of calls: each fault is as likely as any other. It
// may be used from several goroutines; one seed gives one sequence of draws.
type RandomPlans struct {
	// Rand is not used by anybody else.
	Rand *rand.Rand
	// Faults is the share of calls that go wrong.
	Faults float64
	// Late and Pause are the longest delay of FaultLate and the longest pause of
	// the caller; both are positive.
	Late, Pause time.Duration
	// Slow is the longest time to the effect of a slow call. If it is 0, the caller
	// pauses instead.
	Slow time.Duration

	mu sync.Mutex
}

// Plan draws what happens to one call. It is a Client's Plan.
func (r *RandomPlans) Plan(Op, hbs.ObjectKind) Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Plan{Before: r.span(roundTrip), After: r.span(roundTrip)}
	if r.Rand.Float64() >= r.Faults {
		return p
	}
	switch n := r.Rand.IntN(6); {
	case n == 0:
		p.Fault = FaultRefused
	case n == 1:
		p.Fault = FaultLost
	case n == 2:
		p.Fault, p.Late = FaultLate, r.span(r.Late)
	case n == 3:
		p.Fault = FaultNever
	case n == 4 || r.Slow == 0:
		p.Pause = r.span(r.Pause)
	default:
		p.Before = r.span(r.Slow)
	}
	return p
}

// Span draws a time of at most d, which is positive.
func (r *RandomPlans) Span(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.span(d)
}

// IntN draws a number from 0 to n-1.
func (r *RandomPlans) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Rand.IntN(n)
}

func (r *RandomPlans) span(d time.Duration) time.Duration {
	return time.Duration(1 + r.Rand.Int64N(int64(d)))
}
