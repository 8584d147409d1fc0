// Package forward runs attempts at endpoints that accept callers' requests
// unchanged: method, path and body pass through, and only headers are added.
//
// Rules 1, 2, 4, 6 and 7 of package attempt apply here too. In addition:
//
//  1. An attempt is intended for one incarnation of one endpoint. Another endpoint
//     at the same address, or one with other weights, refuses it without running
//     it.
//  2. An attempt that was sent counts as not run only if the endpoint says so and
//     names the request. An endpoint may repeat an earlier refusal, or write one
//     and run the request nevertheless. An error whose status alone says it to
//     callers is not passed on.
//  3. A response is passed to the caller only if it doesn't name another request
//     and, when it is a success, carries the endpoint's receipt.
//  4. A response that is not a stream is buffered until it is complete, so that the
//     caller never gets a part of a broken one. It is passed on before it is
//     complete only if it is longer than attempt.whole_bytes or the buffers of all
//     attempts together exceed their share of
//     Sender.Memory.
//  5. Events are passed on complete and in order as they arrive. A broken stream
//     ends without a regular end, which the caller can detect, unless another
//     attempt can resume after the last event that was passed on. Nothing but a
//     stream becomes part of a stream that was started, and only one that leaves
//     out no event, where IDs show it.
//  6. A stream without events for a while is not a reason to end an attempt. Only
//     the deadline or the caller ends it.
//  7. An endpoint may send bytes without end, in the header or the body. A header
//     longer than network.MaxHeaderBytes or with more lines than network.Transport
//     allows, an event longer than maxEvent and a response longer than
//     attempt.max_bytes break the attempt. Headers, events and responses that are
//     held back share Sender.Memory.
//  8. An endpoint's weights may be due for replacement at a time after which no
//     request may begin on them. An attempt at a stream that waits at the endpoint
//     until then is ended, so that the endpoint drops the request; another one may
//     follow. It says nothing against the endpoint.
package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/admission"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// errLostRace is returned when another attempt won the request. errCallerLeft
// marks errors of the sink, which mean that the caller disconnected.
var (
	errLostRace   = errors.New("another attempt won")
	errCallerLeft = errors.New("caller left")
)

// Sender runs attempts. It holds no connections and starts no goroutines. Its
// exported fields must be set before Run.
type Sender struct {
	Network hbs.Network
	Policy  hbs.Policy
	Metrics metrics.Registry
	// EventTokens returns the number of tokens in one event of a service's streams;
	// nil is 1.
	EventTokens func(hbs.ServiceName) int
	// CacheStore returns the address of the KV cache store, or an invalid
	// one if there is none; may be nil.
	CacheStore func() netip.AddrPort
	// OnMismatch is called when an endpoint reported that it is not the intended
	// one, or that it has other weights; may be nil.
	OnMismatch func(e *hbs.Endpoint, a *platform.ResponseInfo)
	// OnSignals is called with what an endpoint tells of itself in the header of the
	// response to an attempt that began at began; may be nil.
	OnSignals func(e *hbs.Endpoint, began time.Time, s hbs.EndpointSignals)
	// CheckStart reports whether a request must not begin any more at e, as it was when
	// the attempt began (rule 8), and otherwise when to ask again; 0 means never. nil
	// means that requests may begin at any time.
	CheckStart func(e *hbs.Endpoint) (next time.Duration, end bool)
	// Memory bounds the parts of responses, large headers included, that all attempts
	// together have buffered; nil means no bound.
	Memory *memory.Budget
}

var _ attempt.Runner = (*Sender)(nil)

// Run implements attempt.Runner.
func (s *Sender) Run(ctx context.Context, c *attempt.Call) attempt.Result {
	r := &run{Sender: s, Call: c, started: time.Now()}
	r.buffers = memory.Response{Budget: s.Memory}
	defer r.buffers.Release()
	r.result.CachedTokens = -1
	r.execute(ctx)
	r.result.Duration = time.Since(r.started)
	return r.result
}

// run is the state of one attempt.
type run struct {
	*Sender
	*attempt.Call

	started time.Time
	// lastArrival is when events of the stream last arrived.
	lastArrival time.Time
	// responding is set when the first event of a stream arrives.
	responding atomic.Bool
	result     attempt.Result
	buffers    memory.Response
}

// scope returns the scope in which knobs are looked up.
func (r *run) scope() hbs.Scope {
	e := &r.Placement.Endpoint
	return hbs.Scope{Service: e.Service, Domain: e.Domain}
}

// execute runs the attempt and fills in the result.
func (r *run) execute(ctx context.Context) {
	conn, err := r.connect(ctx)
	if err != nil {
		r.failUnreached(ctx, err)
		return
	}
	// An endpoint stops working on an attempt when its connection closes.
	defer func() { _ = conn.Close() }()
	if r.Gate != nil {
		if err := r.Gate.Open(ctx); err != nil {
			r.failUnreached(ctx, err)
			return
		}
	}
	r.count(meterSent)
	ctx, stop := r.limitStart(ctx)
	defer stop()
	res, err := r.exchange(ctx, conn)
	if err != nil {
		r.failBroken(ctx, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	r.handleResponse(ctx, res)
}

func (r *run) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Policy.Duration(attempt.KnobConnectTimeout, r.scope()))
	defer cancel()
	return r.Network.Dial(ctx, r.Placement.Endpoint.Address)
}

