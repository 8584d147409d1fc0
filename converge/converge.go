// Package converge brings engines to the weights that the platform names for
// their model.
//
// Rules:
//
//	C1. Orders are given under the lease of the fleet alone (package lease). The
//	    grant is checked right before an order is written.
//	C2. Only the newest version is ordered. An engine that has it, or is on its
//	    way to an older one, gets no order. Those with the oldest weights go first.
//	C3. Before each order the engine's own report is read. The order names the
//	    life of the engine and the number of orders that it has accepted, so that
//	    a copy that comes late, or after a restart, is refused.
//	C4. An engine lets its running requests end before it loads and refuses those
//	    that wait, so at most a share of a model's engines changes at once.
//	    The instances are told before the order, so that they send it no more.
//	C5. What counts is the engine's record. An order without effect is given
//	    again after a new report.
//	C6. After the process stood still the grant counts as lost: the clock that
//	    measures it may have stood still too.
package converge

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/order"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

const (
	// lookEvery is the time between two looks at the roster.
	lookEvery = 100 * time.Millisecond
	// callTimeout bounds one call of an engine.
	callTimeout = time.Second
	// busyPause is the time until an engine is asked again that carries out an
	// order or did not answer. Each question costs it a little.
	busyPause = 700 * time.Millisecond
	// Patience is how long the record of an engine may take to change after an
	// order was taken.
	Patience = 6 * time.Second
	// tellTime is how long instances take to learn that an engine changes.
	tellTime = 120 * time.Millisecond
	// suspendSlack is above the error of Suspended.
	suspendSlack = 20 * time.Millisecond
	// changeShare is the part of a model's engines that may change at once.
	changeShare = 0.34
)

// Controller gives the orders. Its fields are set before Run.
type Controller struct {
	Self      hbs.InstanceID
	Lease     *lease.Keeper
	Directory hbs.Directory
	Network   hbs.Network
	Metrics   metrics.Registry
	Log       *zap.Logger
	// Wanted returns the newest version named for a model; 0 for none.
	Wanted func(hbs.ModelName) int64
	// Tell tells all instances that an engine is being brought to a version.
	Tell func(ctx context.Context, id hbs.EndpointID, version int64) error
	// Suspended returns for how long the machine has been suspended in all, give or
	// take a few milliseconds.
	Suspended func() time.Duration

	// The rest belongs to the goroutine of Run.

	steps map[hbs.EndpointID]bool
	done  chan hbs.EndpointID
	wg    conc.WaitGroup
	// slept is the suspended time when the fence was first seen.
	slept time.Duration
	fence uint64
}

// Run gives orders while this instance holds the lease, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.steps = map[hbs.EndpointID]bool{}
	c.done = make(chan hbs.EndpointID)
	ctx, cancel := context.WithCancel(ctx)
	defer c.wg.Wait()
	defer cancel()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-c.done:
			delete(c.steps, id)
		case <-tick.C:
			c.look(ctx)
		}
	}
}

// look starts steps for the engines that lag behind.
func (c *Controller) look(ctx context.Context) {
	fence, held := c.Lease.Fence()
	if !held {
		return
	}
	if fence != c.fence {
		c.fence, c.slept = fence, c.Suspended()
	}
	if c.Suspended()-c.slept > suspendSlack { // C6
		c.Log.Warn("lease abandoned after a suspension", zap.Uint64("fence", fence))
		c.Lease.Abandon()
		return
	}
	room := map[hbs.ModelName]int{}
	r := c.Directory.Roster()
	for i := range r.Endpoints {
		if e := &r.Endpoints[i]; stays(e) {
			room[e.Model]++
		}
	}
	for m, n := range room {
		room[m] = int(math.Ceil(changeShare * float64(n)))
	}
	for i := range r.Endpoints {
		if e := &r.Endpoints[i]; c.steps[e.ID] {
			room[e.Model]--
		}
	}
	for _, e := range c.behind(r) {
		if room[e.Model] > 0 && !c.steps[e.ID] {
			room[e.Model]--
			c.start(ctx, *e, fence)
		}
	}
}

// behind returns the engines that lag, those with the oldest weights first: they
// have the least time left.
func (c *Controller) behind(r *hbs.Roster) (lag []*hbs.Endpoint) {
	for i := range r.Endpoints {
		if e := &r.Endpoints[i]; c.lags(e) {
			lag = append(lag, e)
		}
	}
	slices.SortStableFunc(lag, func(a, b *hbs.Endpoint) int { return cmp.Compare(number(a), number(b)) })
	return lag
}

// stays reports whether e is an engine that is not about to leave.
func stays(e *hbs.Endpoint) bool { return e.Kind == hbs.KindEngine && e.State != hbs.StateLeaving }

