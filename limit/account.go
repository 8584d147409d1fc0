package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// decayTime is the time constant of observed rates.
const decayTime = 2 * time.Second

// frequency is a decaying mean of events a second.
type frequency struct {
	value float64
	at    time.Time
}

func (f *frequency) add(now time.Time) {
	f.value = f.read(now) + 1/decayTime.Seconds()
	f.at = now
}

func (f *frequency) read(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/decayTime.Seconds())
}

// account is one limited workspace at this instance.
type account struct {
	id hbs.WorkspaceID
	// demand counts all arrivals, refused those that were refused.
	demand, refused frequency
	// running counts the requests here, on own and on borrowed slots.
	running  int
	standing standing
	bucket   bucket
	// lent tells until when slots are lent to others, over until when loans that
	// came back may still be asked for, borrowed are slots of others (rules 11
	// and 12).
	lent, over map[loanKey]time.Time
	borrowed   []*loan
	// covers are borrowed slots that stand for own ones which the instance lost
	// while they were in use (rule 14), lastEnd is when the last request here
	// ends at the latest, coverAt when covers may be asked for again.
	covers           []*loan
	lastEnd, coverAt time.Time
	// denied tells until when a lender without room is not asked, room how many
	// slots one had left when it last told.
	denied map[hbs.InstanceID]time.Time
	room   map[hbs.InstanceID]int
}

// quiet reports whether nothing of the workspace is here.
func (a *account) quiet(now time.Time) bool {
	forget(a.lent, now)
	forget(a.over, now)
	return a.running == 0 && len(a.lent)+len(a.over)+len(a.borrowed)+len(a.covers) == 0 && now.Sub(a.demand.at) > restNews
}

// claim returns what the instance has and wants now. Nothing of a small limit on
// concurrency is claimed.
func (a *account) claim(small bool, now time.Time) claim {
	c := claim{
		Workspace: a.id,
		Demand:    a.demand.read(now),
	}
	if !small {
		c.Running = a.taken(now)
		c.Wanted = float64(c.Running) + a.refused.read(now)
	}
	if c.Demand < idle {
		c.Demand = 0
	}
	return c
}

// idle is the demand below which a workspace is at rest.
const idle = 0.01

// spare is how many requests a bucket holds beside its burst (rule 7).
const spare = 2

// bucket is a token bucket whose rate follows the share.
type bucket struct {
	limiter *rate.Limiter
}

// take takes one request, or returns how long to wait for one.
func (b *bucket) take(perSecond float64, burst time.Duration, now time.Time) time.Duration {
	size := spare + int(math.Ceil(perSecond*burst.Seconds()))
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
	// minRate keeps the wait for a share near zero finite.
	minRate = 1e-3
	// maxWait bounds what a refused caller is told to wait.
	maxWait = time.Minute
)
