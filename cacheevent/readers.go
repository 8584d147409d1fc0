package cacheevent

import (
	"context"
	"net/http"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
)

// Readers runs one Reader for each endpoint that this instance has to read.
type Readers struct {
	Network hbs.Network
	// Endpoints returns the endpoints that currently have to be read. Changed returns
	// a channel that is closed when the result of Endpoints may have changed.
	Endpoints func() []hbs.Endpoint
	Changed   func() <-chan struct{}
	// BytesPerSecond is the budget of all readers together, divided equally among
	// them; positive.
	BytesPerSecond float64
	// OnEvent receives the events of all endpoints. It is called concurrently, and
	// must not block.
	OnEvent func(hbs.EndpointID, Event)
	// OnFailure receives the errors that ended streams, and is called like OnEvent;
	// may be nil.
	OnFailure func(hbs.EndpointID, error)
}

// activeReader is what reconcile needs to adjust or stop a running Reader.
type activeReader struct {
	endpoint hbs.Endpoint
	budget   *rate.Limiter
	cancel   context.CancelFunc
}

// Run reads the events of the endpoints until ctx is done and returns its error.
func (r *Readers) Run(ctx context.Context) error {
	transport := network.NewTransport(r.Network)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	active := map[hbs.EndpointID]activeReader{}
	for {
		changed := r.Changed()
		r.reconcile(ctx, &wg, client, active)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// reconcile stops the active readers of endpoints that no longer have to be read
// or whose address changed, starts missing ones and gives each an equal share of
// the budget.
func (r *Readers) reconcile(ctx context.Context, wg *conc.WaitGroup, client *http.Client, active map[hbs.EndpointID]activeReader) {
	needed := map[hbs.EndpointID]hbs.Endpoint{}
	for _, e := range r.Endpoints() {
		needed[e.ID] = e
	}
	for id, a := range active {
		if e, ok := needed[id]; !ok || e.Address != a.endpoint.Address {
			a.cancel()
			delete(active, id)
		}
	}
	share := rate.Limit(r.BytesPerSecond / float64(max(1, len(needed))))
	for id, e := range needed {
		if a, ok := active[id]; ok {
			a.budget.SetLimit(share)
			a.budget.SetBurst(burstFor(share))
			continue
		}
		rctx, cancel := context.WithCancel(ctx)
		budget := rate.NewLimiter(share, burstFor(share))
		active[id] = activeReader{endpoint: e, budget: budget, cancel: cancel}
		reader := &Reader{Client: client, Endpoint: e, Budget: budget, OnEvent: func(ev Event) { r.OnEvent(id, ev) }}
		if r.OnFailure != nil {
			reader.OnFailure = func(err error) { r.OnFailure(id, err) }
		}
		wg.Go(func() {
			defer cancel()
			_ = reader.Run(rctx)
		})
	}
}

// burstFor returns the burst for a share: the bytes of one second, at least MinBurst.
func burstFor(share rate.Limit) int { return max(int(share), MinBurst) }
