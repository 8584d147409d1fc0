// Package lease keeps one lease per failure domain in the platform, so that at
// most one instance of a domain gives orders to its engines.
//
// # The protocol
//
// The lease is one object. Its value names the holder's term, a fencing number
// and a count of renewals. No clock is shared; every duration is measured on the
// monotonic clock of one process. The rules:
//
//	L1. Only a conditional write that is known to have taken effect makes or
//	    renews a grant. The grant runs from before the write was first sent, for
//	    the duration that the value names.
//	L2. The holder stops Margin before its grant runs out, whether or not a
//	    renewal is under way.
//	L3. Another instance takes the lease over after it has seen one revision
//	    unchanged for the value's duration and the lifetime of an order on the
//	    wire, counted from after its first read of that revision. A renewal that
//	    takes effect late changes the revision and starts the count anew. Reads may
//	    be behind: the takeover is conditional on that revision, so it takes effect
//	    only if nothing changed in all that time.
//	L4. Each takeover raises the fencing number by one. An instance that lost its
//	    grant comes back by L3 only, its own earlier lease included.
//	L5. A renewal whose answer was lost is sent again unchanged, and once it is
//	    known to have taken effect it counts from the first time it was sent.
//	L6. The object is never deleted, so that the number never starts again.
//	L7. A holder that stops gives the grant up, waits until none of its orders is
//	    being written or may still be taken, and then writes the same term as
//	    released, on the revision of that term alone. A released lease is taken
//	    at first sight, with the next fencing number (L4). Where the wait or the
//	    write fails, the lease lapses by L3.
//
// By L1 and L3 the next holder of a lapsed lease starts later than the end of the
// grant of the one before by at least an order's lifetime; by L7 that of a
// released one starts when no order of the one before can be taken any more. By L2 the margin covers clocks that run
// at slightly different rates, and the time between the last check of the grant
// and the write of an order.
//
// What remains: a holder that is paused between that check and the write. See
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

// ErrNotHeld says that this instance does not hold the lease
// any more.
var ErrNotHeld = errors.New("lease not held")

// candidates is how many instances of a domain look after its lease.
const candidates = 2

// Lease is the value of a lease object.
type Lease struct {
	Holder hbs.InstanceID `json:"holder"`
	// Term names one unbroken holding; not empty.
	Term string `json:"term"`
	// Fence grows by one with each term; at least 1.
	Fence uint64 `json:"fence"`
	// Renewals counts the renewals of the term.
	Renewals uint64 `json:"renewals"`
	// DurationSeconds is how long the grant runs; positive.
	DurationSeconds float64 `json:"duration_seconds"`
	// Released says that the holder stopped and none of its orders is under way.
	Released bool `json:"released,omitempty"`
}

// Validate reports the first invariant that l breaks.
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

// Duration is how long a grant of l runs.
func (l *Lease) Duration() time.Duration {
	return time.Duration(l.DurationSeconds * float64(time.Second))
}

// Keeper holds the lease of its domain when it is this instance's turn.
type Keeper struct {
	Platform hbs.Platform
	Self     hbs.Instance
	// Directory tells which instances of the domain are candidates.
	Directory hbs.Directory
	Policy    hbs.Policy
	Metrics   metrics.Registry
	Log       *zap.Logger

	once sync.Once
	// leaving is closed by Release, left by Run.
	leaving, left chan struct{}

	mu sync.Mutex
	// until is when the holder stops (L2); zero when not held.
	until time.Time
	fence uint64
	// uses are the orders that are being written or may still be taken (L7).
	uses map[*Use]bool

	// The rest belongs to the goroutine of Run.

	// stored is the object as last known; lease its decoded value.
	stored hbs.Object
	lease  Lease
	// firstSeen is when stored's revision was first read (L3).
	firstSeen time.Time
	// pending is the value of a renewal whose effect is not known, pendingSince
	// when it was first sent (L5).
	pending      *Lease
	pendingSince time.Time
}

func (k *Keeper) init() {
	k.once.Do(func() { k.leaving, k.left = make(chan struct{}), make(chan struct{}) })
}

