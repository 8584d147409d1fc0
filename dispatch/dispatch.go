// Package dispatch takes a request from admission to its outcome.
//
// Rules:
//
//  1. A request is placed by admission, then runs as attempts: one at a time,
//     but for a hedge (package hedge).
//  2. A once request is sent at most one time. After its gate was opened there
//     is no second attempt, whatever the first one says.
//  3. A failed attempt is followed by another as package retry decides, on an
//     endpoint not tried yet and only where there is room at once; work that
//     was certainly not run may wait in the queue again.
//  4. The outcome is not_run only if no attempt can have run; when any attempt
//     may have run it is unknown, or failed when the endpoint's own error is
//     the answer.
//  5. An answer that was started and cannot be completed ends in an explicit
//     error event if it is a stream of events. Otherwise Serve returns an error
//     after Start, and the owner of the connection must break it off.
//  6. The caller leaving and the deadline end all attempts at once.
package dispatch

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/admission"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/hedge"
	"github.com/hornbeamstage/hornbeamstage/retry"
)

// Dispatcher serves requests. Its fields are set before Run and Serve.
type Dispatcher struct {
	Placer    hbs.Placer
	Directory hbs.Directory
	Policy    hbs.Policy
	Network   hbs.Network
	Metrics   metrics.Registry
	Log       *zap.Logger
	// Weight returns a workspace's share in fair queueing; nil gives all the same.
	Weight func(hbs.WorkspaceID) float64
	// Sender runs the attempts; nil is an attempt.Sender.
	Sender attempt.Runner
	// CountRefused is that of package retry.
	CountRefused bool

	once      sync.Once
	admission *admission.Controller
	retries   *retry.Policy
	hedges    *hedge.Policy
}

// start builds the parts.
func (d *Dispatcher) start() {
	d.once.Do(func() {
		if d.Metrics == nil {
			d.Metrics = metrics.NewRegistry()
		}
		d.admission = &admission.Controller{Placer: d.Placer, Directory: d.Directory, Policy: d.Policy, Metrics: d.Metrics, Weight: d.Weight}
		if d.Sender == nil {
			d.Sender = &attempt.Sender{Network: d.Network, Policy: d.Policy, Metrics: d.Metrics}
		}
		d.retries = &retry.Policy{
			Budget: &retry.Budget{Knobs: d.Policy, Share: retry.KnobShare, Burst: retry.KnobBurst},
			Knobs:  d.Policy, Metrics: d.Metrics, CountRefused: d.CountRefused,
		}
		d.hedges = &hedge.Policy{
			Budget:  &retry.Budget{Knobs: d.Policy, Share: hedge.KnobShare, Burst: hedge.KnobBurst},
			Retries: d.retries.Budget,
			Knobs:   d.Policy, Metrics: d.Metrics,
		}
	})
}

// Run does the duties of admission until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "dispatcher") }()
	d.start()
	p := pool.New().WithContext(ctx).WithCancelOnError()
	p.Go(d.admission.Run)
	return p.Wait()
}

// Sections returns what the instance exchanges with its peers.
func (d *Dispatcher) Sections() []hbs.Section {
	d.start()
	return []hbs.Section{d.admission.Section()}
}

// Serve answers req through sink. gate may be nil. The error is a *hbs.Refusal.
func (d *Dispatcher) Serve(ctx context.Context, req *hbs.Request, gate hbs.Gate, sink hbs.Sink) (hbs.Outcome, error) {
	d.start()
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	s := &serving{Dispatcher: d, req: req, gate: gate, sink: sink}
	return s.serve(ctx)
}

// serving is the state of one request.
type serving struct {
	*Dispatcher

	req  *hbs.Request
	gate hbs.Gate
	sink hbs.Sink
	// tries counts the attempts, sent those that were sent, avoid their endpoints.
	tries, sent int
	avoid       []hbs.EndpointID
	// ran: an attempt may have run.
	ran bool
	// after is the last event that the caller has of a broken stream.
	after string
}

func (s *serving) serve(ctx context.Context) (hbs.Outcome, error) {
	p, err := s.admission.Place(ctx, s.req)
	if err != nil {
		return s.refuse(err)
	}
	for {
		res := s.attempts(ctx, p)
		s.carry(&res)
		if !s.retries.Allow(s.req, &res, s.tries, s.sent) {
			return s.conclude(&res)
		}
		next, ok := s.placeAgain(ctx, &res)
		if !ok {
			return s.conclude(&res)
		}
		p = next
	}
}