func (r *run) exchange(ctx context.Context, conn net.Conn) (*http.Response, error) {
	// Opaque preserves the path as the caller wrote it.
	u := &url.URL{Scheme: "http", Host: r.Placement.Endpoint.Address.String(), Opaque: r.Request.Path}
	q := (&http.Request{Method: r.Request.Method, URL: u, Host: r.Request.Host, Header: r.header()}).WithContext(ctx)
	if len(r.Request.Body) > 0 {
		q.Body = io.NopCloser(bytes.NewReader(r.Request.Body))
		q.ContentLength = int64(len(r.Request.Body))
	}
	transport := network.NewSingleUseTransport(conn)
	transport.ReserveHeader = r.buffers.GrowHeader
	return transport.RoundTrip(q)
}

// header returns the caller's headers with those for the endpoint added.
func (r *run) header() http.Header {
	h := http.Header(r.Request.Header).Clone()
	if _, ok := h["User-Agent"]; !ok {
		// A nil value stops net/http from adding its default User-Agent.
		h["User-Agent"] = nil
	}
	e := &r.Placement.Endpoint
	t := platform.EndpointParams{
		Endpoint:    e.ID,
		Workspace:   r.Request.Workspace,
		Engine:      e.Kind == hbs.KindEngine,
		Urgency:     urgency(r.Priority),
		Weights:     e.Weights,
		CacheScope:  r.Request.CacheScope,
		LoadFrom:    r.Placement.LoadFrom,
		LastEventID: r.ResumeAfter,
	}
	if r.CacheStore != nil {
		r.useStore(&t)
	}
	if d := r.Request.Deadline; !d.IsZero() {
		t.Remaining = max(time.Until(d), time.Millisecond)
	}
	t.Set(h)
	return h
}

// useStore sets whether the endpoint loads from the KV cache store and saves to it.
func (r *run) useStore(t *platform.EndpointParams) {
	if p := r.Placement; p.LoadFromStore && !t.LoadFrom.IsValid() {
		t.LoadFrom = r.CacheStore()
	}
	if r.Placement.StoreTokens > 0 {
		t.SaveTo = r.CacheStore()
	}
}

// urgency maps the priorities of package admission to the range 0 to 1.
func urgency(priority int) float64 {
	return float64(priority) / (admission.EnginePriorities - 1)
}

// handleResponse validates the response and passes it on.
func (r *run) handleResponse(ctx context.Context, res *http.Response) {
	a := platform.DecodeResponseInfo(res.StatusCode, res.Header)
	network.LimitResponse(res, int64(r.Policy.Number(attempt.KnobMaxBytes, r.scope())))
	r.result.Status = res.StatusCode
	r.result.Unframed = attempt.Unframed(res)
	r.result.Weights = a.Weights
	r.reportSignals(&a)
	switch {
	case a.RequestID != "" && a.RequestID != r.Request.ID:
		r.rejectResponse("the answer names another request")
	case a.NotRun && a.RequestID != r.Request.ID:
		r.rejectResponse("the refusal names no request")
	case a.NotRun:
		r.recordRefusal(&a)
	case platform.PromisesNotRun(res.StatusCode):
		r.failUnproven(res.StatusCode)
	case res.StatusCode < 400 && !a.Receipted:
		r.rejectResponse("the answer has no receipt")
	case r.ResumeAfter != "" && !continuesStream(res):
		r.failResumption(res.StatusCode)
	case res.StatusCode < 400 && caller.IsEvents(res.Header):
		r.passStream(ctx, res)
	default:
		r.passBuffered(ctx, res)
	}
}

// reportSignals passes on what the endpoint tells of itself, if the response is its own
// to this request.
func (r *run) reportSignals(a *platform.ResponseInfo) {
	e := &r.Placement.Endpoint
	if r.OnSignals == nil || a.RequestID != r.Request.ID || a.Endpoint != "" && a.Endpoint != e.ID {
		return
	}
	r.OnSignals(e, r.started, a.Signals)
}

// continuesStream reports whether a response can continue a stream of which the
// caller has a part.
func continuesStream(res *http.Response) bool {
	return res.StatusCode == http.StatusOK && caller.IsEvents(res.Header)
}

// startResponse starts the response to the caller, unless an earlier attempt did and
// this one resumes it.
func (r *run) startResponse(res *http.Response) error {
	if r.result.Started {
		return nil
	}
	if r.Win != nil && !r.Win() {
		r.result.Lost = true
		return errLostRace
	}
	r.result.Started = true
	if r.ResumeAfter != "" {
		return nil
	}
	h := responseHeader(res.Header)
	if caller.IsEvents(h) {
		// Another endpoint may continue the stream with events of other lengths.
		h.Del("Content-Length")
	}
	return errors.Mark(r.Sink.Start(res.StatusCode, h), errCallerLeft)
}

// write passes p on to the caller.
func (r *run) write(p []byte) error { return errors.Mark(r.Sink.Write(p), errCallerLeft) }

// responseHeader returns the headers of a response that are passed to the caller.
func responseHeader(from http.Header) http.Header { return caller.EndToEndHeader(from) }

// recordFirstToken records and reports when the response began to arrive.
func (r *run) recordFirstToken() {
	if r.result.FirstToken != 0 {
		return
	}
	r.responding.Store(true)
	r.result.FirstToken = max(time.Since(r.started), 1)
	if r.FirstToken != nil {
		r.FirstToken(r.result.FirstToken, -1)
	}
}

func (s *Sender) count(name string) {
	metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
}
