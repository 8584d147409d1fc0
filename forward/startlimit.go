package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// errStartedLate is the cause with which an attempt is ended whose response must not
// start any more (rule 8).
var errStartedLate = errors.New("response did not start before the endpoint's weights were due for replacement")

// limitStart returns a context that ends when the response hasn't started and must not
// start any more (rule 8). stop releases its resources.
func (r *run) limitStart(ctx context.Context) (limited context.Context, stop func()) {
	if r.CheckStart == nil || !r.Request.Stream {
		return ctx, func() {}
	}
	limited, cancel := context.WithCancelCause(ctx)
	var check func()
	check = func() {
		if r.responding.Load() || limited.Err() != nil {
			return
		}
		switch next, end := r.CheckStart(&r.Placement.Endpoint); {
		case end:
			cancel(errStartedLate)
		case next > 0:
			time.AfterFunc(next, check)
		}
	}
	check()
	return limited, func() { cancel(nil) }
}

// startedLate reports whether an attempt was ended by rule 8.
func startedLate(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStartedLate) }
