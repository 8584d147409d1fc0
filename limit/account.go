package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// decayTime is the time constant of the mean rates.
const decayTime = 2 * time.Second

// decayingRate is the rate of an event per second as an exponentially decaying
// mean.
type decayingRate struct {
	value float64
	at    time.Time
}

func (r *decayingRate) add(now time.Time) {
	r.value = r.read(now) + 1/decayTime.Seconds()
	r.at = now
}

func (r *decayingRate) read(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/decayTime.Seconds())
}

// account holds what this instance knows of one workspace with limits.
type account struct {
	id hbs.WorkspaceID
	// demand counts all arrivals, refused those of them that were refused.
	demand, refused decayingRate
	// running counts the requests at this instance, in its own and in borrowed
	// slots.
	running int
	state   localState
	bucket  bucket
	// lent has the time at which each loan to another instance expires. closed
	// has the time until which a late request is refused, for each loan that
	// ended or was denied. borrowed has the slots of others (rules 11 and 12).
	lent, closed map[loanKey]time.Time
	borrowed     []*loan
	// excessLoans are borrowed slots that make up for slots which the instance
	// lost while they were in use (rule 14). latestEnd is when the last request
	// here ends at the latest, excessRetryAt when excessLoans may be requested
	// again.
	excessLoans              []*loan
	latestEnd, excessRetryAt time.Time
	// deniedUntil has the time until which a lender without a free slot is not
	// asked, available the number of free slots that a lender reported last.
	deniedUntil map[hbs.InstanceID]time.Time
	available   map[hbs.InstanceID]int
}

// inactive reports whether the workspace has no requests, loans or recent
// arrivals here.
func (a *account) inactive(now time.Time) bool {
	deleteExpired(a.lent, now)
	deleteExpired(a.closed, now)
	return a.running == 0 && len(a.lent)+len(a.closed)+len(a.borrowed)+len(a.excessLoans) == 0 && now.Sub(a.demand.at) > zeroClaimPeriod
}

// claim returns the current claim of this instance. It has no concurrency if
// the limit on concurrency is small, since that is not split by demand (rule
// 10).
func (a *account) claim(small bool, now time.Time) claim {
	c := claim{
		Workspace: a.id,
		Demand:    a.demand.read(now),
	}
	if !small {
		c.Running = a.slotsInUse(now)
		c.Wanted = float64(c.Running) + a.refused.read(now)
	}
	if c.Demand < idleDemand {
		c.Demand = 0
	}
	return c
}

// idleDemand is the demand in requests per second below which a claim has none.
const idleDemand = 0.01

// extraTokens is how many requests a bucket holds in addition to its burst
// (rule 7).
const extraTokens = 2

// bucket is a token bucket whose rate follows the share.
type bucket struct {
	limiter *rate.Limiter
}

// take takes one token, or returns how long to wait for one.
func (b *bucket) take(perSecond float64, burst time.Duration, now time.Time) time.Duration {
	size := extraTokens + int(math.Ceil(perSecond*burst.Seconds()))
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), size)
	}
	if b.limiter.Limit() != rate.Limit(perSecond) {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	if b.limiter.Burst() != size {
		b.limiter.SetBurstAt(now, size)
	}
	if b.limiter.AllowN(now, 1) {
		return 0
	}
	missing := 1 - b.limiter.TokensAt(now)
	return time.Duration(min(missing/max(perSecond, minRate), maxWait.Seconds()) * float64(time.Second))
}

const (
	// minRate in requests per second keeps the wait finite when the share is
	// near zero.
	minRate = 1e-3
	// maxWait is the longest wait that a refusal states.
	maxWait = time.Minute
)
