package objects

import (
	"math/rand/v2"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// maxOneWay is the longest time from a call without a fault to its effect, and from
// the effect to the answer.
const maxOneWay = 3 * time.Millisecond

// RandomPlans draws the plans of calls. The four faults, a pause and a slow call are
// equally likely. It is safe for concurrent use; a given seed of Rand yields a given
// sequence of draws.
type RandomPlans struct {
	// Rand must not be used elsewhere.
	Rand *rand.Rand
	// Faults is the probability that a call is drawn a fault, a pause or a slow effect.
	Faults float64
	// Late is the maximum delay of FaultLate and Pause the maximum pause of the caller.
	// Both must be positive.
	Late, Pause time.Duration
	// Slow is the maximum time to the effect of a slow call. If it is 0, the caller
	// pauses instead.
	Slow time.Duration

	mu sync.Mutex
}

// Plan draws the plan of one call. It can serve as Client.Plan.
func (r *RandomPlans) Plan(Op, hbs.ObjectKind) Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Plan{Before: r.span(maxOneWay), After: r.span(maxOneWay)}
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

// Span draws a duration of at least 1 ns and at most d. d must be positive.
func (r *RandomPlans) Span(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.span(d)
}

// IntN draws an integer in [0, n).
func (r *RandomPlans) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Rand.IntN(n)
}

func (r *RandomPlans) span(d time.Duration) time.Duration {
	return time.Duration(1 + r.Rand.Int64N(int64(d)))
}
