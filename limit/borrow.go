package limit

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc/pool"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// deniedFor is how long a lender without room is not asked again.
	deniedFor = 30 * time.Millisecond
	// unreachedFor is how long a lender that did not answer is not asked again.
	unreachedFor = time.Second
	// againAfter is the time between two attempts to give back, or to be
	// covered, and answerWait the time for one.
	againAfter = 200 * time.Millisecond
	answerWait = 100 * time.Millisecond
	// maxCalls bounds the calls to lenders at the same time.
	maxCalls = 8
	// loanSpare is what a loan lasts beyond its first request, so that others
	// may use it after that one.
	loanSpare = 2 * time.Second
)

// borrow asks others for a slot of a small limit (rule 11). It returns nil when
// there is none.
func (l *Limiter) borrow(a *account, b Bounds, deadline time.Time) *loan {
	if l.Ask == nil || deadline.IsZero() || time.Until(deadline) > maxLoan-loanSpare {
		return nil
	}
	wait := min(l.Policy.Duration(KnobAskWait, hbs.Scope{}), time.Until(deadline))
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	for range int(l.Policy.Number(KnobAsks, hbs.Scope{})) {
		x := l.next(a, b, deadline)
		if x == nil || ctx.Err() != nil {
			return nil
		}
		if l.ask(ctx, x, deadline) {
			return x
		}
	}
	return nil
}

// next returns the loan to ask for, or nil when nobody is worth to be asked.
func (l *Limiter) next(a *account, b Bounds, deadline time.Time) *loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.look()
	ids := l.lenders(a, b.Concurrency, now)
	if len(ids) == 0 || !l.mayAsk(now) {
		return nil
	}
	return l.newLoan(a, b.Concurrency, ids[0], deadline.Add(loanSpare))
}

func (l *Limiter) newLoan(a *account, limit int, from hbs.InstanceID, ends time.Time) *loan {
	l.askTurn++
	l.loans++
	if latest := time.Now().Add(maxLoan); ends.After(latest) {
		ends = latest
	}
	return &loan{account: a, number: l.loans, limit: limit, lender: l.now().instance(from), ends: ends}
}

// mayAsk spends the budget for asks.
func (l *Limiter) mayAsk(now time.Time) bool {
	perSecond := l.Policy.Number(KnobAskRate, hbs.Scope{})
	if l.askBudget == nil {
		l.askBudget = rate.NewLimiter(0, 1)
	}
	if l.askBudget.Limit() != rate.Limit(perSecond) {
		l.askBudget.SetLimitAt(now, rate.Limit(perSecond))
		l.askBudget.SetBurstAt(now, max(1, int(perSecond)))
	}
	if !l.askBudget.AllowN(now, 1) {
		l.count("limit_asks_withheld")
		return false
	}
	return true
}

// ask asks the lender of x and notes what it says. A request until deadline is
// counted with the slot.
func (l *Limiter) ask(ctx context.Context, x *loan, deadline time.Time) bool {
	answer, err := l.call(ctx, x, slotAsk{For: time.Until(x.ends)})
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.granted(x, answer, err) {
		return false
	}
	l.count("limit_slots_borrowed")
	x.account.borrowed = append(x.account.borrowed, x)
	x.account.enter(deadline)
	return true
}

// granted notes what the lender of x said. A loan whose answer is lost is given
// back (rule 12).
func (l *Limiter) granted(x *loan, answer slotAnswer, err error) bool {
	now, a := time.Now(), x.account
	if err != nil {
		l.count("limit_asks_lost")
		l.unreached[x.lender.ID] = now.Add(unreachedFor)
		l.owe(x)
		return false
	}
	a.room[x.lender.ID] = answer.Room
	if !answer.Granted {
		a.denied[x.lender.ID] = now.Add(deniedFor)
	}
	return answer.Granted && l.now().holds(x)
}

// owe lets Run give x back.
func (l *Limiter) owe(x *loan) {
	l.owed = append(l.owed, x)
	l.signal()
}

// call sends q for the loan x to its lender.
func (l *Limiter) call(ctx context.Context, x *loan, q slotAsk) (answer slotAnswer, err error) {
	q.Workspace, q.Number, q.Life = x.account.id, x.number, l.life()
	q.For = min(max(q.For, 0), maxLoan)
	data, err := encoding.Marshal(q)
	if err != nil {
		return answer, err
	}
	data, err = l.Ask(ctx, x.lender, data)
	if err != nil {
		return answer, err
	}
	return answer, cbor.Unmarshal(data, &answer)
}

func (l *Limiter) life() hbs.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().instance(l.Self).Incarnation
}

