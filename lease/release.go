package lease

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// quietPoll is the time between two looks for orders that are under way.
const quietPoll = 50 * time.Millisecond

// Release gives the lease up for good and ends Run (L7). It returns when Run has
// ended or ctx ends, whichever is first; without a release the lease lapses. It
// may be called more than once.
func (k *Keeper) Release(ctx context.Context) error {
	k.init()
	k.mu.Lock()
	select {
	case <-k.leaving:
	default:
		close(k.leaving)
	}
	k.mu.Unlock()
	select {
	case <-k.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release gives the grant up and writes the term as released.
func (k *Keeper) release(ctx context.Context) {
	if !k.held() {
		return
	}
	k.drop()
	if !k.settle(ctx) {
		k.unreleased("orders are under way")
		return
	}
	if err := k.putReleased(ctx); err != nil {
		k.unreleased(err.Error())
		return
	}
	k.inc(meterReleased)
	k.log().Info("lease released", zap.Uint64("fence", k.lease.Fence))
}

func (k *Keeper) unreleased(why string) {
	k.inc(meterNotReleased)
	k.log().Warn("lease not released, it lapses", zap.String("why", why), zap.Uint64("fence", k.lease.Fence))
}

// settle waits until no order is under way. That lasts for an order's lifetime and
// the margin at most, unless a write hangs.
func (k *Keeper) settle(ctx context.Context) bool {
	patience := k.duration(KnobOrderLifetime) + k.duration(KnobMargin) + quietPoll
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for !k.quiet() {
		if delay.For(ctx, quietPoll) != nil {
			return k.quiet()
		}
	}
	return true
}

// putReleased writes the release. A renewal without a known effect may have moved
// the revision on; the term tells that from another instance's lease.
func (k *Keeper) putReleased(ctx context.Context) error {
	next := k.lease
	if k.pending != nil {
		next = *k.pending
	}
	next.Released = true
	stored, err := k.put(ctx, k.stored.Revision, next)
	if object.Is(err, hbs.ErrConflict) && sameTerm(stored, &next) {
		_, err = k.put(ctx, stored.Revision, next)
	}
	return err
}

func sameTerm(stored hbs.Object, l *Lease) bool {
	var other Lease
	return json.Unmarshal(stored.Value, &other) == nil && other.Term == l.Term
}
