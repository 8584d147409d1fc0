package dispatch

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/hornbeamstage/hornbeamstage/attempt"
)

// overdueAfter is how long an attempt may still run after its context has ended. It
// leaves time to cancel the work at the endpoint.
const overdueAfter = 2 * time.Second

// watchOverdue logs and counts an attempt that still runs overdueAfter after ctx has
// ended. Otherwise an attempt that nothing ends would leave no line at all. stop ends
// the watch.
func (s *requestState) watchOverdue(ctx context.Context, c *attempt.Call) (stop func()) {
	ended := make(chan struct{})
	unregister := context.AfterFunc(ctx, func() {
		select {
		case <-ended:
		case <-time.After(overdueAfter):
			s.reportOverdue(ctx, c)
		}
	})
	return func() {
		unregister()
		close(ended)
	}
}

func (s *requestState) reportOverdue(ctx context.Context, c *attempt.Call) {
	metrics.GetOrRegisterCounter(meterOverdue, s.Metrics).Inc(1)
	if s.Log == nil {
		return
	}
	s.Log.Error("attempt does not end", zap.String("request", string(s.req.ID)), zap.String("attempt", string(c.Placement.Attempt)),
		zap.String("endpoint", string(c.Placement.Endpoint.ID)), zap.NamedError("since", context.Cause(ctx)), zap.Duration("overdue", overdueAfter))
}
