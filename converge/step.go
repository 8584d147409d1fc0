package converge

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/order"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

const (
	// drainPollInterval is the time between two reads of the report of an engine
	// that drains, loadPollInterval that for one that loads. Each read costs the
	// engine a little.
	drainPollInterval = 250 * time.Millisecond
	loadPollInterval  = time.Second
	// answerTimeout bounds the first answer of an engine in a step and its answer to the
	// order. It is short, since the step holds the place of an engine that changes. After
	// a failed step the engine gets callTimeout: it may answer slowly, and goes behind all
	// others (C7).
	answerTimeout = 500 * time.Millisecond
	// reportDelay is how long a report may take to reflect an order.
	reportDelay = time.Second
	// maxSilence is the longest time without a report of an engine that changes.
	maxSilence = 3 * callTimeout
	// stepTimeout bounds a step. The engine may still load its weights later.
	stepTimeout = 2 * MaxChangeTime
)

// step changes one engine to the desired weights, those of TargetVersion.
type step struct {
	*Controller
	engine          hbs.Endpoint
	fence           uint64
	suspendedBefore time.Duration
	// answerTimeout is callTimeout or the constant.
	answerTimeout time.Duration
	// ordered is when the step sent its order, zero before. accepted is set once the
	// engine has accepted it.
	ordered  time.Time
	accepted bool
}

// outcome is the result of a step.
type outcome struct {
	engine hbs.EndpointID
	// failed is set if the engine's weights did not change or may not have.
	failed bool
	// drain and load are how long the engine drained and loaded; load is 0 if that
	// was not observed.
	drain, load time.Duration
}

// run sends one order and waits until the engine has other weights, the order has
// no effect, the engine is silent, removed or restarted, or the lease is lost.
func (s *step) run(ctx context.Context) outcome {
	version, err := s.sendOrder(ctx)
	if err != nil {
		s.Log.Warn("weights not ordered", zap.String("endpoint", string(s.engine.ID)), zap.Uint64("fence", s.fence), zap.Error(err))
		return outcome{engine: s.engine.ID, failed: true}
	}
	return s.waitForWeights(ctx, version)
}

// isCurrent reports whether the lease grant and the engine's incarnation are still
// those that the step started with.
func (s *step) isCurrent(ctx context.Context) bool {
	fence, held := s.Lease.Fence()
	if ctx.Err() != nil || !held || fence != s.fence {
		return false
	}
	e := s.record()
	return e != nil && e.Incarnation == s.engine.Incarnation
}

// record returns the engine's current record, or nil.
func (s *step) record() *hbs.Endpoint { return s.Directory.Roster().Endpoint(s.engine.ID) }

// sendOrder reads the engine's report and sends one order, unless one is in
// progress (C3). It returns the version that the engine should load.
func (s *step) sendOrder(ctx context.Context) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	version = s.TargetVersion(s.engine.Model)
	report, err := s.firstReport(ctx)
	if err != nil {
		return 0, err
	}
	if report.Busy || report.Weights[s.engine.Model] >= version {
		return version, nil
	}
	if err := s.AnnounceChange(ctx, s.engine.ID, version); err != nil {
		// Requests that reach the engine anyway are refused and retried elsewhere.
		s.Log.Warn("change of weights not told", zap.String("endpoint", string(s.engine.ID)), zap.Error(err))
	}
	if err := delay.For(ctx, announceDelay); err != nil {
		return 0, err
	}
	s.ordered = time.Now()
	verdict, err := s.order(ctx, &platform.WeightsOrder{
		Model: s.engine.Model, Version: version, Holder: s.Self, Fence: s.fence, ExpectedOrders: report.AcceptedOrders,
	})
	s.Log.Info("weights ordered", zap.String("endpoint", string(s.engine.ID)), zap.String("model", string(s.engine.Model)),
		zap.Int64("version", version), zap.Uint64("fence", s.fence), zap.Int64("orders", report.AcceptedOrders),
		zap.String("verdict", string(verdict)), zap.Error(err))
	metrics.GetOrRegisterCounter(meterPrefix+string(verdict), s.Metrics).Inc(1)
	switch verdict {
	case platform.OrderStale, platform.OrderRefused:
		return 0, errors.Newf("the engine answered the order with verdict %s", verdict)
	case platform.OrderAccepted:
		s.accepted = true
	}
	// Without an answer the order may have been accepted; the report will show it.
	return version, nil
}

