// Package lease maintains one lease per failure domain in the platform's object
// store, so that at most one instance of a domain sends orders to its engines.
// An order is a command that changes the state of an engine; see package order.
//
// # The protocol
//
// The lease is one object. Its value names the holder's term, a fencing number
// and a count of renewals. The instances share no clock: every duration is measured
// on the monotonic clock of one process. A grant is the time during which a holder
// may act on its lease. The rules:
//
//	L1. Only a conditional write that is known to have taken effect starts or
//	    renews a grant. The grant starts when the write was first sent and lasts
//	    for the duration stated in the value.
//	L2. The holder stops KnobMargin before its grant expires, whether or not a
//	    renewal is in progress.
//	L3. Another instance takes over a lease after it has seen one revision
//	    unchanged for the duration in the value plus KnobOrderLifetime, measured
//	    from the end of its first read of that revision. A renewal that takes
//	    effect late changes the revision and restarts this wait. Reads may be
//	    stale: the takeover is conditional on that revision, so it takes effect
//	    only if nothing has changed during the whole wait.
//	L4. Each takeover increments the fencing number by one. An instance that has
//	    lost its grant can acquire the lease again only by L3, even if the stored
//	    lease is its own earlier one.
//	L5. A renewal whose response was lost is sent again unchanged. Once it is known
//	    to have taken effect, its grant starts when it was first sent.
//	L6. The object is never deleted, so that the fencing number never restarts.
//	L7. A holder that shuts down ends its grant, waits until none of its orders is
//	    being written or may still be accepted, and then writes the same term
//	    as released, conditional on the revision of that term. A released lease
//	    may be taken over as soon as it is seen, with the next fencing number (L4).
//	    If the wait or the write fails, the lease expires by L3.
//
// By L1 and L3, the holder after an expired lease starts later than the end of the
// previous grant by at least the lifetime of an order. By L7, the holder after a
// released lease starts when no order of the previous holder can be accepted any
// more. The margin of L2 covers clocks that run at slightly different rates, and
// the time between the last check of the grant and the write of an order.
//
// One case remains: a holder that is paused between that check and the write. See
// package order.
package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// ErrNotHeld means that this instance does not hold the lease, or not any more.
var ErrNotHeld = errors.New("lease not held")

// maxCandidates is the number of instances of a domain that try to acquire its
// lease.
const maxCandidates = 2

// Lease is the value of a lease object.
type Lease struct {
	Holder hbs.InstanceID `json:"holder"`
	// Term identifies one uninterrupted tenure of a holder; not empty.
	Term string `json:"term"`
	// Fence is the fencing number. It increases by one with each term and is at
	// least 1.
	Fence uint64 `json:"fence"`
	// Renewals counts the renewals of the term.
	Renewals uint64 `json:"renewals"`
	// DurationSeconds is the duration of a grant; positive.
	DurationSeconds float64 `json:"duration_seconds"`
	// Released is set once the holder has stopped and none of its orders may still be
	// accepted (L7).
	Released bool `json:"released,omitempty"`
}

// Validate returns an error if l violates an invariant.
func (l *Lease) Validate() error {
	switch {
	case l.Term == "":
		return errors.New("lease without a term")
	case l.Fence == 0:
		return errors.New("lease without a fencing number")
	case l.DurationSeconds <= 0:
		return errors.New("lease without a duration")
	}
	return nil
}

// Duration returns the duration of a grant of l.
func (l *Lease) Duration() time.Duration {
	return time.Duration(l.DurationSeconds * float64(time.Second))
}

// Holder acquires and renews the lease of its domain for this instance.
type Holder struct {
	Platform hbs.Platform
	Self     hbs.Instance
	// Directory lists the instances of the domain, from which the candidates for the
	// lease are chosen.
	Directory hbs.Directory
	Policy    hbs.Policy
	Metrics   metrics.Registry
	Log       *zap.Logger

	once sync.Once
	// releasing is closed by Release, done when Run returns.
	releasing, done chan struct{}

	mu sync.Mutex
	// grantEnd is when the holder stops (L2); zero if the lease is not held.
	grantEnd time.Time
	fence    uint64
	// uses are the orders that are being written or may still be accepted (L7).
	uses map[*PendingOrder]bool

	// The fields below are used only by the goroutine of Run.

	// stored is the object as last read or written; lease is the value of the last
	// grant.
	stored hbs.Object
	lease  Lease
	// firstSeen is when the revision of stored was first seen (L3).
	firstSeen time.Time
	// pending is the value of a renewal that is not known to have taken effect,
	// pendingSince the time when it was first sent (L5).
	pending      *Lease
	pendingSince time.Time
}

