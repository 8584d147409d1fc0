package limit

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// queueReturn has Run return x.
func (l *Limiter) queueReturn(x *loan) {
	l.returns = append(l.returns, x)
	l.signal()
}

// signal wakes Run. It does not block.
func (l *Limiter) signal() {
	select {
	case l.wakeChannel() <- struct{}{}:
	default:
	}
}

func (l *Limiter) wakeChannel() chan struct{} {
	l.wakeOnce.Do(func() { l.wake = make(chan struct{}, 1) })
	return l.wake
}

// Run returns loans and borrows slots for the excess (rule 14) until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	for {
		l.processLoans(ctx)
		if err := l.waitUntilDue(ctx); err != nil {
			return err
		}
	}
}

// waitUntilDue waits until a call is due or the loans have changed.
func (l *Limiter) waitUntilDue(ctx context.Context) error {
	wait := l.untilDue()
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-l.wakeChannel():
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// processLoans makes the calls that are due.
func (l *Limiter) processLoans(ctx context.Context) {
	returns, requests := l.dueCalls(time.Now())
	calls := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	defer calls.Wait()
	for _, x := range requests {
		calls.Go(func() { l.borrowExcess(ctx, x) })
	}
	for _, x := range returns {
		calls.Go(func() { l.returnLoan(ctx, x) })
	}
}

// dueCalls returns the loans to return and those to request for the excess.
func (l *Limiter) dueCalls(now time.Time) (returns, requests []*loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		l.returnIdle(a, now)
		requests = append(requests, l.balanceExcess(a, now)...)
	}
	l.returns = slices.DeleteFunc(l.returns, func(x *loan) bool {
		if now.After(x.ends.Add(loanGrace)) || !l.current().lenderAlive(x) {
			return true
		}
		tooEarly := now.Before(x.retryAt)
		if !tooEarly {
			returns = append(returns, x)
		}
		return !tooEarly
	})
	return returns, requests
}

// returnIdle queues the return of slots that were idle for KnobIdleSlotTime
// (rule 13).
func (l *Limiter) returnIdle(a *account, now time.Time) {
	maxIdle := l.Policy.Duration(KnobIdleSlotTime, hbs.Scope{})
	a.borrowed = slices.DeleteFunc(a.borrowed, func(x *loan) bool {
		idle := !x.idleAt.IsZero() && now.Sub(x.idleAt) >= maxIdle
		if idle {
			l.returns = append(l.returns, x)
		}
		return idle
	})
}

// balanceExcess queues the return of excess loans that are no longer needed. It
// returns the loans to request for slots in use beyond those of this instance,
// at most one from each instance that gained slots (rule 14).
func (l *Limiter) balanceExcess(a *account, now time.Time) (requests []*loan) {
	limits := l.Limits(a.id)
	if !l.small(limits) {
		return nil
	}
	a.excessLoans = slices.DeleteFunc(a.excessLoans, func(x *loan) bool { return now.After(x.ends) })
	excess := a.slotsInUse(now) - l.current().assignment(a.id, limits.Concurrency).slots[l.Self]
	for len(a.excessLoans) > max(excess, 0) {
		l.returns = append(l.returns, a.excessLoans[0])
		a.excessLoans = a.excessLoans[1:]
	}
	if len(a.excessLoans) >= excess || now.Before(a.excessRetryAt) {
		return nil
	}
	ends := a.latestEnd
	for _, until := range a.lent {
		if until.After(ends) {
			ends = until
		}
	}
	if !ends.After(now) {
		return nil
	}
	for _, id := range l.gainers(a, limits.Concurrency) {
		if len(requests) < excess-len(a.excessLoans) {
			requests = append(requests, l.newLoan(a, limits.Concurrency, id, ends))
		}
	}
	a.excessRetryAt = now.Add(retryInterval)
	return requests
}

// untilDue returns the time until the next call is due.
func (l *Limiter) untilDue() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maxIdle := l.Policy.Duration(KnobIdleSlotTime, hbs.Scope{})
	next := time.Minute
	for _, a := range l.accounts {
		if now.Before(a.excessRetryAt) {
			next = min(next, a.excessRetryAt.Sub(now))
		}
		for _, x := range a.excessLoans {
			next = min(next, x.ends.Sub(now))
		}
		for _, x := range a.borrowed {
			if !x.idleAt.IsZero() {
				next = min(next, x.idleAt.Add(maxIdle).Sub(now))
			}
		}
	}
	for _, x := range l.returns {
		next = min(next, x.retryAt.Sub(now))
	}
	return max(next, 0)
}

// returnLoan returns x to its lender. It queues x again if the lender does not
// answer (rule 12).
func (l *Limiter) returnLoan(ctx context.Context, x *loan) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := l.call(ctx, x, loanRequest{Duration: time.Until(x.ends) + loanGrace, Return: true})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		x.retryAt = time.Now().Add(retryInterval)
		l.returns = append(l.returns, x)
		return
	}
	x.account.available[x.lender.ID] = 1
	delete(x.account.deniedUntil, x.lender.ID)
}

// borrowExcess requests a slot that makes up for one in use (rule 14).
func (l *Limiter) borrowExcess(ctx context.Context, x *loan) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := l.call(ctx, x, loanRequest{Duration: time.Until(x.ends), Excess: true})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handleResponse(x, resp, err) {
		x.account.excessLoans = append(x.account.excessLoans, x)
	}
}
