package entry

import "context"

// instanceContextKey is the key of the context that WithInstanceContext stores.
type instanceContextKey struct{}

// WithInstanceContext returns a base context for a server's requests. It
// carries ctx, which is done when the instance stops, for detach.
func WithInstanceContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, instanceContextKey{}, ctx)
}

// detach returns a context with the values of ctx that is canceled when the
// instance stops, but not when the caller disconnects. The returned function must
// be called to release the context.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	instance, ok := ctx.Value(instanceContextKey{}).(context.Context)
	if !ok {
		return detached, cancel
	}
	stop := context.AfterFunc(instance, cancel)
	return detached, func() {
		stop()
		cancel()
	}
}
