package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/network"
)

// exchange is one caller's request and the answer to it.
type exchange struct {
	h      *Handler
	r      *http.Request
	params httprouter.Params
	// out writes to the caller's connection; sink writes the answer to out.
	out  http.ResponseWriter
	sink *caller.Sink
	req  hbs.Request
	// memory is reserved until the request ends.
	memory memory.Reservation
}

// decoder fills in x.req from the caller's request. Its error is a *Refusal.
type decoder func(x *exchange) error

// exchangeHandler returns an HTTP handler that decodes requests with decode and
// serves them.
func (h *Handler) exchangeHandler(decode decoder) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		x := h.newExchange(w, r, params)
		defer x.memory.Release()
		outcome, err := x.serve(decode)
		x.finish(outcome, err)
		if err != nil && x.sink.Started && !x.endsInEvent() {
			// The status is already sent, so only aborting the connection shows the
			// caller that the answer is truncated.
			network.Abort(w, r)
		}
	}
}

// endsInEvent reports whether the dispatcher ends an incomplete answer with an
// error event, so that the connection need not be aborted.
func (x *exchange) endsInEvent() bool {
	return x.req.Model != "" && x.req.Stream && x.sink.EventStream
}

func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request, params httprouter.Params) *exchange {
	now := time.Now()
	x := &exchange{h: h, r: r, params: params, out: w, sink: caller.NewSink(w, h.WriteWait)}
	x.req.ID = hbs.RequestID(rand.Text())
	x.req.Arrived = now
	x.memory.Budget, x.req.Hold = h.Memory, x.memory.Hold
	w.Header().Set(caller.HeaderRequestID, string(x.req.ID))
	return x
}

// serve processes the request and returns its outcome. The error is nil only if
// the request was answered.
func (x *exchange) serve(decode decoder) (hbs.Outcome, error) {
	if err := x.authenticate(); err != nil {
		return hbs.OutcomeNotRun, err
	}
	if err := x.readBody(); err != nil {
		return hbs.OutcomeNotRun, err
	}
	if err := x.readOptions(); err != nil {
		return hbs.OutcomeNotRun, err
	}
	if err := decode(x); err != nil {
		return hbs.OutcomeNotRun, err
	}
	release, err := x.h.Limiter.Acquire(&x.req)
	if err != nil {
		return hbs.OutcomeNotRun, err
	}
	defer func() { release(x.sink.Writes) }()
	if x.req.Class == hbs.ClassOnce && x.req.IdempotencyKey != "" {
		return x.serveOnce()
	}
	return x.dispatch(x.r.Context(), nil, x.sink)
}

// dispatch passes the request to the dispatcher. If that returns a refusal, the
// refusal's outcome takes precedence over the returned one.
func (x *exchange) dispatch(ctx context.Context, gate hbs.Gate, sink hbs.Sink) (hbs.Outcome, error) {
	outcome, err := x.h.Dispatcher.Serve(ctx, &x.req, gate, sink)
	if err != nil {
		return hbs.AsRefusal(err).Outcome, err
	}
	return outcome, nil
}

func (x *exchange) authenticate() (err error) {
	x.req.Workspace, err = x.h.authenticate(x.r)
	return err
}

func (x *exchange) readBody() (err error) {
	if err := caller.ReserveRequest(&x.memory); err != nil {
		return err
	}
	x.req.Body, err = x.sink.ReadBody(x.r, x.h.BodyWait, x.h.MaxBodyBytes, &x.memory)
	return err
}

func (x *exchange) readOptions() error {
	options, err := caller.DecodeOptions(x.r.Header)
	if err != nil {
		return hbs.BadRequest(err)
	}
	x.req.IdempotencyKey = options.IdempotencyKey
	x.req.Priority = options.Priority
	x.req.Method = x.r.Method
	x.req.Header = caller.ForwardedHeader(x.r.Header)
	if options.Deadline > 0 {
		x.req.Deadline = x.req.Arrived.Add(options.Deadline)
	}
	return nil
}

// setDefaultDeadline sets the configured deadline if the caller set none. It needs
// the scope, so decoders call it after they set the model or service.
func (x *exchange) setDefaultDeadline() {
	if x.req.Deadline.IsZero() {
		d := x.h.Config.Duration(KnobDefaultDeadline, x.scope())
		x.req.Deadline = x.req.Arrived.Add(d)
	}
}

func (x *exchange) scope() hbs.Scope {
	return hbs.Scope{Workspace: x.req.Workspace, Model: x.req.Model, Service: x.req.Service}
}

// finish sends a refusal to the caller, updates the metrics and reports the
// outcome of a model request to the burn tracker.
func (x *exchange) finish(outcome hbs.Outcome, err error) {
	sample := burn.Sample{
		Workspace:  x.req.Workspace,
		Model:      x.req.Model,
		Outcome:    outcome,
		FirstToken: x.sink.TimeToFirstToken(x.req.Arrived),
		InterToken: x.sink.InterToken(),
		Began:      x.sink.Started,
	}
	x.h.count(MeterRequests)
	if err != nil {
		sample.Reason = x.refuse(hbs.AsRefusal(err))
	}
	x.h.count(meterOutcomePrefix + string(outcome))
	if x.req.Model != "" {
		x.h.Tracker.Observe(sample)
	}
}

// refuse writes r to the caller unless the answer has begun, and returns its
// reason.
func (x *exchange) refuse(r *hbs.Refusal) hbs.Reason {
	x.h.count(meterReasonPrefix + string(r.Reason))
	if r.Reason == hbs.ReasonInternal {
		x.h.Log.Error("request failed", zap.String("request", string(x.req.ID)), zap.Error(r))
	}
	if !x.sink.Started {
		caller.WriteRefusal(x.out, r)
	}
	return r.Reason
}
