package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Use is one order that is sent under a grant. A release waits for it (L7).
type Use struct {
	keeper *Keeper
	fence  uint64
	// expires is the time after which receivers refuse the order.
	expires time.Time

	// The fields below are guarded by keeper.mu.

	// writing is the number of writes in progress.
	writing int
	// written is set once a write has begun.
	written bool
}

// Use begins an order under the grant with the given fencing number. Receivers
// refuse the order after until. The caller calls End when the order has ended.
func (k *Keeper) Use(fence uint64, until time.Time) *Use {
	return &Use{keeper: k, fence: fence, expires: until}
}

// Write calls write if the grant is still in effect, and returns ErrNotHeld
// otherwise.
func (u *Use) Write(write func() (int, error)) (n int, err error) {
	if err := u.beginWrite(); err != nil {
		return 0, err
	}
	defer u.endWrite()
	return write()
}

// End ends the order. settled states whether the receiver is known to have accepted
// or refused it. A release waits for an order that was written but not settled
// until receivers refuse it.
func (u *Use) End(settled bool) {
	k := u.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if u.writing == 0 && (settled || !u.written) {
		delete(k.uses, u)
	}
}

func (u *Use) beginWrite() error {
	k := u.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.fence != u.fence || !now.Before(k.grantEnd) {
		return errors.Wrapf(ErrNotHeld, "fencing number %d", u.fence)
	}
	k.expireUses(now)
	if k.uses == nil {
		k.uses = map[*Use]bool{}
	}
	k.uses[u] = true
	u.writing++
	u.written = true
	return nil
}

func (u *Use) endWrite() {
	u.keeper.mu.Lock()
	defer u.keeper.mu.Unlock()
	u.writing--
}

// expireUses removes the orders that receivers refuse by now. The caller holds
// k.mu.
func (k *Keeper) expireUses(now time.Time) {
	for u := range k.uses {
		if u.writing == 0 && now.After(u.expires.Add(k.duration(KnobMargin))) {
			delete(k.uses, u)
		}
	}
}

// idle reports whether no order of this instance is being written or may still be
// accepted.
func (k *Keeper) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireUses(time.Now())
	return len(k.uses) == 0
}
