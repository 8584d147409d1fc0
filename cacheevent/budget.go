package cacheevent

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/hornbeamstage/hornbeamstage/delay"
)

// MinBurst is the least burst of a reader's budget, in bytes. It holds an
// opening and a dozen events.
const MinBurst = 2 << 10

// errOverBudget tells that a stream was closed because its share is used up.
var errOverBudget = errors.New("byte budget used up")

// spend takes n bytes, which are already read, out of the budget. The budget
// goes into debt for those that it does not hold.
func spend(budget *rate.Limiter, n int) error {
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
		return errOverBudget
	}
	return nil
}

// filled waits until the budget has its burst, or ctx ends.
func filled(ctx context.Context, budget *rate.Limiter) error {
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

// lastReads is for how long a stream is read on when its share is used up. What
// is on the way then has cost its bytes: it is taken and paid for.
const lastReads = 20 * time.Millisecond

// bounded is a body that ends soon after its budget is used up.
type bounded struct {
	r      io.Reader
	budget *rate.Limiter
	// end ends the request. It is called once over is set.
	end  context.CancelFunc
	over bool
	last *time.Timer
}

// Read implements io.Reader. The budget goes into debt for what is read after
// it was used up.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if spend(b.budget, n) != nil && !b.over {
		b.over = true
		b.last = time.AfterFunc(lastReads, b.end)
	}
	return n, err
}

// close stops what Read started.
func (b *bounded) close() {
	if b.last != nil {
		b.last.Stop()
	}
}
