// Package limit enforces the limits of workspaces over the whole fleet without
// a message for each request.
//
// Each limit is split twice by observed demand: over the failure domains by the
// sums of their instances, and within a domain over its instances. The
// participants of a split are the domains, or the live instances of one domain.
// Each computes the same split from the claims that all publish to each other
// in digests (see hornbeamstage.Section).
//
//  1. A claim has the participant's demand (arrivals per second, refused ones
//     included, as a decaying mean), its number of running requests and the
//     number that it wants to run. For itself a participant uses its confirmed
//     claim: the newest one that it published before the last digest that it
//     received from each of the others. It uses a newer demand only if that is
//     clearly lower, and a newer wanted number whenever it is lower. So its share
//     shrinks at once and grows only when the others know, and all compute the
//     split from the same numbers.
//  2. While the demands add up to less than the limit, each participant gets its
//     demand. The remainder is divided evenly over instances, so that a burst at
//     an idle one is admitted.
//  3. Otherwise each gets a part of the limit in proportion to its demand,
//     except for a small floor (KnobFloor) that is divided evenly over
//     instances.
//  4. A participant is silent if no digest from it has arrived for KnobSilence,
//     or for several times the mean gap between its digests if that is longer.
//     Its last published claim stays valid. While one is silent, no claim is
//     confirmed, and a share does not grow beyond the last one that was computed
//     while none was. So participants that are partitioned from each other keep
//     their split and with it the limit. Until a digest from each has arrived, a
//     share is at most the even one.
//  5. The share of a participant that leaves the roster is free at once.
//  6. Concurrency is divided in whole requests by largest remainder, ties by
//     name. Besides its share, an instance counts the requests that run at the
//     others, so that the limit is not exceeded when traffic moves while earlier
//     requests still run.
//  7. Rates are enforced by a token bucket at the rate of the share. It holds
//     KnobBurst of the share and two more requests: with random arrivals a third
//     of a small share would be unused with one more, and a sixth with two.
//  8. A claim well below the share that the participant has without a claim is
//     not published: shares add up to the limit whatever is published, and such
//     a participant refuses nothing. So only workspaces that are near their
//     share somewhere take space in digests.
//  9. Each representative of a domain independently adds up the domain's claims,
//     exchanges the sums with the representatives of other domains, and sends
//     its own domain the domain's share. A representative is complete while no
//     domain is silent to it. Instances follow a complete representative, or else
//     the one whose digest arrived last. One that is not complete sends no shares
//     while another one is. A new one continues from the last shares that another
//     one sent.
//  10. A limit on concurrency of at most KnobMaxLentLimit is small: it has few
//     slots for each instance, and a split by demand, which is known with a
//     delay, leaves a quarter of them unused. Its slots are divided evenly
//     instead, the remainder by rendezvous hashing. All instances compute this
//     from the roster, and nothing is published. An instance uses the fewest
//     slots that it had by the rosters of the last KnobReassignDelay, so that
//     others lose a slot before it gains one.
//  11. An instance whose slots of a small limit are all in use asks other
//     instances for one: at most KnobLoanAttempts of them, for at most
//     KnobLoanWait, and only until the request's deadline. The lender counts
//     the slot as used until it is returned, the loan expires or the borrower
//     leaves the roster. The loan lasts until after the request's deadline,
//     because a borrower that is partitioned can't be made to stop.
//  12. A loan has a number, so that a repeated loan request lends one slot. If a
//     response is lost, the borrower returns the slot that it may have got until
//     the lender confirms that. A loan that is returned before it was requested
//     is not granted any more.
//  13. A borrowed slot is kept for KnobIdleSlotTime after its request, for the
//     next one.
//  14. If an instance loses slots in use, because the roster changed or a lender
//     left it, they still count as its own. The instances that gained slots
//     make up for the excess: they lend slots that KnobReassignDelay still
//     withholds from new requests. So an old and a new request never use the
//     same slot.
package limit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Limits are the limits of one workspace over the whole fleet. Zero means no
// limit.
type Limits struct {
	RequestsPerSecond float64
	Concurrency       int
}

func (l Limits) none() bool { return l.RequestsPerSecond <= 0 && l.Concurrency <= 0 }

