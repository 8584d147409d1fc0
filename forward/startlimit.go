package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// errStartedLate is the cause with which an attempt is ended whose response didn't
// start within its limit (rule 8).
var errStartedLate = errors.New("response did not start before the endpoint's weights were due for replacement")

// limitStart returns a context that ends when the response hasn't started within its
// limit and the endpoint is no longer in use. stop releases its resources.
func (r *run) limitStart(ctx context.Context) (limited context.Context, stop func()) {
	e := &r.Placement.Endpoint
	limit := time.Duration(0)
	if r.StartLimit != nil {
		limit = r.StartLimit(e)
	}
	if limit <= 0 {
		return ctx, func() {}
	}
	limited, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() {
		if !r.responding.Load() && !r.InUse(e) {
			cancel(errStartedLate)
		}
	})
	return limited, func() {
		timer.Stop()
		cancel(nil)
	}
}

// startedLate reports whether an attempt was ended by its limit.
func startedLate(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStartedLate) }
