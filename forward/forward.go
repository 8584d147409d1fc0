// Package forward runs attempts at endpoints that take callers' requests as they
// are: method, path and body pass unchanged, and only headers are added.
//
// Rules 1, 2, 4, 6 and 7 of package attempt hold here too. Besides:
//
//  1. An attempt is meant for one life of one endpoint. Another endpoint at the
//     same address, or one with other weights, refuses it without running it.
//  2. An attempt that was sent was not run only if the endpoint says so.
//  3. An answer is the caller's only if it names the caller's request and, where
//     it is a success, carries the endpoint's receipt.
//  4. An answer that is not a stream is held until it is whole, so that the
//     caller never sees a part of a broken one.
//  5. Events pass whole and in order as they arrive. A stream that breaks ends
//     without an end, which the caller sees, unless another attempt can go on
//     after the last event that passed.
//  6. Silence is no reason to end an attempt: only the deadline and the caller
//     are.
package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/admission"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// errLost: another attempt won the request. errCaller marks errors of the sink.
var (
	errLost   = errors.New("another attempt won")
	errCaller = errors.New("caller left")
)

// Sender runs attempts. It keeps no connection and no goroutine of its own.
type Sender struct {
	Network hbs.Network
	Policy  hbs.Policy
	Metrics metrics.Registry
	// EventTokens returns the number of tokens in one event of a service's streams;
	// nil is 1.
	EventTokens func(hbs.ServiceName) int
	// Store returns the address of the store of kept KV cache, not valid without
	// one; nil is none.
	Store func() netip.AddrPort
	// Misplaced is called when an endpoint said that it is not the one that was
	// meant, or has other weights; may be nil.
	Misplaced func(e *hbs.Endpoint, a *platform.Answer)
}

var _ attempt.Runner = (*Sender)(nil)

// Run implements attempt.Runner.
func (s *Sender) Run(ctx context.Context, c *attempt.Call) attempt.Result {
	r := &run{Sender: s, Call: c, started: time.Now()}
	r.result.CachedTokens = -1
	r.do(ctx)
	r.result.Duration = time.Since(r.started)
	return r.result
}

// run is the state of one attempt.
type run struct {
	*Sender
	*attempt.Call

	started time.Time
	// arrived is when events of the stream came last.
	arrived time.Time
	result  attempt.Result
}

func (r *run) do(ctx context.Context) {
	conn, err := r.connect(ctx)
	if err != nil {
		r.unreached(ctx, err)
		return
	}
	// An endpoint stops the work of an attempt whose connection closes.
	defer func() { _ = conn.Close() }()
	if r.Gate != nil {
		if err := r.Gate.Open(ctx); err != nil {
			r.unreached(ctx, err)
			return
		}
	}
	r.count(meterSent)
	res, err := r.exchange(ctx, conn)
	if err != nil {
		r.broken(ctx, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	r.answer(ctx, res)
}

func (r *run) connect(ctx context.Context) (net.Conn, error) {
	e := &r.Placement.Endpoint
	ctx, cancel := context.WithTimeout(ctx, r.Policy.Duration(attempt.KnobConnectTimeout, hbs.Scope{Service: e.Service, Domain: e.Domain}))
	defer cancel()
	return r.Network.Dial(ctx, e.Address)
}

func (r *run) exchange(ctx context.Context, conn net.Conn) (*http.Response, error) {
	// Opaque keeps the path as the caller wrote it.
	u := &url.URL{Scheme: "http", Host: r.Placement.Endpoint.Address.String(), Opaque: r.Request.Path}
	q := (&http.Request{Method: r.Request.Method, URL: u, Host: r.Request.Host, Header: r.header()}).WithContext(ctx)
	if len(r.Request.Body) > 0 {
		q.Body = io.NopCloser(bytes.NewReader(r.Request.Body))
		q.ContentLength = int64(len(r.Request.Body))
	}
	return attempt.SingleUse(conn).RoundTrip(q)
}

func (r *run) header() http.Header {
	h := http.Header(r.Request.Header).Clone()
	if _, ok := h["User-Agent"]; !ok {
		// Keeps net/http from adding its own.
		h["User-Agent"] = nil
	}
	e := &r.Placement.Endpoint
	t := platform.EndpointTerms{
		Endpoint:   e.ID,
		Workspace:  r.Request.Workspace,
		Engine:     e.Kind == hbs.KindEngine,
		Urgency:    urgency(r.Priority),
		Weights:    e.Weights,
		CacheScope: r.Request.CacheScope,
		LoadFrom:   r.Placement.LoadFrom,
		After:      r.After,
	}
	if r.Store != nil {
		r.useStore(&t)
	}
	if d := r.Request.Deadline; !d.IsZero() {
		t.Left = max(time.Until(d), time.Millisecond)
	}
	t.Set(h)
	return h
}

// useStore sets what the endpoint takes from the store of kept KV cache and puts
// there.
func (r *run) useStore(t *platform.EndpointTerms) {
	if p := r.Placement; p.LoadKept && !t.LoadFrom.IsValid() {
		t.LoadFrom = r.Store()
	}
	if r.Placement.KeepTokens > 0 {
		t.SaveTo = r.Store()
	}
}

// urgency maps the priorities of package admission to 0 to 1.
func urgency(priority int) float64 {
	return float64(priority) / (admission.EnginePriorities - 1)
}

// answer checks and passes the answer on.
func (r *run) answer(ctx context.Context, res *http.Response) {
	a := platform.ReadAnswer(res.StatusCode, res.Header)
	r.result.Status = res.StatusCode
	r.result.Weights = a.Weights
	switch {
	case a.RequestID != "" && a.RequestID != r.Request.ID:
		r.crossed("the answer names another request")
	case a.NotRun:
		r.refused(&a)
	case res.StatusCode < 400 && !a.Receipted:
		r.crossed("the answer has no receipt")
	case res.StatusCode < 400 && attempt.IsEvents(res.Header):
		r.stream(ctx, res)
	default:
		r.whole(ctx, res)
	}
}

// refused applies rule 2.
func (r *run) refused(a *platform.Answer) {
	r.count(meterRefused)
	if a.Misplaced && r.Misplaced != nil {
		r.Misplaced(&r.Placement.Endpoint, a)
	}
	r.result.End = hbs.EndRefused
	r.result.Refusal = hbs.NotRun(hbs.ReasonNoEndpoint, "the endpoint refused", 0)
}

// crossed applies rule 3.
func (r *run) crossed(detail string) {
	r.count(meterCrossed)
	r.result.End = hbs.EndBroken
	r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCrossed, Detail: detail}
}

// maxWhole bounds an answer that is held until it is whole, in bytes.
const maxWhole = 1 << 20

// whole passes on an answer that is not a stream (rule 4).
func (r *run) whole(ctx context.Context, res *http.Response) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxWhole+1))
	if err != nil {
		r.broken(ctx, err)
		return
	}
	r.firstToken()
	if res.StatusCode >= 400 && len(body) <= maxWhole {
		r.hold(res, body)
		return
	}
	if err := r.pass(res, body); err != nil {
		r.broken(ctx, err)
		return
	}
	r.result.End = hbs.EndComplete
}

