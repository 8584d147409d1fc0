package cacheevent

import (
	"context"
	"net/http"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
)

// Readers runs one Reader for each endpoint that this instance reads.
type Readers struct {
	Network hbs.Network
	// Endpoints returns the endpoints to read now. Changed returns a channel
	// that is closed when there may be others.
	Endpoints func() []hbs.Endpoint
	Changed   func() <-chan struct{}
	// BytesPerSecond is the budget of all readers together, which they share
	// equally; positive.
	BytesPerSecond float64
	// Take receives the events of all endpoints. It is called from several
	// goroutines.
	Take func(hbs.EndpointID, Event)
}

// running is one reader at work.
type running struct {
	endpoint hbs.Endpoint
	budget   *rate.Limiter
	cancel   context.CancelFunc
}

// Run follows the endpoints until ctx ends. It returns ctx's error.
func (r *Readers) Run(ctx context.Context) error {
	transport := network.Transport(r.Network)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	at := map[hbs.EndpointID]running{}
	for {
		changed := r.Changed()
		r.adjust(ctx, &wg, client, at)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// adjust starts and stops readers until those in at are the wanted ones.
func (r *Readers) adjust(ctx context.Context, wg *conc.WaitGroup, client *http.Client, at map[hbs.EndpointID]running) {
	wanted := map[hbs.EndpointID]hbs.Endpoint{}
	for _, e := range r.Endpoints() {
		wanted[e.ID] = e
	}
	for id, run := range at {
		if e, ok := wanted[id]; !ok || e.Address != run.endpoint.Address {
			run.cancel()
			delete(at, id)
		}
	}
	share := rate.Limit(r.BytesPerSecond / float64(max(1, len(wanted))))
	for id, e := range wanted {
		if run, ok := at[id]; ok {
			run.budget.SetLimit(share)
			run.budget.SetBurst(burstOf(share))
			continue
		}
		rctx, cancel := context.WithCancel(ctx)
		budget := rate.NewLimiter(share, burstOf(share))
		at[id] = running{endpoint: e, budget: budget, cancel: cancel}
		reader := &Reader{Client: client, Endpoint: e, Budget: budget, Take: func(ev Event) { r.Take(id, ev) }}
		wg.Go(func() {
			defer cancel()
			_ = reader.Run(rctx)
		})
	}
}

// burstOf returns the burst of a share: a second's worth.
func burstOf(share rate.Limit) int { return max(int(share), MinBurst) }
