package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// loanGrace is added to the time of a loan by its lender, for a request that
	// ends a little after its deadline.
	loanGrace = time.Second
	// lateAsk is how long after its answer an ask may come again.
	lateAsk = 2 * time.Second
	// maxLoan bounds the time of a loan.
	maxLoan = time.Hour
)

// slotAsk asks for a slot of a small limit, or gives one back.
type slotAsk struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is not empty.
	Workspace hbs.WorkspaceID
	// Life is that of the asking process, Number that of the loan in it.
	Life   hbs.Incarnation
	Number uint64
	// For is how long the slot may be used; positive unless Back.
	For  time.Duration
	Back bool
	// Cover tells that the slot is for one in use already (rule 14).
	Cover bool
}

// slotAnswer answers a slotAsk.
type slotAnswer struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
	// Room is how many slots the lender has left.
	Room int
}

func (q *slotAsk) validate() error {
	if q.Workspace == "" || q.For < 0 || q.For > maxLoan || (q.For == 0 && !q.Back) {
		return errors.Newf("slot of %q for %v", q.Workspace, q.For)
	}
	return nil
}

// loanKey names a loan at its lender.
type loanKey struct {
	borrower hbs.InstanceID
	life     hbs.Incarnation
	number   uint64
}

// loan is a slot that is borrowed.
type loan struct {
	account *account
	number  uint64
	// limit is the workspace's limit when it was lent.
	limit int
	// lender is the zero instance once it is gone.
	lender hbs.Instance
	ends   time.Time
	// idleAt is when the last request on it ended; zero while one runs.
	idleAt time.Time
	// retryAt is when to give back again.
	retryAt time.Time
}

// free returns the idle loan that lasts for longest and beyond until, or nil.
func (a *account) free(limit int, until time.Time) *loan {
	var found *loan
	for _, x := range a.borrowed {
		good := !x.idleAt.IsZero() && x.limit == limit && !x.ends.Before(until)
		if good && (found == nil || x.ends.After(found.ends)) {
			found = x
		}
	}
	return found
}

// taken returns how many slots are in use here or lent, without those of others.
func (a *account) taken(now time.Time) int {
	forget(a.lent, now)
	n := a.running + len(a.lent)
	for _, x := range a.borrowed {
		if x.idleAt.IsZero() && x.lender.ID != "" {
			n--
		}
	}
	return n
}

// disown drops loans of which the other side is gone (rules 5 and 14).
func (l *Limiter) disown() {
	e := l.now()
	for _, a := range l.accounts {
		for key := range a.lent {
			if !e.lives(key.borrower, key.life) {
				delete(a.lent, key)
			}
		}
		a.borrowed = slices.DeleteFunc(a.borrowed, func(x *loan) bool {
			if e.holds(x) {
				return false
			}
			x.lender = hbs.Instance{}
			return !x.idleAt.IsZero()
		})
		a.covers = slices.DeleteFunc(a.covers, func(x *loan) bool { return !e.holds(x) })
	}
	l.signal()
}

// Answer answers the ask of another instance. An error means that data was not
// understood.
func (l *Limiter) Answer(from hbs.InstanceID, data []byte) (answer []byte, err error) {
	defer func() { err = errors.Wrapf(err, "slot for %q", from) }()
	var q slotAsk
	if err := cbor.Unmarshal(data, &q); err != nil {
		return nil, err
	}
	if err := q.validate(); err != nil {
		return nil, err
	}
	return encoding.Marshal(l.lend(from, &q))
}

func (l *Limiter) lend(from hbs.InstanceID, q *slotAsk) slotAnswer {
	bounds := l.Bounds(q.Workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.look()
	if !l.now().lives(from, q.Life) || !l.small(bounds) && !q.Back {
		return slotAnswer{}
	}
	a := l.account(q.Workspace)
	key := loanKey{from, q.Life, q.Number}
	if q.Back {
		a.takeBack(key, q.For, now)
		return slotAnswer{Granted: true}
	}
	if _, again := a.lent[key]; again {
		return slotAnswer{Granted: true}
	}
	if _, over := a.over[key]; over {
		return slotAnswer{}
	}
	room := l.evenSlots(q.Workspace, bounds.Concurrency, now) - a.taken(now)
	if q.Cover {
		room = l.now().holding(q.Workspace, bounds.Concurrency).slots[l.Self] - a.taken(now) + len(a.covers)
	}
	if room <= 0 {
		a.close(key, lateAsk, now)
		return slotAnswer{}
	}
	a.lent[key] = now.Add(q.For + loanGrace)
	l.count("limit_slots_lent")
	return slotAnswer{Granted: true, Room: room - 1}
}

// takeBack ends a loan. One that was not known may be asked for until its time
// has passed.
func (a *account) takeBack(key loanKey, rest time.Duration, now time.Time) {
	if _, known := a.lent[key]; known {
		rest = min(rest, lateAsk)
	}
	delete(a.lent, key)
	a.close(key, rest, now)
}

// close refuses the loan for d if it is asked for late.
func (a *account) close(key loanKey, d time.Duration, now time.Time) {
	forget(a.over, now)
	a.over[key] = now.Add(d)
}

// forget drops what has passed.
func forget(until map[loanKey]time.Time, now time.Time) {
	for key, at := range until {
		if now.After(at) {
			delete(until, key)
		}
	}
}

// lenders returns whom to ask for a slot, the likeliest first.
func (l *Limiter) lenders(a *account, limit int, now time.Time) []hbs.InstanceID {
	h := l.now().holding(a.id, limit)
	left := func(id hbs.InstanceID) int {
		n := h.slots[id]
		for _, x := range a.borrowed {
			if x.lender.ID == id {
				n--
			}
		}
		return n
	}
	ids := slices.DeleteFunc(rotate(slices.Clone(h.holders), l.askTurn), func(id hbs.InstanceID) bool {
		return id == l.Self || left(id) <= 0 || now.Before(l.unreached[id]) || now.Before(a.denied[id])
	})
	slices.SortStableFunc(ids, func(x, y hbs.InstanceID) int { return cmp.Compare(a.room[y], a.room[x]) })
	return ids
}

// gainers returns the others that have more slots of a small limit by the newest
// roster than by an older one of the last KnobHold.
func (l *Limiter) gainers(a *account, limit int) []hbs.InstanceID {
	newest := l.now().holding(a.id, limit)
	return slices.DeleteFunc(rotate(slices.Clone(newest.holders), l.askTurn), func(id hbs.InstanceID) bool {
		gains := slices.ContainsFunc(l.eras, func(e *era) bool { return e.holding(a.id, limit).slots[id] < newest.slots[id] })
		return id == l.Self || !gains
	})
}