// hold keeps an endpoint's own error answer for the dispatcher.
func (r *run) hold(res *http.Response, body []byte) {
	h := answerHeader(res.Header)
	h.Del("Content-Length")
	r.result.Held = &attempt.Held{Status: res.StatusCode, Header: h, Body: body}
	r.result.End = hbs.EndFailed
	r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeFailed, Reason: hbs.ReasonEndpointError, Detail: http.StatusText(res.StatusCode)}
}

func (r *run) pass(res *http.Response, body []byte) error {
	if err := r.start(res); err != nil {
		return err
	}
	if len(body) > 0 {
		if err := r.write(body); err != nil {
			return err
		}
	}
	if len(body) <= maxWhole {
		return nil
	}
	_, err := io.Copy(writerFunc(r.write), res.Body)
	return err
}

type writerFunc func([]byte) error

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) {
	if err := f(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// start begins the answer to the caller. One that goes on has begun before.
func (r *run) start(res *http.Response) error {
	if r.result.Sent {
		return nil
	}
	if r.Win != nil && !r.Win() {
		r.result.Lost = true
		return errLost
	}
	r.result.Sent = true
	if r.After != "" {
		return nil
	}
	return errors.Mark(r.Sink.Start(res.StatusCode, answerHeader(res.Header)), errCaller)
}

func (r *run) write(p []byte) error { return errors.Mark(r.Sink.Write(p), errCaller) }

// answerHeader returns the headers of an answer that the caller gets.
func answerHeader(from http.Header) http.Header { return caller.EndToEnd(from) }

func (r *run) firstToken() {
	if r.result.FirstToken != 0 {
		return
	}
	r.result.FirstToken = max(time.Since(r.started), 1)
	if r.FirstToken != nil {
		r.FirstToken(r.result.FirstToken, -1)
	}
}

// unreached ends an attempt that sent nothing. Only a failed connection speaks
// against the endpoint.
func (r *run) unreached(ctx context.Context, err error) {
	r.count(meterUnreached)
	var refusal *hbs.Refusal
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal = hbs.NotRun(hbs.ReasonExpired, "", 0)
	case ctx.Err() != nil:
		refusal = hbs.NotRun(hbs.ReasonCanceled, "", 0)
	case errors.As(err, &refusal):
	default:
		r.result.End = hbs.EndUnreached
		r.result.Refusal = hbs.NotRun(hbs.ReasonConnect, err.Error(), 0)
		return
	}
	r.result.End = hbs.EndCanceled
	r.result.Refusal = refusal
}

// broken records the end of a sent attempt without a whole answer.
func (r *run) broken(ctx context.Context, err error) {
	refusal := &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonBroken, Detail: err.Error()}
	r.result.Refusal = refusal
	r.result.End = hbs.EndCanceled
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Reason = hbs.ReasonExpired
	case ctx.Err() != nil, errors.Is(err, errCaller), errors.Is(err, errLost):
		refusal.Reason = hbs.ReasonCanceled
	default:
		r.count(meterBroken)
		r.result.End = hbs.EndBroken
		if r.result.Sent {
			refusal.Reason = hbs.ReasonIncomplete
		}
	}
}

func (s *Sender) count(name string) {
	metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
}
