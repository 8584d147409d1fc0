package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/roster"
)

const (
	// writeWait bounds one write to a caller.
	writeWait = 10 * time.Second
	// bodyWait bounds the time to read a body whose caller states no deadline.
	bodyWait = 30 * time.Second
	// startingRetry is told while an instance has no routes or old ones.
	startingRetry = 500 * time.Millisecond
	// maxBodyBytes holds where the operators publish no bound.
	maxBodyBytes = 16 << 20
)

// handler serves callers.
type handler struct {
	table      *tables
	directory  *roster.Directory
	dispatcher *dispatch.Dispatcher
	bounds     atomic.Pointer[platform.Bounds]
	metrics    metrics.Registry
	log        *zap.Logger
	stopping   func() bool

	mu sync.Mutex
	// served counts the live endpoints of each service in roster.
	served map[hbs.ServiceName]int
	roster *hbs.Roster
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, r: r, out: w, sink: caller.NewSink(w, writeWait), table: h.table.now(), age: h.table.age()}
	x.req.Arrived = time.Now()
	if h.stopping() {
		w.Header().Set("Connection", "close")
	}
	outcome, err := x.serve(r.Context())
	x.finish(outcome, err)
	if err != nil && x.sink.Began {
		// Only a broken connection tells the caller that the answer is cut.
		panic(http.ErrAbortHandler)
	}
}

// serves reports whether a service has a live endpoint.
func (h *handler) serves(s hbs.ServiceName) bool {
	r := h.directory.Roster()
	h.mu.Lock()
	defer h.mu.Unlock()
	if r != h.roster {
		h.roster, h.served = r, map[hbs.ServiceName]int{}
		for i := range r.Endpoints {
			if r.Endpoints[i].State == hbs.StateLive {
				h.served[r.Endpoints[i].Service]++
			}
		}
	}
	return h.served[s] > 0
}

func (h *handler) count(name string) { metrics.GetOrRegisterCounter(name, h.metrics).Inc(1) }

// histogramSamples and histogramBias make a histogram of about the last five
// minutes (the values of the Unix load average).
const (
	histogramSamples = 1028
	histogramBias    = 0.015
)

func (h *handler) time(name string, d time.Duration) {
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramBias))
	}
	h.metrics.GetOrRegister(name, newHistogram).(metrics.Histogram).Update(d.Microseconds())
}
