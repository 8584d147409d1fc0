// Package pool is a stand-in for an endpoint of a hosting platform: an engine or
// a plain service that receives callers' requests unchanged (docs/protocols.md).
// It records the requests that it executed and can inject faults. Each request
// takes a fixed time; batching and cache capacity are not modelled.
package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

// Run is the record of one request that the endpoint executed.
type Run struct {
	Request, Path, Body string
	Header              http.Header
	// After is the number of the last event that the caller had received, 0 unless the
	// request resumes a stream.
	After int
	// At is when the endpoint got the request.
	At time.Time
	// Began is when the endpoint began to respond; zero before that, or if the caller
	// disconnected.
	Began time.Time
}

// Faults are the injected faults. They apply to all requests until they are
// replaced.
type Faults struct {
	// Shed refuses requests without executing them.
	Shed bool
	// CutAfterEvents is the number of whole events after which a stream is aborted, in the middle
	// of the next event. 0 means never.
	CutAfterEvents int
	// DropAnswer executes requests and aborts their connections instead of answering.
	DropAnswer bool
	// Cross answers with the identifier of another request.
	Cross bool
	// Answer, if not nil, answers the requests that were executed. The headers that
	// identify the request and the endpoint are set before it is called.
	Answer http.HandlerFunc
	// Limit is the number of requests per second that the endpoint names as its limit in
	// every response to a caller's request, as text; empty means none. The endpoint
	// doesn't enforce it.
	Limit string
	// Leaving says in every response to requests, orders, polls and reports that the
	// endpoint leaves. Its record doesn't change.
	Leaving bool
	// RetryAfter is the header Retry-After of refused requests; empty means none.
	RetryAfter string
	// DropOrderAnswer accepts orders but aborts the connection instead of answering.
	DropOrderAnswer bool
	// Busy refuses orders as if another one were in progress.
	Busy bool
	// DeadlyPart is the ID of a part of a prompt. An engine that begins to answer a
	// request with it, other than as the last part, crashes and is back after DownTime
	// as a new incarnation. Empty means none.
	DeadlyPart string
	// DeadlyPath is the path, with the query, of requests under which the endpoint
	// crashes likewise. Empty means none.
	DeadlyPath string
	DownTime   time.Duration
	// Endless, if not nil, answers every request, order and poll in place of the
	// endpoint, at EndlessRate.
	Endless     *endless.Response
	EndlessRate endless.Rate
}

// Endpoint is one simulated endpoint. Exported fields are set before Serve.
type Endpoint struct {
	ID      hbs.EndpointID
	Service hbs.ServiceName
	Domain  hbs.DomainName
	Address netip.AddrPort
	Network hbs.Network
	// Model is empty for a plain service.
	Model hbs.ModelName
	// Software is the version of the endpoint's software in its record; empty means none.
	Software string
	// Work is the time to the answer or its first event, Gap the time between two
	// events.
	Work, Gap time.Duration
	// Events is the number of events of a stream.
	Events int
	// Load is the duration of a change of weights.
	Load time.Duration
	// Started is the start time of this incarnation in Unix milliseconds.
	Started int64
	// Changed, which may be nil, is called after each change of the record.
	Changed func()

	mu      sync.Mutex
	faults  Faults
	runs    []Run
	orders  []Order
	weights int64
	state   string
	loading bool
	// canceled counts requests whose caller disconnected before the end.
	canceled int
	// shed counts requests that were refused because of Shed or a change of weights.
	shed int
	// crashes has the time of each crash. crash ends the incarnation that serves; it
	// is nil while none does.
	crashes []time.Time
	crash   context.CancelFunc
	// downTime is the time after the last crash until the next incarnation starts.
	downTime time.Duration
	// cacheEvents holds one event for each prompt part that was computed, polls is the
	// number of polls for them.
	cacheEvents [][]any
	polls       int
}

// Order is one order that the endpoint accepted.
type Order struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
	// ExpectedOrders must equal the number of orders accepted before, or the order is refused.
	ExpectedOrders int `json:"precondition"`
	// At is when the order was accepted.
	At time.Time `json:"-"`
}