// signal wakes Run. It does not block.
func (l *Limiter) signal() {
	select {
	case l.wakes() <- struct{}{}:
	default:
	}
}

func (l *Limiter) wakes() chan struct{} {
	l.wakeOnce.Do(func() { l.wake = make(chan struct{}, 1) })
	return l.wake
}

// Run gives slots back and finds covers, until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	for {
		l.settleLoans(ctx)
		if err := l.awaitDue(ctx); err != nil {
			return err
		}
	}
}

// awaitDue waits until something is due or the loans have changed.
func (l *Limiter) awaitDue(ctx context.Context) error {
	wait := l.untilDue()
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-l.wakes():
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settleLoans does what is due.
func (l *Limiter) settleLoans(ctx context.Context) {
	backs, covers := l.due(time.Now())
	calls := pool.New().WithMaxGoroutines(maxCalls)
	defer calls.Wait()
	for _, x := range covers {
		calls.Go(func() { l.cover(ctx, x) })
	}
	for _, x := range backs {
		calls.Go(func() { l.giveBack(ctx, x) })
	}
}

// due returns the loans to give back, and those to ask for as covers.
func (l *Limiter) due(now time.Time) (backs, covers []*loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		l.dropIdle(a, now)
		covers = append(covers, l.balance(a, now)...)
	}
	l.owed = slices.DeleteFunc(l.owed, func(x *loan) bool {
		if now.After(x.ends.Add(loanGrace)) || !l.now().holds(x) {
			return true
		}
		later := now.Before(x.retryAt)
		if !later {
			backs = append(backs, x)
		}
		return !later
	})
	return backs, covers
}

// dropIdle owes the slots that were idle for KnobKeep (rule 13).
func (l *Limiter) dropIdle(a *account, now time.Time) {
	keep := l.Policy.Duration(KnobKeep, hbs.Scope{})
	a.borrowed = slices.DeleteFunc(a.borrowed, func(x *loan) bool {
		idle := !x.idleAt.IsZero() && now.Sub(x.idleAt) >= keep
		if idle {
			l.owed = append(l.owed, x)
		}
		return idle
	})
}

// balance owes covers that are not needed any more and returns those that are
// missing, one for each slot that others gained (rule 14).
func (l *Limiter) balance(a *account, now time.Time) (missing []*loan) {
	b := l.Bounds(a.id)
	if !l.small(b) {
		return nil
	}
	a.covers = slices.DeleteFunc(a.covers, func(x *loan) bool { return now.After(x.ends) })
	excess := a.taken(now) - l.now().holding(a.id, b.Concurrency).slots[l.Self]
	for len(a.covers) > max(excess, 0) {
		l.owed = append(l.owed, a.covers[0])
		a.covers = a.covers[1:]
	}
	if len(a.covers) >= excess || now.Before(a.coverAt) {
		return nil
	}
	ends := a.lastEnd
	for _, until := range a.lent {
		if until.After(ends) {
			ends = until
		}
	}
	if !ends.After(now) {
		return nil
	}
	for _, id := range l.gainers(a, b.Concurrency) {
		if len(missing) < excess-len(a.covers) {
			missing = append(missing, l.newLoan(a, b.Concurrency, id, ends))
		}
	}
	a.coverAt = now.Add(againAfter)
	return missing
}

// untilDue returns the time until something is due.
func (l *Limiter) untilDue() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	keep := l.Policy.Duration(KnobKeep, hbs.Scope{})
	next := time.Minute
	for _, a := range l.accounts {
		if now.Before(a.coverAt) {
			next = min(next, a.coverAt.Sub(now))
		}
		for _, x := range a.borrowed {
			if !x.idleAt.IsZero() {
				next = min(next, x.idleAt.Add(keep).Sub(now))
			}
		}
	}
	for _, x := range l.owed {
		next = min(next, x.retryAt.Sub(now))
	}
	return max(next, 0)
}

// giveBack tells the lender, again and again until it answers (rule 12).
func (l *Limiter) giveBack(ctx context.Context, x *loan) {
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	_, err := l.call(ctx, x, slotAsk{For: time.Until(x.ends) + loanGrace, Back: true})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		x.retryAt = time.Now().Add(againAfter)
		l.owed = append(l.owed, x)
		return
	}
	x.account.room[x.lender.ID] = 1
	delete(x.account.denied, x.lender.ID)
}

// cover asks for a slot that stands for one in use (rule 14).
func (l *Limiter) cover(ctx context.Context, x *loan) {
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	answer, err := l.call(ctx, x, slotAsk{For: time.Until(x.ends), Cover: true})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.granted(x, answer, err) {
		x.account.covers = append(x.account.covers, x)
	}
}
