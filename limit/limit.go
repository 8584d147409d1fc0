// Package limit holds workspaces to their limits over the whole fleet, without
// a message for each request.
//
// Each limit is split twice by observed demand: over the failure domains by the
// sums of their instances, and within a domain over its instances. Parties of a
// split are the live instances of the domain, or the domains. All compute the
// same split from the claims that they publish to each other.
//
//  1. Each party publishes its demand (arrivals a second, refused ones included,
//     as a decaying mean), how many requests it has running and how many it
//     wants to run. For itself it uses the settled values: those for which each
//     other party was heard after they were published. A newer demand counts
//     only when it is clearly less, a newer wish to run whenever it is less. So
//     it shrinks at once and grows only when the others know, and all split by
//     the same numbers.
//  2. While the demands add up to less than the limit each party gets its
//     demand, and what is left is spread evenly over instances, so that a burst
//     at a quiet one finds room.
//  3. Otherwise each gets a part of the limit in proportion to its demand, but
//     for a small floor that is spread evenly over instances.
//  4. A party that was not heard for KnobSilence, or for longer if it is heard
//     seldom, keeps its last published claim. While there is one, nothing
//     settles, and the own share does not grow beyond what it was when all were
//     last heard. So parties that are cut off from each other hold the split and
//     with it the limit. Before all were heard once the share is at most the
//     even one.
//  5. A party that leaves the roster gives its share back at once.
//  6. Concurrency is split in whole requests by largest remainder, equal
//     remainders by name. Beside its share, an instance counts what the others
//     have running, so that a shift of entry does not pass the limit while old
//     work still runs.
//  7. Rates are kept by a token bucket of the share, which holds KnobBurst of
//     it and two requests more: arrivals at random would leave a third of a small
//     share unused with room for one, and a sixth with room for two.
//  8. A claim that stays well below the share of a party without a claim is not
//     published: shares add up to the limit whatever is published, and such a
//     party refuses nothing. So only workspaces that are near their share
//     somewhere cost bytes.
//  9. The representatives of a domain, each by itself, add up the domain's
//     claims, exchange the sums with those of the other domains, and tell their
//     own domain its share. Instances follow the one that hears all domains, or
//     else the one heard last. A representative that hears less than another one
//     tells nothing, and a new one goes on from what the last one told.
//  10. A limit on concurrency of at most KnobSmall is small: few whole slots for
//     each instance, split by demand that is known with a lag, leave a quarter
//     of it unused. Its slots are spread evenly instead, the odd ones by
//     rendezvous hashing. All compute that from the roster and nothing is
//     published. An instance holds the least that it had by the rosters of the
//     last KnobHold, so that the others lose a slot before it gains one.
//  11. An instance whose slots of a small limit are all in use asks others for
//     one: at most KnobAsks of them and for KnobAskWait, and only while the
//     request may still be served. The lender counts the slot as used until it
//     comes back, its time has passed or the borrower left the roster. That time
//     is longer than the request's deadline, for a borrower that is cut off can't
//     be told to stop.
//  12. A loan has a number: asking twice lends once. When an answer is lost, the
//     borrower gives back what it may have got until the lender confirms that. A
//     slot that comes back before it was asked for is not lent any more.
//  13. A borrowed slot is kept for KnobKeep after its request, for the next one.
//  14. Slots in use that an instance loses, since the roster changed or a lender
//     left it, count among its own. Who gained some covers them: it lends slots
//     for them that KnobHold keeps from new requests. So old work and new never
//     have the same slot.
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

// Bounds are the limits of one workspace over the whole fleet. Zero means no
// limit.
type Bounds struct {
	RequestsPerSecond float64
	Concurrency       int
}

func (b Bounds) none() bool { return b.RequestsPerSecond <= 0 && b.Concurrency <= 0 }

