package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

// PendingOrder is one order that is sent under a grant. A release waits for it
// (L7).
type PendingOrder struct {
	keeper *Holder
	fence  uint64
	// expires is the time after which receivers refuse the order.
	expires time.Time

	// The fields below are guarded by keeper.mu.

	// writing is the number of writes in progress.
	writing int
	// written is set once a write has begun.
	written bool
}

// BeginOrder begins an order under the grant with the given fencing number.
// Receivers refuse the order after until. The caller calls End when the order
// has ended.
func (k *Holder) BeginOrder(fence uint64, until time.Time) *PendingOrder {
	return &PendingOrder{keeper: k, fence: fence, expires: until}
}

// Write calls write if the grant is still in effect, and returns ErrNotHeld
// otherwise.
func (u *PendingOrder) Write(write func() (int, error)) (n int, err error) {
	if err := u.beginWrite(); err != nil {
		return 0, err
	}
	defer u.endWrite()
	return write()
}

// End ends the order. settled states whether the receiver is known to have accepted
// or refused it. A release waits for an order that was written but not settled
// until receivers refuse it.
func (u *PendingOrder) End(settled bool) {
	k := u.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if u.writing == 0 && (settled || !u.written) {
		delete(k.uses, u)
	}
}

func (u *PendingOrder) beginWrite() error {
	k := u.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.fence != u.fence || !now.Before(k.grantEnd) {
		return errors.Wrapf(ErrNotHeld, "fencing number %d", u.fence)
	}
	k.expireUses(now)
	if k.uses == nil {
		k.uses = map[*PendingOrder]bool{}
	}
	k.uses[u] = true
	u.writing++
	u.written = true
	return nil
}

func (u *PendingOrder) endWrite() {
	u.keeper.mu.Lock()
	defer u.keeper.mu.Unlock()
	u.writing--
}

// expireUses removes the orders that receivers refuse by now. The caller holds
// k.mu.
func (k *Holder) expireUses(now time.Time) {
	for u := range k.uses {
		if u.writing == 0 && now.After(u.expires.Add(k.duration(KnobMargin))) {
			delete(k.uses, u)
		}
	}
}

// idle reports whether no order of this instance is being written or may still be
// accepted.
func (k *Holder) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireUses(time.Now())
	return len(k.uses) == 0
}