// Limiter enforces the limits at one instance. Its exported fields are set
// before use.
type Limiter struct {
	// Limits returns the limits of a workspace. It does not block.
	Limits func(hbs.WorkspaceID) Limits
	// Self is the ID of this instance in the Directory.
	Self hbs.InstanceID
	// IsRepresentative reports whether this instance is a representative of its
	// domain (rule 9). It is not called with locks held. Not nil.
	IsRepresentative func() bool
	Directory        hbs.Directory
	Policy           hbs.Policy
	Metrics          metrics.Registry
	// SendLoanRequest sends data to another instance's HandleLoanRequest and
	// returns the response. It returns an error if ctx ends first. Nil turns loans
	// off (rule 11).
	SendLoanRequest func(ctx context.Context, to hbs.Instance, data []byte) ([]byte, error)

	wakeOnce sync.Once
	wake     chan struct{}

	mu sync.Mutex
	// accounts has the workspaces with limits that were used lately.
	accounts map[hbs.WorkspaceID]*account
	// sums has the totals of this domain while this instance represents it.
	sums map[hbs.WorkspaceID]*sum
	// siblings has the claims of the other instances of the domain, domains
	// those of the other domains.
	siblings, domains claimTable
	// representatives has the representatives that sent the domain's shares,
	// including this instance while it is one.
	representatives map[hbs.InstanceID]*representative
	view            view
	// Positions from which the workspaces are sent round-robin when a digest is
	// too small for all of them.
	claimTurn, sumTurn, shareTurn int
	// epochs has the sets of instances of the last KnobReassignDelay, the newest
	// last. Not empty after refreshView.
	epochs []*epoch
	// lastLoan is the number of the newest loan, lenderTurn spreads loan
	// requests over the lenders.
	lastLoan   uint64
	lenderTurn int
	// requestBudget limits the rate of loan requests to KnobLoanRequestRate.
	requestBudget *rate.Limiter
	// unreachableUntil has the time until which an instance that did not answer
	// is not asked again.
	unreachableUntil map[hbs.InstanceID]time.Time
	// returns has the loans to return to their lenders.
	returns []*loan
}

var _ hbs.Limiter = (*Limiter)(nil)

// Acquire implements hornbeamstage.Limiter. It may wait for KnobLoanWait.
func (l *Limiter) Acquire(req *hbs.Request) (release func(outputTokens int), err error) {
	limits := l.Limits(req.Workspace)
	if limits.none() {
		return func(int) {}, nil
	}
	a, alloc, slot, found := l.acquireLocal(req, limits)
	if !found && l.small(limits) {
		slot = l.borrow(a, limits, req.Deadline)
		found = slot != nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if refusal := l.refusal(a, limits, alloc, found); refusal != nil {
		a.refused.add(time.Now())
		if found {
			l.endRequest(a, slot)
		}
		return nil, refusal
	}
	var once sync.Once
	return func(int) { once.Do(func() { l.release(a, slot) }) }, nil
}

// acquireLocal counts the arrival of req and takes a slot for it if one is free
// at this instance. The returned slot is nil unless it is a borrowed one.
func (l *Limiter) acquireLocal(req *hbs.Request, limits Limits) (a *account, s allocation, slot *loan, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.refreshView()
	a = l.account(req.Workspace)
	a.demand.add(now)
	s = l.instanceShare(a, limits, now)
	slot, found = l.localSlot(a, limits, s, req.Deadline, now)
	if !found {
		return a, s, nil, false
	}
	a.beginRequest(req.Deadline)
	if slot != nil {
		slot.idleAt = time.Time{}
	}
	return a, s, slot, true
}

// beginRequest counts a running request that ends at deadline at the latest.
func (a *account) beginRequest(deadline time.Time) {
	a.running++
	if end := deadline.Add(loanExtension); !deadline.IsZero() && end.After(a.latestEnd) {
		a.latestEnd = end
	}
}

// localSlot looks for a free slot at this instance. The returned slot is nil
// unless it is a borrowed one.
func (l *Limiter) localSlot(a *account, limits Limits, s allocation, deadline, now time.Time) (slot *loan, found bool) {
	switch {
	case limits.Concurrency <= 0:
		return nil, true
	case !l.small(limits):
		inUse := a.slotsInUse(now)
		return nil, inUse < s.concurrency && inUse+s.othersRunning < limits.Concurrency
	case a.slotsInUse(now) < l.localSlots(a.id, limits.Concurrency, now):
		return nil, true
	}
	slot = a.idleLoan(limits.Concurrency, deadline)
	return slot, slot != nil
}

func (l *Limiter) release(a *account, slot *loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endRequest(a, slot)
}

// endRequest frees the slot of a request.
func (l *Limiter) endRequest(a *account, slot *loan) {
	a.running--
	if slot != nil {
		slot.idleAt = time.Now()
		a.borrowed = slices.DeleteFunc(a.borrowed, func(x *loan) bool { return x == slot && x.lender.ID == "" })
	}
	if slot != nil || len(a.excessLoans) > 0 {
		l.signal()
	}
}

// refusal returns why a request is refused, or nil. It checks concurrency
// first, because checking the rate takes a token.
func (l *Limiter) refusal(a *account, limits Limits, s allocation, found bool) *hbs.Refusal {
	if !found {
		l.count("limit_refused_concurrency")
		return hbs.NotRun(hbs.ReasonConcurrency, "", time.Second)
	}
	if limits.RequestsPerSecond <= 0 {
		return nil
	}
	if wait := a.bucket.take(s.rate, l.Policy.Duration(KnobBurst, hbs.Scope{}), time.Now()); wait > 0 {
		l.count("limit_refused_rate")
		return hbs.NotRun(hbs.ReasonRateLimited, "", max(wait, time.Second))
	}
	return nil
}

func (l *Limiter) account(id hbs.WorkspaceID) *account {
	a := l.accounts[id]
	if a == nil {
		a = &account{id: id, lent: map[loanKey]time.Time{}, closed: map[loanKey]time.Time{}, deniedUntil: map[hbs.InstanceID]time.Time{}, available: map[hbs.InstanceID]int{}}
		l.accounts[id] = a
	}
	return a
}

func (l *Limiter) count(name string) { metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1) }
