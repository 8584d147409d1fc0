package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// loanGrace is added to the duration of a loan by its lender, for a request
	// that ends shortly after its deadline.
	loanGrace = time.Second
	// lateRequestWindow is how long after a loan was denied or returned a late
	// request for it is refused.
	lateRequestWindow = 2 * time.Second
	// maxLoanDuration bounds the duration of a loan.
	maxLoanDuration = time.Hour
)

// loanRequest requests or returns a slot of a small limit.
type loanRequest struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is not empty.
	Workspace hbs.WorkspaceID
	// Incarnation is that of the borrowing process, Number that of the loan in
	// it.
	Incarnation hbs.Incarnation
	Number      uint64
	// Duration is how long the slot may be used; positive unless Return.
	Duration time.Duration
	Return   bool
	// Excess means that the slot makes up for one that is in use already (rule
	// 14).
	Excess bool
}

// loanResponse is the response to a loanRequest.
type loanResponse struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
	// Available is how many slots the lender has left.
	Available int
}

func (q *loanRequest) validate() error {
	if q.Workspace == "" || q.Duration < 0 || q.Duration > maxLoanDuration || (q.Duration == 0 && !q.Return) {
		return errors.Newf("invalid loan request for a slot of workspace %q for %v", q.Workspace, q.Duration)
	}
	return nil
}

// loanKey identifies a loan at its lender.
type loanKey struct {
	borrower    hbs.InstanceID
	incarnation hbs.Incarnation
	number      uint64
}

// loan is a borrowed slot at its borrower.
type loan struct {
	account *account
	number  uint64
	// limit is the workspace's limit at the time of the request.
	limit int
	// lender is the zero value after the lender left the roster.
	lender hbs.Instance
	ends   time.Time
	// idleAt is when the last request in the slot ended; zero while one runs.
	idleAt time.Time
	// retryAt is when to try to return the slot again.
	retryAt time.Time
}

// idleLoan returns the idle borrowed slot that expires last and not before
// until, or nil.
func (a *account) idleLoan(limit int, until time.Time) *loan {
	var found *loan
	for _, x := range a.borrowed {
		usable := !x.idleAt.IsZero() && x.limit == limit && !x.ends.Before(until)
		if usable && (found == nil || x.ends.After(found.ends)) {
			found = x
		}
	}
	return found
}

// slotsInUse returns how many slots of this instance are in use or lent. It
// includes slots that were borrowed from a lender that left the roster (rule
// 14).
func (a *account) slotsInUse(now time.Time) int {
	deleteExpired(a.lent, now)
	n := a.running + len(a.lent)
	for _, x := range a.borrowed {
		if x.idleAt.IsZero() && x.lender.ID != "" {
			n--
		}
	}
	return n
}

// dropDeadLoans drops loans whose borrower or lender left the roster, and what is
// known of such lenders (rules 5 and 14). A borrowed slot in use remains without its lender until its request
// ends, and counts as a slot of this instance.
func (l *Limiter) dropDeadLoans() {
	e := l.current()
	gone := func(id hbs.InstanceID) bool { return e.instance(id).ID == "" }
	maps.DeleteFunc(l.unreachableUntil, func(id hbs.InstanceID, _ time.Time) bool { return gone(id) })
	for _, a := range l.accounts {
		maps.DeleteFunc(a.deniedUntil, func(id hbs.InstanceID, _ time.Time) bool { return gone(id) })
		maps.DeleteFunc(a.available, func(id hbs.InstanceID, _ int) bool { return gone(id) })
		for key := range a.lent {
			if !e.contains(key.borrower, key.incarnation) {
				delete(a.lent, key)
			}
		}
		a.borrowed = slices.DeleteFunc(a.borrowed, func(x *loan) bool {
			if e.lenderAlive(x) {
				return false
			}
			x.lender = hbs.Instance{}
			return !x.idleAt.IsZero()
		})
		a.excessLoans = slices.DeleteFunc(a.excessLoans, func(x *loan) bool { return !e.lenderAlive(x) })
	}
	l.signal()
}

