// Package dispatch serves a request: from admission, through its attempts, to its
// outcome.
//
// Rules:
//
//  1. Admission places a request, which then runs as a sequence of attempts.
//     Only a hedge (package hedge) runs in parallel to another attempt.
//  2. A request of ClassOnce is sent at most once. After its gate was opened
//     there is no second attempt, whatever the result of the first one.
//  3. Package retry decides whether a failed attempt is followed by another.
//     That goes to an endpoint not tried yet which has a free slot immediately;
//     only a request that was certainly not run may be queued again.
//  4. The outcome is not_run only if no attempt can have run. If any attempt
//     may have run it is unknown, or failed if the response is the endpoint's
//     error response.
//  5. A response that was started and cannot be completed ends with an error
//     event if it is an event stream. Otherwise Serve returns an error after
//     Start, and whoever owns the connection must abort it.
//  6. All attempts end immediately when the caller disconnects or the deadline
//     passes.
//  7. A request that Crashes refuses is not sent to an engine: not on arrival, and
//     not right before an attempt sends it, since it may have waited meanwhile. When
//     the connection to an engine, or to an endpoint of a plain service, breaks before
//     an attempt has written two events, or a response with neither a length nor chunks
//     ends with it, one dial finds out whether the engine crashed: then nothing listens
//     there, and its record tells of no planned end. A request under which maxCrashes
//     engines crashed is not sent to another, and one of which Crashes says so already
//     after the first.
//  8. A resumable stream is placed at the software version that Streams names, anew for
//     each attempt until an event was passed on. After that it stays at the version that
//     sent this event.
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
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/retry"
)

// Dispatcher serves requests. Its exported fields must be set before Run and
// Serve.
type Dispatcher struct {
	Placer    hbs.Placer
	Directory hbs.Directory
	Policy    hbs.Policy
	Network   hbs.Network
	Metrics   metrics.Registry
	Log       *zap.Logger
	// Weight returns a workspace's weight in fair queueing; nil gives all
	// workspaces the same.
	Weight func(hbs.WorkspaceID) float64
	// Sender runs the attempts; nil uses an attempt.Sender.
	Sender attempt.Runner
	// Memory is passed to the attempt.Sender; may be nil.
	Memory *memory.Budget
	// CountRefused is passed to retry.Policy.
	CountRefused bool
	// Crashes keeps requests from engines that they would crash; may be nil.
	Crashes hbs.CrashWatch
	// Streams keeps resumable streams at one version of the endpoints' software; nil where
	// callers can't resume streams.
	Streams hbs.StreamKeeper

	once      sync.Once
	admission *admission.Controller
	retries   *retry.Policy
	hedges    *hedge.Policy
	probes    crashProbes
}

