// Package attempt runs one attempt of a request: it dispatches the request to
// one endpoint and passes the response on to the caller.
//
// Rules:
//
//  1. An attempt opens a new connection and uses it for one request. There is no
//     connection pool, so nothing below the router can send a request a second
//     time (net/http resends on pooled connections that fail, for idempotent
//     methods, empty bodies and requests with an Idempotency-Key), and a late
//     response to another request cannot arrive on the connection. The transport
//     of an attempt can dial only once.
//  2. The gate is opened after the connection is established and before the
//     first byte is sent. If the connection fails or the gate refuses, the
//     attempt was not run (EndUnreached or EndCanceled).
//  3. After that, an attempt counts as not run only if the engine says so: 503 or
//     429 with code not_run, or 409 with code weights_mismatch (EndRefused). An
//     error status from the endpoint means that the attempt failed. Any other
//     error leaves the outcome unknown.
//  4. A response that names another attempt, or weights other than those
//     requested, is not delivered, and its connection is closed
//     (ReasonAnswerMismatch).
//  5. A stream that breaks or stalls is resumed at the next sequence number, from
//     the same incarnation of the engine, if the engine supports it. Otherwise
//     the attempt ends as broken.
//  6. When an attempt ends before its response does, the engine's work is
//     canceled at once: by closing the connection, and by an explicit request to
//     engines that retain streams for resuming.
//  7. Nothing reaches the caller before the attempt has won (Win) its request.
//  8. An endpoint may send bytes without end. A header longer than
//     network.MaxHeaderBytes, an event longer than relay.MaxEventBytes and a
//     response longer than attempt.max_bytes break the attempt. What is held back
//     of headers and responses shares Sender.Memory.
package attempt

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/memory"
)

// Runner runs attempts.
type Runner interface {
	// Run dispatches c and passes the response on. It returns after everything
	// that the attempt started has ended.
	Run(ctx context.Context, c *Call) Result
}

// Sender is the Runner that sends attempts over the network. It holds no
// connections or goroutines between attempts.
type Sender struct {
	Network hbs.Network
	Policy  hbs.Policy
	Metrics metrics.Registry
	// Memory bounds the parts of responses, large headers included, that all attempts
	// together hold back; nil means no bound.
	Memory *memory.Budget
}

// Call is one attempt.
type Call struct {
	Request   *hbs.Request
	Placement *hbs.Placement
	// Gate is opened once before the dispatch (rule 2); nil if the request has none.
	Gate hbs.Gate
	// Priority is the engine's scheduling priority; lower is more urgent.
	Priority int
	// Win claims the request and reports whether this attempt may send the response
	// to the caller. It is called at most once, before the first use of Sink.
	Win func() bool
	// Sink receives the response once Win has returned true.
	Sink hbs.Sink
	// Begin is called before Sink is first used for a stream that starts from the
	// beginning, and delays it until it returns; may be nil.
	Begin func(ctx context.Context)
	// FirstToken is called when the first event of a stream or, from a plain
	// service, the first byte of the response arrives. cached is the number of
	// cached prompt tokens, negative while unknown.
	FirstToken func(after time.Duration, cached int)
	// ResumeAfter is the LastEvent of an earlier attempt whose stream this attempt
	// continues; empty for a response that starts from the beginning.
	ResumeAfter string
	// Consecutive is the value of Result.Consecutive with that LastEvent.
	Consecutive bool
	// OnMinGap is called during a stream, about once per minGapWindow, with the
	// shortest time between two events in that window; may be nil.
	OnMinGap func(gap time.Duration)
	// OnGap is called with the time between each two consecutive events of a
	// stream, where instances do not exchange their load; may be nil.
	OnGap func(gap time.Duration)
}

// ErrorResponse is an endpoint's error response that was buffered instead of
// being passed on.
type ErrorResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the outcome of an attempt.
type Result struct {
	hbs.AttemptResult
	// Refusal is the reason why the response was not delivered; nil after a
	// complete response, error responses included.
	Refusal *hbs.Refusal
	// Started is set once the sink has received the start of the response.
	Started bool
	// Status is the HTTP status of the response, 0 if none arrived.
	Status int
	// BufferedError is the error response that was buffered so that the request
	// can be retried; nil otherwise.
	BufferedError *ErrorResponse
	// Lost is set if another attempt had already won the request.
	Lost bool
	// LastEvent is the last event that Sink received. It is set only for a broken
	// stream that another attempt can continue.
	LastEvent string
	// Consecutive is set with LastEvent if the IDs of the events were consecutive, so
	// that a stream which leaves out the next one is recognized.
	Consecutive bool
	// Crashed is set if the endpoint crashed under the attempt, and NoRetry if
	// therefore the request must not be sent again. The Runner knows neither.
	Crashed, NoRetry bool
	// EventStream is set if the response is a stream of server-sent events.
	EventStream bool
	// Unframed is set if the response has neither a length nor chunks, so that it
	// ends with its connection, whatever ended that.
	Unframed bool
}

// Fail records that the endpoint answered with an error.
func (r *Result) Fail(detail string) {
	r.End = hbs.EndFailed
	r.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeFailed, Reason: hbs.ReasonEndpointError, Detail: detail}
}

// Run implements Runner.
func (s *Sender) Run(ctx context.Context, c *Call) Result {
	r := &run{Sender: s, Call: c, started: time.Now()}
	r.held.Budget = s.Memory
	defer r.held.Release()
	r.result.CachedTokens = -1
	r.do(ctx)
	r.result.Duration = time.Since(r.started)
	return r.result
}

// run is the state of one attempt.
type run struct {
	*Sender
	*Call

	started time.Time
	result  Result
	// usageRequested is set if the caller asked for the stream's usage chunk.
	usageRequested bool
	// streamUnavailable is set once resuming has failed: the engine cannot be
	// reached or no longer has the stream.
	streamUnavailable bool
	watchdog          *watchdog
	minGap            minGap
	held              memory.Response
}

// scope returns the scope in which knobs are looked up.
func (r *run) scope() hbs.Scope {
	q := r.Request
	return hbs.Scope{Workspace: q.Workspace, Model: q.Model, Service: q.Service, Domain: r.Placement.Endpoint.Domain}
}

func (r *run) engine() bool { return r.Placement.Endpoint.Kind == hbs.KindEngine }

// streamed reports whether the response should be a stream of events that the
// router checks.
func (r *run) streamed() bool { return r.engine() && r.Request.Stream }

func (r *run) resumable() bool {
	return r.streamed() && r.Placement.Endpoint.Capabilities.Resume
}

// weights returns the weights version that the attempt relies on: that of the
// endpoint or, if it is unknown, that of the request.
func (r *run) weights() hbs.WeightsVersion {
	if w := r.Placement.Endpoint.Weights; w != "" {
		return w
	}
	return r.Request.Weights
}

// win claims the request for this attempt (rule 7).
func (r *run) win() bool {
	if r.Win == nil || r.Win() {
		return true
	}
	r.result.Lost = true
	return false
}

func (r *run) firstToken(cached int) {
	if r.result.FirstToken != 0 {
		return
	}
	r.result.FirstToken = max(time.Since(r.started), 1)
	if r.FirstToken != nil {
		r.FirstToken(r.result.FirstToken, cached)
	}
}

// count increments the named counter.
func (s *Sender) count(name string) {
	if s.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
}
