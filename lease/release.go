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

// idlePoll is the interval at which waitIdle checks for orders in progress.
const idlePoll = 50 * time.Millisecond

// Release releases the lease and ends Run (L7). It returns when Run has returned or
// ctx ends, whichever is first. If the lease can't be released, it expires. Release
// may be called more than once.
func (k *Holder) Release(ctx context.Context) error {
	k.init()
	k.mu.Lock()
	select {
	case <-k.releasing:
	default:
		close(k.releasing)
	}
	k.mu.Unlock()
	select {
	case <-k.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release ends the grant and writes the term as released.
func (k *Holder) release(ctx context.Context) {
	if !k.held() {
		return
	}
	k.drop()
	if !k.waitIdle(ctx) {
		k.releaseFailed("orders are still in progress")
		return
	}
	if err := k.putReleased(ctx); err != nil {
		k.releaseFailed(err.Error())
		return
	}
	k.inc(meterReleased)
	k.log().Info("lease released", zap.Uint64("fence", k.lease.Fence))
}

func (k *Holder) releaseFailed(why string) {
	k.inc(meterNotReleased)
	k.log().Warn("lease not released, it will expire", zap.String("why", why), zap.Uint64("fence", k.lease.Fence))
}

// waitIdle waits until no order is in progress, and reports whether that is so. It
// takes at most the lifetime of an order plus the margin, unless a write hangs.
func (k *Holder) waitIdle(ctx context.Context) bool {
	timeout := k.duration(KnobOrderLifetime) + k.duration(KnobMargin) + idlePoll
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !k.idle() {
		if delay.For(ctx, idlePoll) != nil {
			return k.idle()
		}
	}
	return true
}

// putReleased writes the release. A pending renewal may have changed the revision;
// the term distinguishes that from a takeover by another instance.
func (k *Holder) putReleased(ctx context.Context) error {
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
