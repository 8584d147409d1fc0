package hornbeamstage

import "context"

// Drainer drains endpoints temporarily and publishes their weights.
type Drainer interface {
	// Drain asks all instances to send no new work to the endpoint. It returns the
	// revision of the record of the drain as soon as that is stored. All instances
	// follow within seconds.
	Drain(ctx context.Context, id EndpointID) (Revision, error)
	// Restore ends the drain and publishes the weights and adapters in e to all
	// instances.
	Restore(ctx context.Context, e Endpoint) error
	// Publish publishes the weights and adapters in e to all instances. It does not
	// change whether the endpoint accepts new work.
	Publish(ctx context.Context, e Endpoint) error
}