func (k *Holder) init() {
	k.once.Do(func() { k.releasing, k.done = make(chan struct{}), make(chan struct{}) })
}

// Run acquires and renews the lease until ctx ends or Release is called.
func (k *Holder) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "lease") }()
	k.init()
	defer close(k.done)
	defer k.drop()
	for {
		if k.held() {
			k.renew(ctx)
		} else if k.isCandidate() {
			k.tryAcquire(ctx)
		}
		wait := time.NewTimer(k.renewDelay())
		select {
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		case <-k.releasing:
			wait.Stop()
			k.release(ctx)
			return nil
		case <-wait.C:
		}
	}
}

// Fence returns the fencing number of the current grant, if there is one.
func (k *Holder) Fence() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence, time.Now().Before(k.grantEnd)
}

// Check returns nil if the grant with the given fencing number is in effect, and
// ErrNotHeld otherwise.
func (k *Holder) Check(fence uint64) error {
	now, ok := k.Fence()
	if !ok || now != fence {
		return errors.Wrapf(ErrNotHeld, "fencing number %d", fence)
	}
	return nil
}

func (k *Holder) held() bool {
	_, ok := k.Fence()
	return ok
}

// Abandon ends the grant at once, for example when the process was suspended for
// an unknown time. The lease can be acquired again only by L3.
func (k *Holder) Abandon() { k.drop() }

func (k *Holder) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.grantEnd = time.Time{}
}

// grant starts or extends the grant after a write that was first sent at sent (L1,
// L2).
func (k *Holder) grant(stored hbs.Object, l Lease, sent time.Time) {
	k.stored, k.lease, k.pending = stored, l, nil
	k.firstSeen = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence = l.Fence
	k.grantEnd = sent.Add(l.Duration() - k.duration(KnobMargin))
}

// renew sends a renewal, or sends a pending one again (L5).
func (k *Holder) renew(ctx context.Context) {
	fresh := k.pending == nil
	if fresh {
		next := k.lease
		next.Renewals++
		next.DurationSeconds = k.duration(KnobDuration).Seconds()
		k.pending, k.pendingSince = &next, time.Now()
	}
	sent := k.pendingSince
	stored, err := k.put(ctx, k.stored.Revision, *k.pending)
	switch {
	case err == nil:
		k.grant(stored, *k.pending, sent)
		k.inc(meterRenewed)
	case object.Is(err, hbs.ErrConflict):
		k.endTerm("the lease was taken over")
	default:
		k.inc(meterRenewFailed)
		if fresh && object.Is(err, hbs.ErrNotApplied) {
			k.pending = nil
		}
	}
	if !k.held() {
		k.endTerm("the lease could not be renewed in time")
	}
}

func (k *Holder) endTerm(why string) {
	if k.stored.Revision == 0 {
		return
	}
	k.drop()
	k.stored, k.pending = hbs.Object{}, nil
	k.inc(meterLost)
	k.log().Info("lease lost", zap.String("why", why), zap.Uint64("fence", k.lease.Fence))
}

func (k *Holder) writer() *object.Writer {
	return &object.Writer{
		Platform:    k.Platform,
		CallTimeout: k.duration(KnobCallTimeout) / 2,
		FailFast:    true,
		Writes:      metrics.GetOrRegisterCounter(meterWrites, k.Metrics),
		Reads:       metrics.GetOrRegisterCounter(meterReads, k.Metrics),
	}
}

// isCandidate reports whether this instance is one of the maxCandidates live
// instances of the domain with the highest rendezvous hash.
func (k *Holder) isCandidate() bool {
	ahead := 0
	mine := rank(k.Self.Domain, k.Self.ID)
	for _, i := range k.Directory.Roster().Instances {
		if i.Domain == k.Self.Domain && i.State == hbs.InstanceLive && rank(i.Domain, i.ID) > mine {
			ahead++
		}
	}
	return ahead < maxCandidates
}

func rank(domain hbs.DomainName, id hbs.InstanceID) uint64 {
	return xxhash.Sum64String(string(domain) + "/" + string(id))
}

// renewDelay returns the time to the next renewal or read, with jitter.
func (k *Holder) renewDelay() time.Duration {
	d := k.duration(KnobRenew)
	return d/2 + rand.N(d/2+1)
}

func (k *Holder) objectName() string { return "orders." + string(k.Self.Domain) }

func (k *Holder) duration(key hbs.KnobKey) time.Duration {
	return k.Policy.Duration(key, hbs.Scope{Domain: k.Self.Domain})
}

func (k *Holder) inc(name string) { metrics.GetOrRegisterCounter(name, k.Metrics).Inc(1) }

func (k *Holder) log() *zap.Logger {
	if k.Log == nil {
		return zap.NewNop()
	}
	return k.Log
}
