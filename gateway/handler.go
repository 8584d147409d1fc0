package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/roster"
)

const (
	// writeTimeout bounds one write to a caller.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds reading the body of a request that has no deadline.
	bodyTimeout = 30 * time.Second
	// defaultTimeout bounds a request whose caller and route set no bound. Without
	// one, an endpoint that never ends its response would hold the request forever.
	defaultTimeout = 10 * time.Minute
	// startingRetryAfter is the Retry-After of an instance that has no route
	// table, or one that may be stale.
	startingRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of an instance that stops: another one takes
	// the request at once.
	stoppingRetryAfter = 10 * time.Millisecond
	// defaultMaxBodyBytes applies if the operators publish no limit.
	defaultMaxBodyBytes = 16 << 20
)

// handler serves callers' requests.
type handler struct {
	routes     *routeState
	directory  *roster.Directory
	dispatcher *dispatch.Dispatcher
	bounds     atomic.Pointer[platform.Bounds]
	metrics    metrics.Registry
	log        *zap.Logger
	stopping   func() bool
	memory     *memory.Budget
	// closed is set when no further requests are taken, as callers should have gone
	// elsewhere.
	closed atomic.Bool
	// ended ends when running requests have to end, with an answer.
	ended context.Context
	end   context.CancelFunc

	mu sync.Mutex
	// liveCounts has the number of live endpoints of each service in roster.
	// Both are updated when the directory's roster changes.
	liveCounts map[hbs.ServiceName]int
	roster     *hbs.Roster
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, r: r, out: w, sink: caller.NewSink(w, writeTimeout), table: h.routes.current(), tableAge: h.routes.age()}
	x.req.Arrived = time.Now()
	x.memory.Budget, x.req.Hold = h.memory, x.memory.Hold
	defer x.memory.Release()
	if h.stopping() {
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(h.ended, cancel)()
	outcome, err := x.serve(ctx)
	if err != nil && h.ended.Err() != nil && r.Context().Err() == nil {
		err = stoppedRefusal(err)
	}
	x.finish(outcome, err)
	if err != nil && x.sink.Started {
		// Aborting the connection is the only way to tell the caller that the
		// response is incomplete.
		network.Abort(w, r)
	}
}

// stoppedRefusal returns the refusal of a request that ended with err because the
// instance stops.
func stoppedRefusal(err error) *hbs.Refusal {
	r := *hbs.AsRefusal(err)
	r.Reason, r.RetryAfter = hbs.ReasonStopping, stoppingRetryAfter
	return &r
}

// hasLiveEndpoint reports whether a service has a live endpoint.
func (h *handler) hasLiveEndpoint(s hbs.ServiceName) bool {
	r := h.directory.Roster()
	h.mu.Lock()
	defer h.mu.Unlock()
	if r != h.roster {
		h.roster, h.liveCounts = r, map[hbs.ServiceName]int{}
		for i := range r.Endpoints {
			if r.Endpoints[i].State == hbs.StateLive {
				h.liveCounts[r.Endpoints[i].Service]++
			}
		}
	}
	return h.liveCounts[s] > 0
}

func (h *handler) count(name string) { metrics.GetOrRegisterCounter(name, h.metrics).Inc(1) }

// histogramSamples and histogramBias weight a histogram towards about the last
// five minutes, as in the Unix load average.
const (
	histogramSamples = 1028
	histogramBias    = 0.015
)

func (h *handler) recordDuration(name string, d time.Duration) {
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramBias))
	}
	h.metrics.GetOrRegister(name, newHistogram).(metrics.Histogram).Update(d.Microseconds())
}
