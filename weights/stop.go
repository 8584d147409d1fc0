package weights

import (
	"context"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/permit"
)

// ErrStopping says that a step ended early because its instance stops (R8).
var ErrStopping = errors.New("instance stops")

// errPutBack marks the error of a step whose engine takes work again, so that
// its permit covers nothing.
var errPutBack = errors.New("engine put back")

// Stop ends the rollout of this instance and waits until its last step has ended,
// or until ctx ends (R8). It may be called more than once.
func (r *Rollout) Stop(ctx context.Context) error {
	r.init()
	r.leave()
	select {
	case <-r.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// untilStop returns a context that also ends when the instance stops.
func (r *Rollout) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	unhook := context.AfterFunc(r.leaving, cancel)
	return ctx, func() {
		unhook()
		cancel()
	}
}

// stopped returns ErrStopping for an error that a stop has caused.
func (r *Rollout) stopped(err error) error {
	if r.leaving.Err() != nil && errors.Is(err, context.Canceled) {
		return ErrStopping
	}
	return err
}

// acquire waits for a permit until ctx ends or the instance stops.
func (r *Rollout) acquire(ctx context.Context, p *permit.Pool, e *hbs.Endpoint) (*permit.Permit, error) {
	ctx, cancel := r.untilStop(ctx)
	defer cancel()
	out, err := p.Acquire(ctx, e.ID)
	return out, r.stopped(err)
}