// waitForWeights waits until the engine has other weights (C5). Its record usually
// shows them without delay; the report shows when its requests have drained.
func (s *step) waitForWeights(ctx context.Context, version int64) outcome {
	start := time.Now()
	reported := start
	var drained time.Time
	for time.Since(start) < stepTimeout && time.Since(reported) < maxSilence && s.isCurrent(ctx) {
		r, err := s.report(ctx)
		if err == nil {
			reported = time.Now()
		}
		current := r.Weights[s.engine.Model]
		switch {
		case err != nil:
			s.Log.Warn("change of weights not followed", zap.String("endpoint", string(s.engine.ID)), zap.Error(err))
		case current > weightsVersion(&s.engine):
			s.OnWeightsReported(s.engine.ID, s.engine.Weights, platform.FormatWeights(current))
		case r.Busy && r.Running == 0 && drained.IsZero():
			drained = time.Now()
		case !r.Busy && s.ordered.IsZero():
			// An order that this step did not send is complete.
			return outcome{engine: s.engine.ID}
		case !r.Busy && time.Since(s.ordered) >= reportDelay:
			s.Log.Warn("order without effect", zap.String("endpoint", string(s.engine.ID)), zap.Int64("version", version))
			return outcome{engine: s.engine.ID, failed: true}
		}
		if s.waitForRecord(ctx, drained) {
			return s.loadedOutcome(version, start, drained)
		}
	}
	return outcome{engine: s.engine.ID, failed: true}
}

// waitForRecord waits until the next read of the report is due and reports whether
// the engine's record has other weights than when the step started.
func (s *step) waitForRecord(ctx context.Context, drained time.Time) bool {
	wait := drainPollInterval
	if !drained.IsZero() {
		wait = loadPollInterval
	}
	return delay.Until(ctx, wait, s.Directory.Changed, func() bool {
		e := s.record()
		return e != nil && e.Weights != s.engine.Weights
	})
}

// loadedOutcome returns the outcome for an engine that has other weights, ordered to load
// version.
func (s *step) loadedOutcome(version int64, start, drained time.Time) outcome {
	o := outcome{engine: s.engine.ID}
	if s.accepted && !drained.IsZero() {
		o.drain, o.load = drained.Sub(start), time.Since(drained)
	}
	s.Log.Info("weights loaded", zap.String("endpoint", string(s.engine.ID)), zap.Int64("version", version),
		zap.Duration("drain", o.drain), zap.Duration("load", o.load))
	return o
}

// firstReport reads the report of an engine that is not known to change.
func (s *step) firstReport(ctx context.Context) (r platform.EngineReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.answerTimeout)
	defer cancel()
	return s.report(ctx)
}

// report reads the engine's report.
func (s *step) report(ctx context.Context) (r platform.EngineReport, err error) {
	defer func() { err = errors.Wrap(err, "read report") }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := s.call(http.MethodGet, platform.ReportPath, nil, order.Unguarded)
	status, body, err := c.Do(ctx)
	if err != nil {
		return r, err
	}
	if status != http.StatusOK {
		return r, errors.Newf("status %d", status)
	}
	return platform.DecodeEngineReport(body)
}

// order sends an order if the lease grant is still valid (C1, C6) and returns the
// engine's verdict.
func (s *step) order(ctx context.Context, o *platform.WeightsOrder) (v platform.OrderVerdict, err error) {
	defer func() { err = errors.Wrap(err, "order weights") }()
	body, err := platform.EncodeWeightsOrder(o)
	if err != nil {
		return platform.OrderUnknown, err
	}
	use := s.Lease.BeginOrder(s.fence, time.Now().Add(s.OrderLifetime))
	defer use.End(false)
	guard := func(write func() (int, error)) (int, error) {
		if s.Suspended()-s.suspendedBefore > suspendTolerance { // C6
			return 0, errors.New("the process was suspended")
		}
		return use.Write(write)
	}
	ctx, cancel := context.WithTimeout(ctx, s.answerTimeout)
	defer cancel()
	c := s.call(http.MethodPost, platform.OrderPath, body, guard)
	status, _, err := c.Do(ctx)
	if status == 0 {
		return platform.OrderUnknown, err
	}
	// The status alone is the answer, also if the body can't be read.
	return platform.VerdictOf(status), err
}

func (s *step) call(method, path string, body []byte, guard order.Guard) order.Call {
	h := http.Header{}
	platform.SetExpectedEndpoint(h, s.engine.ID)
	c := order.Call{Network: s.Network, Address: s.engine.Address, Method: method, Path: path, Header: h, Body: body, Guard: guard}
	if s.OnHeader != nil {
		c.OnHeader = func(status int, h http.Header) { s.OnHeader(&s.engine, status, h) }
	}
	return c
}
