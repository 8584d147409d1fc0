package limit

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// deniedRetryDelay is how long a lender without a free slot is not asked
	// again.
	deniedRetryDelay = 30 * time.Millisecond
	// unreachableRetryDelay is how long a lender that did not answer is not
	// asked again.
	unreachableRetryDelay = time.Second
	// retryInterval is the time between two attempts to return a loan or to
	// borrow for the excess, callTimeout the timeout of one of them.
	retryInterval = 200 * time.Millisecond
	callTimeout   = 100 * time.Millisecond
	// maxConcurrentCalls bounds the calls to lenders that Run makes at the same
	// time.
	maxConcurrentCalls = 8
	// loanExtension is how long a loan lasts beyond the deadline of its first
	// request, so that later requests can use the slot.
	loanExtension = 2 * time.Second
)

// borrow requests a slot of a small limit from other instances (rule 11). It
// returns nil if none lends one in time.
func (l *Limiter) borrow(a *account, limits Limits, deadline time.Time) *loan {
	if l.SendLoanRequest == nil || deadline.IsZero() || time.Until(deadline) > maxLoanDuration-loanExtension {
		return nil
	}
	wait := min(l.Policy.Duration(KnobLoanWait, hbs.Scope{}), time.Until(deadline))
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	for range int(l.Policy.Number(KnobLoanAttempts, hbs.Scope{})) {
		x := l.nextLoan(a, limits, deadline)
		if x == nil || ctx.Err() != nil {
			return nil
		}
		if l.requestLoan(ctx, x, deadline) {
			return x
		}
	}
	return nil
}

// nextLoan returns the loan to request, or nil if no lender is likely to grant
// one or the budget of loan requests is spent.
func (l *Limiter) nextLoan(a *account, limits Limits, deadline time.Time) *loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.refreshView()
	ids := l.lenders(a, limits.Concurrency, now)
	if len(ids) == 0 || !l.allowLoanRequest(now) {
		return nil
	}
	return l.newLoan(a, limits.Concurrency, ids[0], deadline.Add(loanExtension))
}

func (l *Limiter) newLoan(a *account, limit int, from hbs.InstanceID, ends time.Time) *loan {
	l.lenderTurn++
	l.lastLoan++
	if latest := time.Now().Add(maxLoanDuration); ends.After(latest) {
		ends = latest
	}
	return &loan{account: a, number: l.lastLoan, limit: limit, lender: l.current().instance(from), ends: ends}
}

// allowLoanRequest takes one loan request from the budget of KnobLoanRequestRate.
func (l *Limiter) allowLoanRequest(now time.Time) bool {
	perSecond := l.Policy.Number(KnobLoanRequestRate, hbs.Scope{})
	if l.requestBudget == nil {
		l.requestBudget = rate.NewLimiter(0, 1)
	}
	if l.requestBudget.Limit() != rate.Limit(perSecond) {
		l.requestBudget.SetLimitAt(now, rate.Limit(perSecond))
		l.requestBudget.SetBurstAt(now, max(1, int(perSecond)))
	}
	if !l.requestBudget.AllowN(now, 1) {
		l.count("limit_asks_withheld")
		return false
	}
	return true
}

// requestLoan requests x from its lender and reports whether it was granted. If
// so, it counts a request that ends at deadline in the slot.
func (l *Limiter) requestLoan(ctx context.Context, x *loan, deadline time.Time) bool {
	resp, err := l.call(ctx, x, loanRequest{Duration: time.Until(x.ends)})
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.handleResponse(x, resp, err) {
		return false
	}
	l.count("limit_slots_borrowed")
	x.account.borrowed = append(x.account.borrowed, x)
	x.account.beginRequest(deadline)
	return true
}

// handleResponse records the lender's response and reports whether x was
// granted. If the response was lost, x is returned in case it was granted (rule
// 12).
func (l *Limiter) handleResponse(x *loan, resp loanResponse, err error) bool {
	now, a := time.Now(), x.account
	if err != nil {
		l.count("limit_asks_lost")
		l.unreachableUntil[x.lender.ID] = now.Add(unreachableRetryDelay)
		l.queueReturn(x)
		return false
	}
	a.available[x.lender.ID] = resp.Available
	if !resp.Granted {
		a.deniedUntil[x.lender.ID] = now.Add(deniedRetryDelay)
	}
	return resp.Granted && l.current().lenderAlive(x)
}

// call sends q about the loan x to its lender.
func (l *Limiter) call(ctx context.Context, x *loan, q loanRequest) (resp loanResponse, err error) {
	q.Workspace, q.Number, q.Incarnation = x.account.id, x.number, l.incarnation()
	q.Duration = min(max(q.Duration, 0), maxLoanDuration)
	data, err := encoding.Marshal(q)
	if err != nil {
		return resp, err
	}
	data, err = l.SendLoanRequest(ctx, x.lender, data)
	if err != nil {
		return resp, err
	}
	return resp, cbor.Unmarshal(data, &resp)
}

func (l *Limiter) incarnation() hbs.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current().instance(l.Self).Incarnation
}