// Limiter is one instance's part of the limits. Its fields are set before use.
type Limiter struct {
	// Bounds tells the limits of a workspace. It does not block.
	Bounds func(hbs.WorkspaceID) Bounds
	// Self names this instance in the Directory.
	Self hbs.InstanceID
	// Chosen reports whether this instance is a representative of its domain
	// (rule 9). It is not called with locks held. Not nil.
	Chosen    func() bool
	Directory hbs.Directory
	Policy    hbs.Policy
	Metrics   metrics.Registry
	// Ask hands data to another instance's Answer and returns what that says. It
	// returns an error when ctx ends before. Nil for no loans (rule 11).
	Ask func(ctx context.Context, to hbs.Instance, data []byte) ([]byte, error)

	wakeOnce sync.Once
	wake     chan struct{}

	mu sync.Mutex
	// accounts are of workspaces with limits.
	accounts map[hbs.WorkspaceID]*account
	// sums are the domain's own claims while this instance represents it.
	sums map[hbs.WorkspaceID]*sum
	// siblings are the other instances of the domain, domains the other domains.
	siblings, domains table
	// tellers told the domain's shares; this instance is one while it
	// represents the domain.
	tellers map[hbs.InstanceID]*teller
	view    view
	// turns rotate workspaces through digests that are too small for all.
	claimTurn, sumTurn, shareTurn int
	// eras has the instances of the last KnobHold, the newest last; not empty
	// after look.
	eras []*era
	// loans numbers the loans, askTurn spreads asks over lenders.
	loans     uint64
	askTurn   int
	askBudget *rate.Limiter
	// unreached tells until when an instance is not asked that did not answer.
	unreached map[hbs.InstanceID]time.Time
	// owed are loans to give back.
	owed []*loan
}

var _ hbs.Limiter = (*Limiter)(nil)

// Acquire implements hornbeamstage.Limiter. It may wait for KnobAskWait.
func (l *Limiter) Acquire(req *hbs.Request) (release func(outputTokens int), err error) {
	bounds := l.Bounds(req.Workspace)
	if bounds.none() {
		return func(int) {}, nil
	}
	a, split, slot, found := l.arrive(req, bounds)
	if !found && l.small(bounds) {
		slot = l.borrow(a, bounds, req.Deadline)
		found = slot != nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if refusal := l.refusal(a, bounds, split, found); refusal != nil {
		a.refused.add(time.Now())
		if found {
			l.leave(a, slot)
		}
		return nil, refusal
	}
	var once sync.Once
	return func(int) { once.Do(func() { l.release(a, slot) }) }, nil
}

// arrive counts req and takes a slot for it if there is one here. The slot is
// nil when it is the instance's own.
func (l *Limiter) arrive(req *hbs.Request, b Bounds) (a *account, s split, slot *loan, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.look()
	a = l.account(req.Workspace)
	a.demand.add(now)
	s = l.share(a, b, now)
	slot, found = l.slot(a, b, s, req.Deadline, now)
	if !found {
		return a, s, nil, false
	}
	a.enter(req.Deadline)
	if slot != nil {
		slot.idleAt = time.Time{}
	}
	return a, s, slot, true
}

// enter counts a request that runs until deadline.
func (a *account) enter(deadline time.Time) {
	a.running++
	if end := deadline.Add(loanSpare); !deadline.IsZero() && end.After(a.lastEnd) {
		a.lastEnd = end
	}
}

// slot returns a free slot here; nil is one of the own.
func (l *Limiter) slot(a *account, b Bounds, s split, deadline, now time.Time) (slot *loan, found bool) {
	switch {
	case b.Concurrency <= 0:
		return nil, true
	case !l.small(b):
		taken := a.taken(now)
		return nil, taken < s.concurrency && taken+s.othersRunning < b.Concurrency
	case a.taken(now) < l.evenSlots(a.id, b.Concurrency, now):
		return nil, true
	}
	slot = a.free(b.Concurrency, deadline)
	return slot, slot != nil
}

func (l *Limiter) release(a *account, slot *loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leave(a, slot)
}

// leave frees the slot of a request.
func (l *Limiter) leave(a *account, slot *loan) {
	a.running--
	if slot != nil {
		slot.idleAt = time.Now()
		a.borrowed = slices.DeleteFunc(a.borrowed, func(x *loan) bool { return x == slot && x.lender.ID == "" })
	}
	if slot != nil || len(a.covers) > 0 {
		l.signal()
	}
}

// refusal checks concurrency before the rate, since the rate is spent by asking.
func (l *Limiter) refusal(a *account, b Bounds, s split, slot bool) *hbs.Refusal {
	if !slot {
		l.count("limit_refused_concurrency")
		return hbs.NotRun(hbs.ReasonConcurrency, "", time.Second)
	}
	if b.RequestsPerSecond <= 0 {
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
		a = &account{id: id, lent: map[loanKey]time.Time{}, over: map[loanKey]time.Time{}, denied: map[hbs.InstanceID]time.Time{}, room: map[hbs.InstanceID]int{}}
		l.accounts[id] = a
	}
	return a
}

func (l *Limiter) count(name string) { metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1) }
