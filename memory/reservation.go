package memory

import "sync"

// Reservation is what one request has reserved.
type Reservation struct {
	// Budget may be nil.
	Budget *Budget

	mu    sync.Mutex
	taken map[Share]int64
}

// Reserve adds n bytes to the reservation, or returns ErrUsedUp.
func (r *Reservation) Reserve(s Share, n int64) error {
	if err := r.Budget.Reserve(s, n); err != nil {
		return err
	}
	r.add(s, n)
	return nil
}

// Hold adds n bytes for a response to the reservation, and reports whether they are to be
// had.
func (r *Reservation) Hold(n int64) bool {
	if !r.Budget.Take(ShareResponses, n) {
		return false
	}
	r.add(ShareResponses, n)
	return true
}

func (r *Reservation) add(s Share, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken == nil {
		r.taken = map[Share]int64{}
	}
	r.taken[s] += n
}

// GrowBody reserves what a body grows by, from one size to another, in bytes.
func (r *Reservation) GrowBody(from, to int64) error {
	small := min(to, SmallBody) - min(from, SmallBody)
	if err := r.Reserve(ShareLargeBodies, to-from-small); err != nil {
		return err
	}
	return r.Reserve(ShareBodies, small)
}

// Release releases the whole reservation.
func (r *Reservation) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, n := range r.taken {
		r.Budget.Release(s, n)
	}
	r.taken = nil
}
