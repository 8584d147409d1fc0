// Package attempt runs one attempt of a request: one dispatch to one endpoint
// and the way of its answer to the caller.
//
// Rules:
//
//  1. An attempt makes its own connection and uses it for one request. No
//     connection is kept, so nothing below the router can send a request a
//     second time (net/http resends on kept connections that die, for
//     idempotent methods, empty bodies and requests with an Idempotency-Key),
//     and no late answer of another request can arrive on it. The transport of
//     an attempt can dial one time only.
//  2. The gate is opened after the connection stands and before the first byte
//     is sent. Without a connection or with a closed gate the attempt was not
//     run (EndUnreached).
//  3. After that an attempt was not run only if the engine says so: 503 or 429
//     with code not_run, or 409 with code weights_mismatch (EndRefused).
//     Everything else that goes wrong leaves the outcome unknown, an answer
//     with an error status of the endpoint excepted: that is failed.
//  4. An answer that names another attempt, or other weights than those asked
//     for, is not delivered; its connection is closed (ReasonCrossed).
//  5. A stream that breaks or stalls is resumed on the same life of the engine
//     at the next sequence number, when the engine can. Otherwise the attempt
//     ends as broken.
//  6. When an attempt ends before its answer, the engine's work is cancelled
//     at once: by closing the connection, and by an explicit cancel on engines
//     that keep a stream for resuming.
//  7. Nothing reaches the caller before the attempt has won (Win) its request.
package attempt

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Runner runs attempts.
type Runner interface {
	// Run dispatches c and passes the answer on. It returns when nothing of the
	// attempt is left running.
	Run(ctx context.Context, c *Call) Result
}

// Sender runs attempts. It keeps no connection and no goroutine of its own.
type Sender struct {
	Network hbs.Network
	Policy  hbs.Policy
	Metrics metrics.Registry
}

// Call is one attempt.
type Call struct {
	Request   *hbs.Request
	Placement *hbs.Placement
	// Gate is opened once (rule 2); nil when the request has none.
	Gate hbs.Gate
	// Priority is the engine priority, lower is more urgent.
	Priority int
	// Win reports whether this attempt may answer the caller. It is called at
	// most once, before the first use of Sink.
	Win func() bool
	// Sink takes the answer after the win.
	Sink hbs.Sink
	// FirstToken is called when the first event of a stream or the first byte
	// of another answer arrived; cached is negative when not told yet.
	FirstToken func(after time.Duration, cached int)
	// After is the last event that Sink has of the answer, when another attempt
	// started it and this one goes on; empty for an answer that starts.
	After string
	// Paced is called while a stream runs, for each part of at least paceWindow
	// with the shortest time between two of its events; may be nil.
	Paced func(gap time.Duration)
	// Gap is called with the time between each two events of a stream, where
	// instances don't tell each other their load; may be nil.
	Gap func(gap time.Duration)
}

// Held is an endpoint's own error answer that was not passed on yet.
type Held struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is what an attempt leaves.
type Result struct {
	hbs.AttemptResult
	// Refusal says why the answer was not delivered; nil after a whole answer,
	// an error answer included.
	Refusal *hbs.Refusal
	// Sent: the sink got the start of the answer.
	Sent bool
	// Status is the answer's HTTP status, 0 when none came.
	Status int
	// Held is set for error answers that were held back for a retry.
	Held *Held
	// Lost: another attempt had won the request.
	Lost bool
	// LastEvent is set for a stream that broke after it was started and that
	// another attempt can go on with: the last event that Sink has.
	LastEvent string
	// Events tells that the answer in Sink is a stream of events.
	Events bool
}

// Run implements Runner.
func (s *Sender) Run(ctx context.Context, c *Call) Result {
	r := &run{Sender: s, Call: c, started: time.Now()}
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
	// usage: the caller asked for the usage chunk.
	usage bool
	// gone: the engine cannot be reached or no longer has the stream.
	gone     bool
	watchdog *watchdog
	pace     pace
}

// scope returns the scope of the knobs.
func (r *run) scope() hbs.Scope {
	q := r.Request
	return hbs.Scope{Workspace: q.Workspace, Model: q.Model, Service: q.Service, Domain: r.Placement.Endpoint.Domain}
}

func (r *run) engine() bool { return r.Placement.Endpoint.Kind == hbs.KindEngine }

// streamed reports whether the endpoint's answer should be a stream of events
// that the router checks.
func (r *run) streamed() bool { return r.engine() && r.Request.Stream }

func (r *run) resumable() bool {
	return r.streamed() && r.Placement.Endpoint.Capabilities.Resume
}

// weights returns the version that the attempt relies on: the endpoint's.
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

// count adds n to a counter of the package.
func (s *Sender) count(name string) {
	if s.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
}
