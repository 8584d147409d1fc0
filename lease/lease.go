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
//	L8. A store that was restored from a copy may have an older lease than the last
//	    one, or none. An older one has another revision than any before, so L3
//	    applies to it anew. A missing one is created after it has been missing for
//	    the duration of a grant plus KnobOrderLifetime. One that was released before
//	    the restore expires like others. The high bits of the fencing number are the
//	    number of restores, so that it is higher than all before.
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

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/object"
	"github.com/hornbeamstage/hornbeamstage/rendezvous"
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
	// Restores returns how many times the platform's store was restored from a copy,
	// as known so far; nil means never.
	Restores func() uint64
	Policy   hbs.Policy
	Metrics  metrics.Registry
	Log      *zap.Logger

	once sync.Once
	// releasing is closed by Release, done when Run returns.
	releasing, done chan struct{}

	mu sync.Mutex
	// grantEnd is when the holder stops (L2); zero if the lease is not held.
	grantEnd time.Time
	fence    uint64
	// pendingOrders are the orders that are being written or may still be
	// accepted (L7).
	pendingOrders map[*PendingOrder]bool

	// The fields below are used only by the goroutine of Run.

	// stored is the object as last read or written; lease is the value of the last
	// grant.
	stored hbs.Object
	lease  Lease
	// firstSeen is when the revision of stored was first seen (L3).
	firstSeen time.Time
	// missing is when the lease was first missing in a store that had been restored
	// missingRestores times (L8); zero if it was not.
	missing         time.Time
	missingRestores uint64
	// pending is the value of a renewal that is not known to have taken effect,
	// pendingSince the time when it was first sent (L5).
	pending      *Lease
	pendingSince time.Time
}

func (h *Holder) init() {
	h.once.Do(func() { h.releasing, h.done = make(chan struct{}), make(chan struct{}) })
}

// Run acquires and renews the lease until ctx ends or Release is called.
func (h *Holder) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "lease") }()
	h.init()
	defer close(h.done)
	defer h.drop()
	for {
		if h.held() {
			h.renew(ctx)
		} else if h.isCandidate() {
			h.tryAcquire(ctx)
		}
		wait := time.NewTimer(h.renewDelay())
		select {
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		case <-h.releasing:
			wait.Stop()
			h.release(ctx)
			return nil
		case <-wait.C:
		}
	}
}

// Fence returns the fencing number of the current grant, if there is one.
func (h *Holder) Fence() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, time.Now().Before(h.grantEnd)
}

// Check returns nil if the grant with the given fencing number is in effect, and
// ErrNotHeld otherwise.
func (h *Holder) Check(fence uint64) error {
	now, ok := h.Fence()
	if !ok || now != fence {
		return errors.Wrapf(ErrNotHeld, "fencing number %d", fence)
	}
	return nil
}

func (h *Holder) held() bool {
	_, ok := h.Fence()
	return ok
}

// Abandon ends the grant at once, for example when the process was suspended for
// an unknown time. The lease can be acquired again only by L3.
func (h *Holder) Abandon() { h.drop() }

func (h *Holder) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grantEnd = time.Time{}
}

// grant starts or extends the grant after a write that was first sent at sent
// (L1, L2).
func (h *Holder) grant(stored hbs.Object, l Lease, sent time.Time) {
	h.stored, h.lease, h.pending = stored, l, nil
	h.firstSeen = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence = l.Fence
	h.grantEnd = sent.Add(l.Duration() - h.duration(KnobMargin))
}

// renew sends a renewal, or sends a pending one again (L5).
func (h *Holder) renew(ctx context.Context) {
	fresh := h.pending == nil
	if fresh {
		next := h.lease
		next.Renewals++
		next.DurationSeconds = h.duration(KnobDuration).Seconds()
		h.pending, h.pendingSince = &next, time.Now()
	}
	sent := h.pendingSince
	stored, err := h.put(ctx, h.stored.Revision, *h.pending)
	switch {
	case err == nil:
		h.grant(stored, *h.pending, sent)
		h.inc(meterRenewed)
	case object.Is(err, hbs.ErrConflict):
		h.endTerm("the lease was taken over")
	default:
		h.inc(meterRenewFailed)
		if fresh && object.Is(err, hbs.ErrNotApplied) {
			h.pending = nil
		}
	}
	if !h.held() {
		h.endTerm("the lease could not be renewed in time")
	}
}

func (h *Holder) endTerm(why string) {
	if h.stored.Revision == 0 {
		return
	}
	h.drop()
	h.stored, h.pending = hbs.Object{}, nil
	h.inc(meterLost)
	h.log().Info("lease lost", zap.String("why", why), zap.Uint64("fence", h.lease.Fence))
}

func (h *Holder) writer() *object.Writer {
	return &object.Writer{
		Platform:    h.Platform,
		CallTimeout: h.duration(KnobCallTimeout) / 2,
		FailFast:    true,
		Writes:      metrics.GetOrRegisterCounter(meterWrites, h.Metrics),
		Reads:       metrics.GetOrRegisterCounter(meterReads, h.Metrics),
	}
}

// isCandidate reports whether this instance is one of the maxCandidates live
// instances of the domain with the highest rendezvous hash.
func (h *Holder) isCandidate() bool {
	var live []hbs.InstanceID
	for _, i := range h.Directory.Roster().Instances {
		if i.Domain == h.Self.Domain && i.State == hbs.InstanceLive {
			live = append(live, i.ID)
		}
	}
	return rendezvous.Place(string(h.Self.Domain), h.Self.ID, live) < maxCandidates
}

// renewDelay returns the time to the next renewal or read, with jitter.
func (h *Holder) renewDelay() time.Duration {
	d := h.duration(KnobRenew)
	return d/2 + rand.N(d/2+1)
}

func (h *Holder) objectName() string { return "orders." + string(h.Self.Domain) }

func (h *Holder) duration(key hbs.KnobKey) time.Duration {
	return h.Policy.Duration(key, hbs.Scope{Domain: h.Self.Domain})
}

func (h *Holder) inc(name string) { metrics.GetOrRegisterCounter(name, h.Metrics).Inc(1) }

func (h *Holder) log() *zap.Logger {
	if h.Log == nil {
		return zap.NewNop()
	}
	return h.Log
}
