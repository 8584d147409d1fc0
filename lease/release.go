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

// Release releases the lease and ends Run (L7). It returns when Run has
// returned or ctx ends, whichever is first. If the lease can't be released, it
// expires. Release may be called more than once.
func (h *Holder) Release(ctx context.Context) error {
	h.init()
	h.mu.Lock()
	select {
	case <-h.releasing:
	default:
		close(h.releasing)
	}
	h.mu.Unlock()
	select {
	case <-h.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release ends the grant and writes the term as released.
func (h *Holder) release(ctx context.Context) {
	if !h.held() {
		return
	}
	h.drop()
	if !h.waitIdle(ctx) {
		h.releaseFailed("orders are still in progress")
		return
	}
	if err := h.putReleased(ctx); err != nil {
		h.releaseFailed(err.Error())
		return
	}
	h.inc(meterReleased)
	h.log().Info("lease released", zap.Uint64("fence", h.lease.Fence))
}

func (h *Holder) releaseFailed(why string) {
	h.inc(meterNotReleased)
	h.log().Warn("lease not released, it will expire", zap.String("why", why), zap.Uint64("fence", h.lease.Fence))
}

// waitIdle waits until no order is in progress, and reports whether that is so.
// It takes at most the lifetime of an order plus the margin, unless a write
// hangs.
func (h *Holder) waitIdle(ctx context.Context) bool {
	timeout := h.duration(KnobOrderLifetime) + h.duration(KnobMargin) + idlePoll
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !h.idle() {
		if delay.For(ctx, idlePoll) != nil {
			return h.idle()
		}
	}
	return true
}

// putReleased writes the release. A pending renewal may have changed the
// revision; the term distinguishes that from a takeover by another instance.
func (h *Holder) putReleased(ctx context.Context) error {
	next := h.lease
	if h.pending != nil {
		next = *h.pending
	}
	next.Released = true
	stored, err := h.put(ctx, h.stored.Revision, next)
	if object.Is(err, hbs.ErrConflict) && sameTerm(stored, &next) {
		_, err = h.put(ctx, stored.Revision, next)
	}
	return err
}

func sameTerm(stored hbs.Object, l *Lease) bool {
	var other Lease
	return json.Unmarshal(stored.Value, &other) == nil && other.Term == l.Term
}