// init builds the components on first use.
func (d *Dispatcher) init() {
	d.once.Do(func() {
		if d.Metrics == nil {
			d.Metrics = metrics.NewRegistry()
		}
		d.admission = &admission.Controller{Placer: d.Placer, Directory: d.Directory, Policy: d.Policy, Metrics: d.Metrics, Weight: d.Weight}
		if d.Sender == nil {
			d.Sender = &attempt.Sender{Network: d.Network, Policy: d.Policy, Metrics: d.Metrics, Memory: d.Memory}
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

// Run runs admission's background tasks until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "dispatcher") }()
	d.init()
	p := pool.New().WithContext(ctx).WithCancelOnError()
	p.Go(d.admission.Run)
	return p.Wait()
}

// Sections returns the state that the instance exchanges with its peers.
func (d *Dispatcher) Sections() []hbs.Section {
	d.init()
	return []hbs.Section{d.admission.Section()}
}

// Serve runs req and writes the response to sink. gate may be nil. The error is
// a *hbs.Refusal.
func (d *Dispatcher) Serve(ctx context.Context, req *hbs.Request, gate hbs.Gate, sink hbs.Sink) (hbs.Outcome, error) {
	d.init()
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	s := &requestState{Dispatcher: d, req: req, gate: gate, sink: sink}
	return s.serve(ctx)
}

// requestState is the state of one request while it is served.
type requestState struct {
	*Dispatcher

	req  *hbs.Request
	gate hbs.Gate
	sink hbs.Sink
	// startedCount counts the attempts and sentCount those that sent anything.
	// tried has the endpoints of all attempts.
	startedCount, sentCount int
	tried                   []hbs.EndpointID
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// crashes counts the attempts whose engine crashed. noRetry is set if the request
	// must not be sent again (rule 7).
	crashes int
	noRetry bool
	// lastEvent is the ID of the last event that the caller received of a
	// broken stream; consecutive is whether the IDs up to it were consecutive.
	lastEvent   string
	consecutive bool
	// began is the software version of the endpoint that began the response.
	began hbs.SoftwareVersion
}

func (s *requestState) serve(ctx context.Context) (hbs.Outcome, error) {
	if s.Crashes != nil {
		if r := s.Crashes.Check(s.req); r != nil {
			return s.refuse(r)
		}
	}
	if err := s.setSoftware(ctx); err != nil {
		return s.refuse(err)
	}
	p, err := s.admission.Place(ctx, s.req)
	if err != nil {
		return s.refuse(err)
	}
	for {
		res := s.runHedged(ctx, p)
		s.trackResumption(&res)
		if s.noRetry || !s.retries.Allow(s.req, &res, s.startedCount, s.sentCount) {
			return s.conclude(&res)
		}
		next, ok := s.placeRetry(ctx, &res)
		if !ok {
			return s.conclude(&res)
		}
		p = next
	}
}

// trackResumption updates lastEvent, from which the next attempt resumes a
// broken stream. An attempt that should have resumed the stream but passed
// nothing on leaves lastEvent unchanged; res still reports the response as
// started, since the caller has part of it from an earlier attempt.
func (s *requestState) trackResumption(res *attempt.Result) {
	if res.LastEvent != "" {
		s.lastEvent, s.consecutive = res.LastEvent, res.Consecutive
	}
	if s.lastEvent != "" {
		res.Started, res.LastEvent = true, s.lastEvent
	}
}

// setSoftware sets the software version of the next attempt (rule 8).
func (s *requestState) setSoftware(ctx context.Context) error {
	v, err := s.nextSoftware(ctx)
	if err != nil || v == s.req.Software {
		return err
	}
	req := *s.req
	req.Software = v
	s.req = &req
	return nil
}

func (s *requestState) nextSoftware(ctx context.Context) (hbs.SoftwareVersion, error) {
	switch {
	case s.lastEvent != "":
		return s.began, nil
	case s.Streams == nil:
		return "", nil
	}
	return s.Streams.Version(ctx, s.req)
}

// placeRetry places a retry (rule 3).
func (s *requestState) placeRetry(ctx context.Context, res *attempt.Result) (hbs.Placement, bool) {
	if s.setSoftware(ctx) != nil {
		return hbs.Placement{}, false
	}
	p, ok := s.admission.TryPlace(s.req, s.tried)
	if ok || res.End != hbs.EndUnreached && res.End != hbs.EndRefused {
		return p, ok
	}
	p, err := s.admission.Place(ctx, s.req)
	return p, err == nil
}

// newCall returns the attempt at p and counts it.
func (s *requestState) newCall(p *hbs.Placement) *attempt.Call {
	s.startedCount++
	s.tried = append(s.tried, p.Endpoint.ID)
	return &attempt.Call{
		Begin:       s.begin(p),
		Request:     s.req,
		Placement:   p,
		Gate:        s.gate,
		Priority:    p.Priority,
		Sink:        s.sink,
		ResumeAfter: s.lastEvent,
		Consecutive: s.consecutive,
		FirstToken: func(after time.Duration, cached int) {
			s.Placer.FirstToken(p, after, cached)
		},
		OnMinGap: func(gap time.Duration) { s.Placer.ObserveMinGap(p, gap) },
		OnGap:    func(gap time.Duration) { s.Placer.ObserveGap(p, gap) },
	}
}

// begin tells that an attempt is placed at p, and returns the function that is called
// before its first event is passed on.
func (s *requestState) begin(p *hbs.Placement) func(context.Context) {
	req, v := s.req, p.Endpoint.Software
	if s.Streams != nil {
		s.Streams.Placed(req, v)
	}
	return func(ctx context.Context) {
		s.began = v
		if s.Streams != nil {
			s.Streams.Begun(ctx, req, v)
		}
	}
}

// runAttempt runs one attempt, releases its placement and credits the budgets
// for retries and hedges if it completed.
func (s *requestState) runAttempt(ctx context.Context, c *attempt.Call) attempt.Result {
	defer s.watchOverdue(ctx, c)()
	w := s.watchCrash(c)
	res := s.Sender.Run(ctx, c)
	if w != nil {
		w.conclude(ctx, &res)
	}
	s.logAttempt(c, &res)
	s.admission.Finish(s.req, c.Placement, res.AttemptResult)
	if res.End == hbs.EndComplete {
		scope := retry.ScopeOf(s.req)
		s.retries.Budget.Earn(scope)
		s.hedges.Budget.Earn(scope)
	}
	return res
}

// logAttempt logs an attempt and the predictions on which it was placed.
func (s *requestState) logAttempt(c *attempt.Call, res *attempt.Result) {
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
		zap.Duration("longest_pause", res.LongestPause), zap.Bool("crashed", res.Crashed),
	}
	if n := len(s.req.Levels); n > 1 {
		// The last level usually includes text that no other request shares, so
		// the one before it identifies the common prefix.
		fields = append(fields, zap.String("prefix", strconv.FormatUint(uint64(s.req.Levels[n-2].Key), 36)))
	}
	if res.End != hbs.EndComplete {
		// What several engines had in common when they ended tells what broke them.
		fields = append(fields, zap.String("fingerprint", string(s.req.Fingerprint)))
		if len(s.req.Parts) > 0 {
			fields = append(fields, zap.Strings("parts", partNames(s.req.Parts)))
		}
	}
	if p.Limit != nil {
		fields = append(fields, zap.Float64("limit", *p.Limit))
	}
	if p.LoadFrom.IsValid() {
		fields = append(fields, zap.Stringer("load_from", p.LoadFrom))
	}
	if c.ResumeAfter != "" {
		fields = append(fields, zap.String("after", c.ResumeAfter))
	}
	if r := res.Refusal; r != nil {
		fields = append(fields, zap.String("reason", string(r.Reason)), zap.String("detail", r.Detail))
	}
	s.Log.Info("attempt ended", fields...)
}

func partNames(parts []hbs.PartID) []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = string(p)
	}
	return names
}

// recordAttempt records whether an attempt was sent and whether it may have run
// (rule 4).
func (s *requestState) recordAttempt(res *attempt.Result) {
	if res.End != hbs.EndUnreached {
		s.sentCount++
	}
	if res.Refusal == nil || res.Refusal.Outcome != hbs.OutcomeNotRun {
		s.mayHaveRun = true
	}
	if res.Crashed {
		s.crashes++
		s.noRetry = s.noRetry || res.NoRetry || s.crashes >= maxCrashes
	}
}

// refuse returns err as a refusal, with the refusal's outcome.
func (s *requestState) refuse(err error) (hbs.Outcome, error) {
	r := hbs.AsRefusal(err)
	return r.Outcome, r
}