// lags reports whether e has older weights than wanted.
func (c *Controller) lags(e *hbs.Endpoint) bool {
	return stays(e) && number(e) < c.Wanted(e.Model)
}

// number is the version of an engine's weights, as large as can be if its record
// does not tell.
func number(e *hbs.Endpoint) int64 {
	n, err := platform.ParseWeights(e.Weights)
	if err != nil {
		return math.MaxInt64
	}
	return n
}

func (c *Controller) start(ctx context.Context, e hbs.Endpoint, fence uint64) {
	c.steps[e.ID] = true
	s := &step{Controller: c, engine: e, fence: fence, slept: c.slept}
	c.wg.Go(func() {
		s.run(ctx)
		select {
		case c.done <- e.ID:
		case <-ctx.Done():
		}
	})
}

// step brings one engine to the wanted weights.
type step struct {
	*Controller
	engine hbs.Endpoint
	fence  uint64
	slept  time.Duration
}

// run orders until the engine's record tells the wanted weights, the lease is
// lost or the engine is gone.
func (s *step) run(ctx context.Context) {
	for s.goesOn(ctx) {
		wait, err := s.try(ctx)
		if err != nil {
			s.Log.Warn("weights not ordered", zap.String("endpoint", string(s.engine.ID)), zap.Uint64("fence", s.fence), zap.Error(err))
		}
		s.await(ctx, wait)
	}
}

// goesOn reports whether an order is still due and may be given.
func (s *step) goesOn(ctx context.Context) bool {
	fence, held := s.Lease.Fence()
	if ctx.Err() != nil || !held || fence != s.fence {
		return false
	}
	e := s.record()
	return e != nil && e.Incarnation == s.engine.Incarnation && s.lags(e)
}

func (s *step) record() *hbs.Endpoint {
	r := s.Directory.Roster()
	for i := range r.Endpoints {
		if r.Endpoints[i].ID == s.engine.ID {
			return &r.Endpoints[i]
		}
	}
	return nil
}

// await waits for the time d, or until the step need not go on.
func (s *step) await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		changed := s.Directory.Changed()
		if !s.goesOn(ctx) {
			return
		}
		select {
		case <-timer.C:
			return
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// try reads the engine's report and gives one order (C3). It returns how long to
// wait for the effect.
func (s *step) try(ctx context.Context) (wait time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	version := s.Wanted(s.engine.Model)
	report, err := s.report(ctx)
	if err != nil {
		return busyPause, err
	}
	if report.Weights[s.engine.Model] >= version {
		return Patience, nil
	}
	if report.Ordered {
		return busyPause, nil
	}
	if err := s.Tell(ctx, s.engine.ID, version); err != nil {
		// Without it requests are refused there, and go elsewhere.
		s.Log.Warn("change of weights not told", zap.String("endpoint", string(s.engine.ID)), zap.Error(err))
	}
	if err := delay.For(ctx, tellTime); err != nil {
		return 0, err
	}
	verdict, err := s.order(ctx, &platform.WeightsOrder{
		Model: s.engine.Model, Version: version, Holder: s.Self, Fence: s.fence, Orders: report.Orders,
	})
	s.Log.Info("weights ordered", zap.String("endpoint", string(s.engine.ID)), zap.String("model", string(s.engine.Model)),
		zap.Int64("version", version), zap.Uint64("fence", s.fence), zap.Int64("orders", report.Orders),
		zap.String("verdict", string(verdict)), zap.Error(err))
	metrics.GetOrRegisterCounter(meterPrefix+string(verdict), s.Metrics).Inc(1)
	switch verdict {
	case platform.OrderTaken, platform.OrderHolds:
		return Patience, nil
	}
	return busyPause, err
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

const meterPrefix = "converge_orders_"

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: meterPrefix + string(platform.OrderTaken), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders of weights that engines took", Action: "None."},
	{Name: meterPrefix + string(platform.OrderHolds), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders of weights that engines had already", Action: "None; records are told late."},
	{Name: meterPrefix + string(platform.OrderBusy), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders refused because another is under way or was accepted meanwhile", Action: "The report is read again. Look for somebody else who gives orders if it grows."},
	{Name: meterPrefix + string(platform.OrderStale), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders refused for an old fencing number", Action: "Two holders; the engine was safe. Look for pauses of this process."},
	{Name: meterPrefix + string(platform.OrderRefused), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders that engines can't carry out", Action: "Look at the version that was named."},
	{Name: meterPrefix + string(platform.OrderUnknown), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders without an answer", Action: "The engine may carry them out later; the report is read again before the next."},
}
