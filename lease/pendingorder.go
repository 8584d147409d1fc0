package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

// PendingOrder is one order that is sent under a grant. A release waits for it
// (L7).
type PendingOrder struct {
	holder *Holder
	fence  uint64
	// expires is the time after which receivers refuse the order.
	expires time.Time

	// The fields below are guarded by holder.mu.

	// writing is the number of writes in progress.
	writing int
	// written is set once a write has begun.
	written bool
}

// BeginOrder begins an order under the grant with the given fencing number.
// Receivers refuse the order after until. The caller calls End when the order
// has ended.
func (h *Holder) BeginOrder(fence uint64, until time.Time) *PendingOrder {
	return &PendingOrder{holder: h, fence: fence, expires: until}
}

// Write calls write if the grant is still in effect, and returns ErrNotHeld
// otherwise.
func (o *PendingOrder) Write(write func() (int, error)) (n int, err error) {
	if err := o.beginWrite(); err != nil {
		return 0, err
	}
	defer o.endWrite()
	return write()
}

// End ends the order. settled states whether the receiver is known to have
// accepted or refused it. A release waits for an order that was written but not
// settled until receivers refuse it.
func (o *PendingOrder) End(settled bool) {
	h := o.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.writing == 0 && (settled || !o.written) {
		delete(h.pendingOrders, o)
	}
}

func (o *PendingOrder) beginWrite() error {
	h := o.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.fence != o.fence || !now.Before(h.grantEnd) {
		return errors.Wrapf(ErrNotHeld, "fencing number %d", o.fence)
	}
	h.expireOrders(now)
	if h.pendingOrders == nil {
		h.pendingOrders = map[*PendingOrder]bool{}
	}
	h.pendingOrders[o] = true
	o.writing++
	o.written = true
	return nil
}

func (o *PendingOrder) endWrite() {
	o.holder.mu.Lock()
	defer o.holder.mu.Unlock()
	o.writing--
}

// expireOrders removes the orders that receivers refuse by now. The caller holds
// h.mu.
func (h *Holder) expireOrders(now time.Time) {
	for o := range h.pendingOrders {
		if o.writing == 0 && now.After(o.expires.Add(h.duration(KnobMargin))) {
			delete(h.pendingOrders, o)
		}
	}
}

// idle reports whether no order of this instance is being written or may still be
// accepted.
func (h *Holder) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireOrders(time.Now())
	return len(h.pendingOrders) == 0
}
