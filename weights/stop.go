package weights

import (
	"context"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/permit"
)

// ErrStopping means that a step ended early because its instance is stopping (R8).
var ErrStopping = errors.New("instance is stopping")

// errRolledBack marks the error of a step that ended without ordering a load: its
// engine serves the old weights again or is to go on standby. The drain permit can
// be released.
var errRolledBack = errors.New("weights replacement rolled back")

// Stop ends the rollout on this instance and waits until its last step has ended or
// ctx ends (R8). It may be called more than once.
func (r *Rollout) Stop(ctx context.Context) error {
	r.init()
	r.requestStop()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// withStop returns a context that also ends when the instance stops.
func (r *Rollout) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.stopping, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// asStopError returns ErrStopping in place of a cancellation that the stop has
// caused, and any other err as it is.
func (r *Rollout) asStopError(err error) error {
	if r.stopping.Err() != nil && errors.Is(err, context.Canceled) {
		return ErrStopping
	}
	return err
}

// acquire waits for a permit until ctx ends or the instance stops.
func (r *Rollout) acquire(ctx context.Context, p *permit.Pool, e *hbs.Endpoint) (*permit.Permit, error) {
	ctx, cancel := r.withStop(ctx)
	defer cancel()
	acquired, err := p.Acquire(ctx, e.ID)
	return acquired, r.asStopError(err)
}