// HandleLoanRequest answers the loan request of another instance. An error
// means that data could not be decoded.
func (l *Limiter) HandleLoanRequest(from hbs.InstanceID, data []byte) (answer []byte, err error) {
	defer func() { err = errors.Wrapf(err, "loan request of instance %q", from) }()
	var q loanRequest
	if err := cbor.Unmarshal(data, &q); err != nil {
		return nil, err
	}
	if err := q.validate(); err != nil {
		return nil, err
	}
	return encoding.Marshal(l.lend(from, &q))
}

// lend grants, denies or ends a loan. A loan for excess may use the slots that
// KnobReassignDelay withholds from new requests (rule 14).
func (l *Limiter) lend(from hbs.InstanceID, q *loanRequest) loanResponse {
	limits := l.Limits(q.Workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.refreshView()
	if !l.current().contains(from, q.Incarnation) || !l.small(limits) && !q.Return {
		return loanResponse{}
	}
	a := l.account(q.Workspace)
	key := loanKey{from, q.Incarnation, q.Number}
	if q.Return {
		a.endLoan(key, q.Duration, now)
		return loanResponse{Granted: true}
	}
	if _, closed := a.closed[key]; closed {
		return loanResponse{}
	}
	available := l.localSlots(q.Workspace, limits.Concurrency, now) - a.slotsInUse(now)
	if q.Excess {
		available = l.current().assignment(q.Workspace, limits.Concurrency).slots[l.Self] - a.slotsInUse(now) + len(a.excessLoans)
	}
	if _, duplicate := a.lent[key]; duplicate {
		return loanResponse{Granted: true, Available: max(available, 0)}
	}
	if available <= 0 {
		a.refuseLateRequest(key, lateRequestWindow, now)
		return loanResponse{}
	}
	a.lent[key] = now.Add(q.Duration + loanGrace)
	l.count("limit_slots_lent")
	return loanResponse{Granted: true, Available: available - 1}
}

// endLoan ends a loan that its borrower returns. If the loan is unknown, its
// request may still arrive and is refused for the remaining time.
func (a *account) endLoan(key loanKey, remaining time.Duration, now time.Time) {
	if _, known := a.lent[key]; known {
		remaining = min(remaining, lateRequestWindow)
	}
	delete(a.lent, key)
	a.refuseLateRequest(key, remaining, now)
}

// refuseLateRequest refuses the loan if its request arrives within d.
func (a *account) refuseLateRequest(key loanKey, d time.Duration, now time.Time) {
	deleteExpired(a.closed, now)
	a.closed[key] = now.Add(d)
}

// deleteExpired deletes the loans whose time has passed.
func deleteExpired(until map[loanKey]time.Time, now time.Time) {
	for key, at := range until {
		if now.After(at) {
			delete(until, key)
		}
	}
}

// lenders returns the instances to ask for a slot, the likeliest to grant one
// first.
func (l *Limiter) lenders(a *account, limit int, now time.Time) []hbs.InstanceID {
	assigned := l.current().assignment(a.id, limit)
	unborrowed := func(id hbs.InstanceID) int {
		n := assigned.slots[id]
		for _, x := range a.borrowed {
			if x.lender.ID == id {
				n--
			}
		}
		return n
	}
	ids := slices.DeleteFunc(rotate(slices.Clone(assigned.holders), l.lenderTurn), func(id hbs.InstanceID) bool {
		return id == l.Self || unborrowed(id) <= 0 || now.Before(l.unreachableUntil[id]) || now.Before(a.deniedUntil[id])
	})
	slices.SortStableFunc(ids, func(x, y hbs.InstanceID) int { return cmp.Compare(a.available[y], a.available[x]) })
	return ids
}

// gainers returns the other instances that have more slots of a small limit in
// the newest epoch than in an older one of the last KnobReassignDelay.
func (l *Limiter) gainers(a *account, limit int) []hbs.InstanceID {
	newest := l.current().assignment(a.id, limit)
	return slices.DeleteFunc(rotate(slices.Clone(newest.holders), l.lenderTurn), func(id hbs.InstanceID) bool {
		gains := slices.ContainsFunc(l.epochs, func(e *epoch) bool { return e.assignment(a.id, limit).slots[id] < newest.slots[id] })
		return id == l.Self || !gains
	})
}
