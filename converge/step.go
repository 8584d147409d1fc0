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
	// followEvery is the time between two questions to an engine that lets its
	// requests end, loadEvery that to one that loads. Each costs it a little.
	followEvery = 250 * time.Millisecond
	loadEvery   = time.Second
	// settleTime is how long an engine's report may be older than an order.
	settleTime = time.Second
	// stepTime bounds a step. The engine may come to its weights later all the same.
	stepTime = 2 * Patience
)

// step brings one engine to the wanted weights.
type step struct {
	*Controller
	engine hbs.Endpoint
	fence  uint64
	slept  time.Duration
	// ordered: the step wrote an order; taken: the engine said that it took it.
	ordered, taken bool
}

// outcome is how a step ended.
type outcome struct {
	engine hbs.EndpointID
	// failed: the engine has no other weights than before, or nobody knows.
	failed bool
	// drain and load are how long it let requests end and how long it loaded; load
	// is 0 when that was not seen.
	drain, load time.Duration
}

// run gives one order and follows it until the engine has other weights, gives
// up or is gone, or the lease is lost.
func (s *step) run(ctx context.Context) outcome {
	version, err := s.try(ctx)
	if err != nil {
		s.Log.Warn("weights not ordered", zap.String("endpoint", string(s.engine.ID)), zap.Uint64("fence", s.fence), zap.Error(err))
		return outcome{engine: s.engine.ID, failed: true}
	}
	return s.follow(ctx, version)
}

// goesOn reports whether the lease and the engine are those that the step began
// with.
func (s *step) goesOn(ctx context.Context) bool {
	fence, held := s.Lease.Fence()
	if ctx.Err() != nil || !held || fence != s.fence {
		return false
	}
	e := s.record()
	return e != nil && e.Incarnation == s.engine.Incarnation
}

func (s *step) record() *hbs.Endpoint { return s.Directory.Roster().Endpoint(s.engine.ID) }

// try reads the engine's report and gives one order, unless one is under way
// (C3). It returns the version that the engine should come to.
func (s *step) try(ctx context.Context) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	version = s.Wanted(s.engine.Model)
	report, err := s.report(ctx)
	if err != nil {
		return 0, err
	}
	if report.Ordered || report.Weights[s.engine.Model] >= version {
		return version, nil
	}
	if err := s.Tell(ctx, s.engine.ID, version); err != nil {
		// Without it requests are refused there, and go elsewhere.
		s.Log.Warn("change of weights not told", zap.String("endpoint", string(s.engine.ID)), zap.Error(err))
	}
	if err := delay.For(ctx, tellTime); err != nil {
		return 0, err
	}
	s.ordered = true
	verdict, err := s.order(ctx, &platform.WeightsOrder{
		Model: s.engine.Model, Version: version, Holder: s.Self, Fence: s.fence, Orders: report.Orders,
	})
	s.Log.Info("weights ordered", zap.String("endpoint", string(s.engine.ID)), zap.String("model", string(s.engine.Model)),
		zap.Int64("version", version), zap.Uint64("fence", s.fence), zap.Int64("orders", report.Orders),
		zap.String("verdict", string(verdict)), zap.Error(err))
	metrics.GetOrRegisterCounter(meterPrefix+string(verdict), s.Metrics).Inc(1)
	switch verdict {
	case platform.OrderStale, platform.OrderRefused:
		return 0, errors.Newf("the engine's verdict is %s", verdict)
	case platform.OrderTaken:
		s.taken = true
	}
	// Without an answer it may have been taken; the report tells.
	return version, nil
}

// follow waits until the engine has other weights (C5). Its record tells them
// without delay as a rule; the report tells when its requests have ended.
func (s *step) follow(ctx context.Context, version int64) outcome {
	begun := time.Now()
	var drained time.Time
	for time.Since(begun) < stepTime && s.goesOn(ctx) {
		r, err := s.report(ctx)
		have := r.Weights[s.engine.Model]
		switch {
		case err != nil:
			s.Log.Warn("change of weights not followed", zap.String("endpoint", string(s.engine.ID)), zap.Error(err))
		case have > number(&s.engine):
			s.Loaded(s.engine.ID, s.engine.Weights, platform.FormatWeights(have))
		case r.Ordered && r.Running == 0 && drained.IsZero():
			drained = time.Now()
		case !r.Ordered && !s.ordered:
			// The order of somebody else is over.
			return outcome{engine: s.engine.ID}
		case !r.Ordered && time.Since(begun) > settleTime:
			s.Log.Warn("order without effect", zap.String("endpoint", string(s.engine.ID)), zap.Int64("version", version))
			return outcome{engine: s.engine.ID, failed: true}
		}
		if s.await(ctx, drained) {
			return s.loaded(begun, drained)
		}
	}
	return outcome{engine: s.engine.ID, failed: true}
}

// await waits until the engine is to be asked again and reports whether its
// record tells other weights than at the begin.
func (s *step) await(ctx context.Context, drained time.Time) bool {
	wait := followEvery
	if !drained.IsZero() {
		wait = loadEvery
	}
	return delay.Until(ctx, wait, s.Directory.Changed, func() bool {
		e := s.record()
		return e != nil && e.Weights != s.engine.Weights
	})
}

// loaded returns the outcome of an engine that has other weights.
func (s *step) loaded(begun, drained time.Time) outcome {
	o := outcome{engine: s.engine.ID}
	if s.taken && !drained.IsZero() {
		o.drain, o.load = drained.Sub(begun), time.Since(drained)
	}
	s.Log.Info("weights loaded", zap.String("endpoint", string(s.engine.ID)),
		zap.Duration("drain", o.drain), zap.Duration("load", o.load))
	return o
}

func (s *step) report(ctx context.Context) (r platform.EngineReport, err error) {
	defer func() { err = errors.Wrap(err, "read report") }()
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

func (s *step) order(ctx context.Context, o *platform.WeightsOrder) (v platform.OrderVerdict, err error) {
	defer func() { err = errors.Wrap(err, "order weights") }()
	body, err := platform.EncodeWeightsOrder(o)
	if err != nil {
		return platform.OrderUnknown, err
	}
	use := s.Lease.Use(s.fence, time.Now().Add(callTimeout))
	defer use.End(false)
	guard := func(write func() (int, error)) (int, error) {
		if s.Suspended()-s.slept > suspendSlack { // C6
			return 0, errors.New("the process stood still")
		}
		return use.Write(write)
	}
	c := s.call(http.MethodPost, platform.OrderPath, body, guard)
	status, _, err := c.Do(ctx)
	if err != nil {
		return platform.OrderUnknown, err
	}
	return platform.VerdictOf(status), nil
}

func (s *step) call(method, path string, body []byte, guard order.Guard) order.Call {
	h := http.Header{}
	platform.SetExpected(h, s.engine.ID)
	return order.Call{Network: s.Network, Address: s.engine.Address, Method: method, Path: path, Header: h, Body: body, Guard: guard}
}