// carry keeps where a broken stream goes on. An attempt that was to go on with it
// and passed nothing leaves it where it was: the caller has a part of the answer,
// whatever this attempt did.
func (s *serving) carry(res *attempt.Result) {
	if res.LastEvent != "" {
		s.after = res.LastEvent
	}
	if s.after != "" {
		res.Sent, res.LastEvent = true, s.after
	}
}

// placeAgain places a retry (rule 3).
func (s *serving) placeAgain(ctx context.Context, res *attempt.Result) (hbs.Placement, bool) {
	p, ok := s.admission.TryPlace(s.req, s.avoid)
	if ok || res.End != hbs.EndUnreached && res.End != hbs.EndRefused {
		return p, ok
	}
	p, err := s.admission.Place(ctx, s.req)
	return p, err == nil
}

// call returns the attempt at p.
func (s *serving) call(p *hbs.Placement) *attempt.Call {
	s.tries++
	s.avoid = append(s.avoid, p.Endpoint.ID)
	return &attempt.Call{
		Request:   s.req,
		Placement: p,
		Gate:      s.gate,
		Priority:  p.Priority,
		Sink:      s.sink,
		After:     s.after,
		FirstToken: func(after time.Duration, cached int) {
			s.Placer.FirstToken(p, after, cached)
		},
		Paced: func(gap time.Duration) { s.Placer.Paced(p, gap) },
		Gap:   func(gap time.Duration) { s.Placer.Gap(p, gap) },
	}
}

// run runs one attempt and ends its booking.
func (s *serving) run(ctx context.Context, c *attempt.Call) attempt.Result {
	res := s.Sender.Run(ctx, c)
	s.explain(c, &res)
	s.admission.Finish(s.req, c.Placement, res.AttemptResult)
	if res.End == hbs.EndComplete {
		scope := retry.ScopeOf(s.req)
		s.retries.Budget.Earn(scope)
		s.hedges.Budget.Earn(scope)
	}
	return res
}

// explain logs an attempt with what decided on it.
func (s *serving) explain(c *attempt.Call, res *attempt.Result) {
	if s.Log == nil {
		return
	}
	p, e := c.Placement, &c.Placement.Endpoint
	fields := []zap.Field{
		zap.String("request", string(s.req.ID)), zap.String("attempt", string(p.Attempt)),
		zap.String("endpoint", string(e.ID)), zap.String("domain", string(e.Domain)),
		zap.String("weights", string(e.Weights)), zap.Uint64("record", uint64(e.Revision)),
		zap.Int("prompt_tokens", s.req.PromptTokens), zap.Int("believed_cached", p.CachedTokens),
		zap.Duration("predicted_wait", p.Wait), zap.Duration("predicted_first", p.FirstToken), zap.Int("priority", p.Priority),
		zap.String("end", string(res.End)), zap.Int("status", res.Status),
		zap.Duration("first", res.FirstToken), zap.Duration("took", res.Duration), zap.Int("tokens", res.OutputTokens),
		zap.Duration("longest_pause", res.LongestPause),
	}
	if n := len(s.req.Levels); n > 1 {
		// The last level is mostly the request's own.
		fields = append(fields, zap.String("prefix", strconv.FormatUint(uint64(s.req.Levels[n-2].Key), 36)))
	}
	if p.LoadFrom.IsValid() {
		fields = append(fields, zap.Stringer("load_from", p.LoadFrom))
	}
	if c.After != "" {
		fields = append(fields, zap.String("after", c.After))
	}
	if r := res.Refusal; r != nil {
		fields = append(fields, zap.String("reason", string(r.Reason)), zap.String("detail", r.Detail))
	}
	s.Log.Info("attempt ended", fields...)
}

// note keeps what an ended attempt means for the outcome (rule 4).
func (s *serving) note(res *attempt.Result) {
	if res.End != hbs.EndUnreached {
		s.sent++
	}
	if res.Refusal == nil || res.Refusal.Outcome != hbs.OutcomeNotRun {
		s.ran = true
	}
}

func (s *serving) refuse(err error) (hbs.Outcome, error) {
	r := hbs.AsRefusal(err)
	return r.Outcome, r
}