// record is the JSON form of the endpoint's registration record and of its report.
type record struct {
	Service  string  `json:"service,omitempty"`
	Address  string  `json:"address,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Slots    int     `json:"slots,omitempty"`
	State    string  `json:"state,omitempty"`
	Version  string  `json:"version,omitempty"`
	Models   []model `json:"models,omitempty"`
	Busy     bool    `json:"busy"`
	Sequence int     `json:"sequence"`
	Born     int64   `json:"born"`
}

type model struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// slots is the number of slots in registration records. The stand-in doesn't limit
// concurrency.
const slots = 64

// Record returns the record with which the endpoint registers itself.
func (e *Endpoint) Record() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.report()
	r.Service, r.Address, r.Zone, r.Slots, r.State = string(e.Service), e.Address.String(), string(e.Domain), slots, "ready"
	r.Version = e.Software
	if e.state != "" {
		r.State = e.state
	}
	return r
}

// report returns the endpoint's report of its weights and orders. The caller holds
// mu.
func (e *Endpoint) report() record {
	r := record{Busy: e.loading, Sequence: len(e.orders), Born: e.Started}
	if e.Model != "" {
		r.Models = []model{{string(e.Model), max(e.weights, 1)}}
	}
	return r
}

// Drain sets the state in the endpoint's record to draining.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.changed()
}

func (e *Endpoint) changed() {
	if e.Changed != nil {
		e.Changed()
	}
}

// Fail replaces the injected faults.
func (e *Endpoint) Fail(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns the requests that the endpoint executed.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Orders returns the orders that the endpoint accepted.
func (e *Endpoint) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// Weights returns the version of the weights in use.
func (e *Endpoint) Weights() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.weights, 1)
}

// Canceled returns the number of requests whose caller disconnected before the end.
func (e *Endpoint) Canceled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canceled
}

// Shed returns the number of requests that were refused without being executed, other
// than those for other endpoints or weights.
func (e *Endpoint) Shed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shed
}

// Crashes returns the time of each crash.
func (e *Endpoint) Crashes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.crashes...)
}

// Crash ends the incarnation that serves, without completing what it runs. The
// next one starts after down.
func (e *Endpoint) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crash == nil {
		return
	}
	e.crashes = append(e.crashes, time.Now())
	e.crash()
	e.crash, e.downTime = nil, down
}

// Serve serves until ctx ends. After a crash it starts the next incarnation.
func (e *Endpoint) Serve(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "endpoint %s", e.ID) }()
	for {
		if err := e.serveIncarnation(ctx); ctx.Err() != nil || !errors.Is(err, context.Canceled) {
			return err
		}
		e.mu.Lock()
		down := e.downTime
		e.Started++
		e.mu.Unlock()
		if err := delay.For(ctx, down); err != nil {
			return err
		}
		e.changed()
	}
}

// serveIncarnation serves until ctx ends or the endpoint crashes.
func (e *Endpoint) serveIncarnation(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := e.Network.Listen(e.Address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.crash = func() {
		// Nobody can connect to an endpoint that has crashed.
		_ = l.Close()
		cancel()
	}
	e.mu.Unlock()
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/report", e.serveReport)
	m.HandleFunc("POST /v1/order", e.serveOrder)
	m.HandleFunc("GET /v1/kv-events", e.serveCacheEvents)
	m.HandleFunc("/", e.serveRequest)
	var wg conc.WaitGroup
	srv := &http.Server{Handler: endless.Handler(ctx, &wg, e.endless, e.announce(m))}
	wg.Go(func() { _ = srv.Serve(l) })
	<-ctx.Done()
	srv.Close()
	wg.Wait()
	return ctx.Err()
}

// announce adds to all responses of h that the endpoint leaves, if it does.
func (e *Endpoint) announce(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		leaving := e.faults.Leaving
		e.mu.Unlock()
		if leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		h.ServeHTTP(w, r)
	})
}

// endless returns the response without an end to the next request, if there is one.
func (e *Endpoint) endless() (r endless.Response, rate endless.Rate, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Endless == nil {
		return endless.Response{}, endless.Rate{}, false
	}
	return *e.faults.Endless, e.faults.EndlessRate, true
}

func (e *Endpoint) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := e.report()
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(r)
}

func (e *Endpoint) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, dropAnswer := e.applyOrder(o)
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// applyOrder accepts or refuses an order and returns the status of the answer. An
// accepted order completes in the background after Load. dropAnswer is set if the
// connection is to be aborted instead of answered.
func (e *Endpoint) applyOrder(o Order) (status int, dropAnswer bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case max(e.weights, 1) == o.Version:
		return http.StatusOK, false
	case e.loading || e.faults.Busy || o.ExpectedOrders != len(e.orders):
		return http.StatusConflict, false
	}
	o.At = time.Now()
	e.orders = append(e.orders, o)
	e.loading = true
	time.AfterFunc(e.Load, func() {
		e.mu.Lock()
		e.loading, e.weights = false, o.Version
		e.mu.Unlock()
		e.changed()
	})
	return http.StatusAccepted, e.faults.DropOrderAnswer
}

func (e *Endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	n, refused, faults := e.admit(w, r)
	if refused {
		return
	}
	if delay.For(r.Context(), e.Work) != nil {
		e.countCanceled()
		return
	}
	e.begin(n)
	if faults.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	if hasSharedPart(r.Header, faults.DeadlyPart) || r.RequestURI == faults.DeadlyPath {
		e.Crash(faults.DownTime)
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	if faults.Cross {
		id = "of-another"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Stamp", "made-by-"+string(e.ID))
	if faults.Answer != nil {
		faults.Answer(w, r)
		return
	}
	if e.Model == "" {
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	e.stream(w, r, faults)
}

// admit refuses a request, and then has written the response if it could read the
// body, or records its run, the n-th.
func (e *Endpoint) admit(w http.ResponseWriter, r *http.Request) (n int, refused bool, f Faults) {
	body := make([]byte, max(r.ContentLength, 0))
	if _, err := r.Body.Read(body); err != nil && len(body) > 0 && r.ContentLength < 0 {
		return 0, true, f
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Limit != "" {
		w.Header().Set("Server-Limit", e.faults.Limit)
	}
	expected := r.Header.Get("X-Expect-Instance")
	version := r.Header.Get("X-Expect-Version")
	switch {
	case expected != "" && expected != string(e.ID),
		version != "" && version != strconv.FormatInt(max(e.weights, 1), 10):
		w.Header().Set("X-Instance-Id", string(e.ID))
		w.Header().Set("X-Weight-Versions", strconv.FormatInt(max(e.weights, 1), 10))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return 0, true, f
	case e.faults.Shed || e.loading:
		e.shed++
		if e.faults.RetryAfter != "" {
			w.Header().Set("Retry-After", e.faults.RetryAfter)
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return 0, true, f
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.logCacheEvents(r.Header)
	e.runs = append(e.runs, Run{r.Header.Get("X-Request-Id"), r.RequestURI, string(body), r.Header.Clone(), after, time.Now(), time.Time{}})
	return len(e.runs) - 1, false, e.faults
}

// begin records that the endpoint begins to respond to the n-th request.
func (e *Endpoint) begin(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[n].Began = time.Now()
}

// hasSharedPart reports whether a prompt has the part, other than as its last one.
func hasSharedPart(h http.Header, part string) bool {
	parts := strings.Split(h.Get("X-Prefix-Hash"), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); part != "" && id == part {
			return true
		}
	}
	return false
}

func (e *Endpoint) countCanceled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled++
}

// stream sends the events after the last one that the caller has received.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, f Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= e.Events; n++ {
		if f.CutAfterEvents > 0 && n > f.CutAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: par", n)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		w.(http.Flusher).Flush()
		if delay.For(r.Context(), e.Gap) != nil {
			e.countCanceled()
			return
		}
	}
}
