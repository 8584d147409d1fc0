package entry

import "context"

type lifeKey struct{}

// WithLife returns a context for a server's requests that remembers ctx as the
// life of the instance.
func WithLife(ctx context.Context) context.Context {
	return context.WithValue(ctx, lifeKey{}, ctx)
}

// detach returns a context that outlives the caller's connection and ends with
// the instance. The caller of detach calls cancel.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	life, ok := ctx.Value(lifeKey{}).(context.Context)
	if !ok {
		return detached, cancel
	}
	stop := context.AfterFunc(life, cancel)
	return detached, func() {
		stop()
		cancel()
	}
}