// Run keeps the lease until ctx ends or the lease was given up by Release.
func (k *Keeper) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "lease") }()
	k.init()
	defer close(k.left)
	defer k.drop()
	for {
		if k.held() {
			k.renew(ctx)
		} else if k.candidate() {
			k.seek(ctx)
		}
		wait := time.NewTimer(k.pause())
		select {
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		case <-k.leaving:
			wait.Stop()
			k.release(ctx)
			return nil
		case <-wait.C:
		}
	}
}

// Fence returns the fencing number of the current grant, if there is one.
func (k *Keeper) Fence() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence, time.Now().Before(k.until)
}

// Check returns nil while the grant with this fencing number runs, else
// ErrNotHeld. It is called right before each write of an order.
func (k *Keeper) Check(fence uint64) error {
	now, ok := k.Fence()
	if !ok || now != fence {
		return errors.Wrapf(ErrNotHeld, "fencing number %d", fence)
	}
	return nil
}

func (k *Keeper) held() bool {
	_, ok := k.Fence()
	return ok
}

// Abandon ends the grant at once, as when the process can't tell for how long it
// stood still. The lease comes back by L3 only.
func (k *Keeper) Abandon() { k.drop() }

func (k *Keeper) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.until = time.Time{}
}

// grant starts or extends the grant from a write first sent at sent (L1, L2).
func (k *Keeper) grant(stored hbs.Object, l Lease, sent time.Time) {
	k.stored, k.lease, k.pending = stored, l, nil
	k.firstSeen = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence = l.Fence
	k.until = sent.Add(l.Duration() - k.duration(KnobMargin))
}

// renew extends the grant (L5).
func (k *Keeper) renew(ctx context.Context) {
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
		k.lose("the lease was taken over")
	default:
		k.inc(meterRenewFailed)
		if fresh && object.Is(err, hbs.ErrNotApplied) {
			k.pending = nil
		}
	}
	if !k.held() {
		k.lose("the lease could not be renewed in time")
	}
}

func (k *Keeper) lose(why string) {
	if k.stored.Revision == 0 {
		return
	}
	k.drop()
	k.stored, k.pending = hbs.Object{}, nil
	k.inc(meterLost)
	k.log().Info("lease lost", zap.String("why", why), zap.Uint64("fence", k.lease.Fence))
}

func (k *Keeper) writer() *object.Writer {
	return &object.Writer{
		Platform:    k.Platform,
		CallTimeout: k.duration(KnobCallTimeout) / 2,
		Impatient:   true,
		Writes:      metrics.GetOrRegisterCounter(meterWrites, k.Metrics),
		Reads:       metrics.GetOrRegisterCounter(meterReads, k.Metrics),
	}
}

// candidate reports whether this instance is one of the few that look after the
// lease: those live ones that rendezvous hashing ranks highest.
func (k *Keeper) candidate() bool {
	ahead := 0
	mine := rank(k.Self.Domain, k.Self.ID)
	for _, i := range k.Directory.Roster().Instances {
		if i.Domain == k.Self.Domain && i.State == hbs.InstanceLive && rank(i.Domain, i.ID) > mine {
			ahead++
		}
	}
	return ahead < candidates
}

func rank(domain hbs.DomainName, id hbs.InstanceID) uint64 {
	return xxhash.Sum64String(string(domain) + "/" + string(id))
}

// pause is the jittered time to the next renewal or read.
func (k *Keeper) pause() time.Duration {
	d := k.duration(KnobRenew)
	return d/2 + rand.N(d/2+1)
}

func (k *Keeper) name() string { return "orders." + string(k.Self.Domain) }

func (k *Keeper) duration(key hbs.KnobKey) time.Duration {
	return k.Policy.Duration(key, hbs.Scope{Domain: k.Self.Domain})
}

func (k *Keeper) inc(meter string) { metrics.GetOrRegisterCounter(meter, k.Metrics).Inc(1) }

func (k *Keeper) log() *zap.Logger {
	if k.Log == nil {
		return zap.NewNop()
	}
	return k.Log
}
