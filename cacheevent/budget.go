package cacheevent

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/hornbeamstage/hornbeamstage/delay"
)

// MinBurst is the minimum burst of a reader's budget, in bytes. It suffices to open a
// stream and read a dozen events.
const MinBurst = 2 << 10

// errBudgetExhausted is returned for a stream that was closed because its share of the
// budget was exhausted.
var errBudgetExhausted = errors.New("byte budget exhausted")

// charge subtracts n bytes that were already read from the budget, which becomes
// negative if it holds fewer. It returns errBudgetExhausted if nothing remains. A nil
// budget is unlimited.
func charge(budget *rate.Limiter, n int) error {
	if budget == nil {
		return nil
	}
	now := time.Now()
	for n > 0 {
		part := min(n, budget.Burst())
		budget.ReserveN(now, part)
		n -= part
	}
	if budget.TokensAt(now) <= 0 {
		return errBudgetExhausted
	}
	return nil
}

// waitForBurst waits until the budget holds its full burst or ctx is done.
func waitForBurst(ctx context.Context, budget *rate.Limiter) error {
	for {
		missing := float64(budget.Burst()) - budget.Tokens()
		if missing < 1 {
			return ctx.Err()
		}
		wait := time.Duration(missing / float64(budget.Limit()) * float64(time.Second))
		if err := delay.For(ctx, wait); err != nil {
			return err
		}
	}
}

// drainTime is how long a stream is still read after its share is exhausted. The bytes
// in flight at that point have already used bandwidth, so their events are delivered
// and charged (rule 1).
const drainTime = 20 * time.Millisecond

// meteredBody charges what is read from a response body to a budget. It cancels the
// request drainTime after the budget is exhausted.
type meteredBody struct {
	r      io.Reader
	budget *rate.Limiter
	// cancel cancels the request, and exhausted is set drainTime before that.
	cancel      context.CancelFunc
	exhausted   bool
	cancelTimer *time.Timer
}

// Read implements io.Reader. What is read after the budget is exhausted makes it
// negative.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if charge(b.budget, n) != nil && !b.exhausted {
		b.exhausted = true
		b.cancelTimer = time.AfterFunc(drainTime, b.cancel)
	}
	return n, err
}

// stopTimer stops the timer that Read may have started.
func (b *meteredBody) stopTimer() {
	if b.cancelTimer != nil {
		b.cancelTimer.Stop()
	}
}
