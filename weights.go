package hornbeamstage

import "context"

// Drainer takes new work off an endpoint for a while.
type Drainer interface {
	// Drain asks all instances to give the endpoint no new work. It returns when
	// the request is recorded, with the revision of the record; it is in force
	// everywhere within seconds.
	Drain(ctx context.Context, id EndpointID) (Revision, error)
	// Restore lets the endpoint take new work again and tells all instances the
	// weights and adapters in e.
	Restore(ctx context.Context, e Endpoint) error
	// Publish tells all instances the weights and adapters in e, which takes as much
	// new work as before.
	Publish(ctx context.Context, e Endpoint) error
}
