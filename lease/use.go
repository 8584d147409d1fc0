package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Use is one order given under a grant. A release waits for it (L7).
type Use struct {
	keeper *Keeper
	fence  uint64
	// until is when receivers refuse the order.
	until time.Time

	// The rest is guarded by keeper.mu.

	// writing counts the writes under way.
	writing int
	written bool
}

// Use begins an order under the grant with this fencing number, which receivers
// refuse after until. The caller ends it with End.
func (k *Keeper) Use(fence uint64, until time.Time) *Use {
	return &Use{keeper: k, fence: fence, until: until}
}

// Write calls write if the grant still runs, else it returns ErrNotHeld.
func (u *Use) Write(write func() (int, error)) (n int, err error) {
	if err := u.enter(); err != nil {
		return 0, err
	}
	defer u.leave()
	return write()
}

// End says whether the receiver is known to have taken or refused the order. One
// that was written and may still be on its way counts until it is refused.
func (u *Use) End(settled bool) {
	k := u.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if u.writing == 0 && (settled || !u.written) {
		delete(k.uses, u)
	}
}

func (u *Use) enter() error {
	k := u.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.fence != u.fence || !now.Before(k.until) {
		return errors.Wrapf(ErrNotHeld, "fencing number %d", u.fence)
	}
	k.forgetUses(now)
	if k.uses == nil {
		k.uses = map[*Use]bool{}
	}
	k.uses[u] = true
	u.writing++
	u.written = true
	return nil
}

func (u *Use) leave() {
	u.keeper.mu.Lock()
	defer u.keeper.mu.Unlock()
	u.writing--
}

// forgetUses drops the orders that no receiver takes any more.
func (k *Keeper) forgetUses(now time.Time) {
	for u := range k.uses {
		if u.writing == 0 && now.After(u.until.Add(k.duration(KnobMargin))) {
			delete(k.uses, u)
		}
	}
}

// quiet reports whether no order of this instance is being written or may still
// be taken.
func (k *Keeper) quiet() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forgetUses(time.Now())
	return len(k.uses) == 0
}
