// Package converge brings engines to the weights that the platform names for
// their model.
//
// Rules:
//
//	C1. Orders are given under the lease of the fleet alone (package lease). The
//	    grant is checked right before an order is written.
//	C2. Only the newest version is ordered. An engine that has it, or is on its
//	    way to an older one, gets no order. Those with the oldest weights go first,
//	    and an engine that came to a version goes behind them like any other.
//	C3. Before each order the engine's own report is read. The order names the
//	    life of the engine and the number of orders that it has accepted, so that
//	    a copy that comes late, or after a restart, is refused.
//	C4. An engine lets its running requests end before it loads and refuses those
//	    that wait, so at most a share of a model's engines changes at once, and no
//	    more than what they load from bears (pace).
//	    The instances are told before the order, so that they send it no more.
//	C5. What counts is what the engine reports and its record. An order without
//	    effect is given again after a new report.
//	C6. After the process stood still the grant counts as lost: the clock that
//	    measures it may have stood still too.
//	C7. An engine that does not answer, or takes no order, goes behind all others
//	    and is asked less and less often, so that it keeps none of them waiting.
package converge

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

const (
	// lookEvery is the time between two looks at the roster.
	lookEvery = 100 * time.Millisecond
	// callTimeout bounds one call of an engine.
	callTimeout = time.Second
	// failPause is the first pause after a step that failed; it doubles with each
	// further one up to failPauseMax.
	failPause    = 700 * time.Millisecond
	failPauseMax = 6 * time.Second
	// Patience is how long an engine that changes usually takes at most.
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
	// Loaded is called with the new weights that an engine reports, before its
	// record tells them.
	Loaded func(id hbs.EndpointID, was, now hbs.WeightsVersion)
	// Suspended returns for how long the machine has been suspended in all, give or
	// take a few milliseconds.
	Suspended func() time.Duration

	// The rest belongs to the goroutine of Run.

	steps map[hbs.EndpointID]bool
	// failures has the engines whose last step failed.
	failures map[hbs.EndpointID]failure
	pace     pace
	done     chan outcome
	wg       conc.WaitGroup
	// slept is the suspended time when the fence was first seen.
	slept time.Duration
	fence uint64
}

// failure is a run of steps that failed.
type failure struct {
	count int
	// until is when the engine is asked again.
	until time.Time
}

// Run gives orders while this instance holds the lease, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.steps = map[hbs.EndpointID]bool{}
	c.failures = map[hbs.EndpointID]failure{}
	c.done = make(chan outcome)
	ctx, cancel := context.WithCancel(ctx)
	defer c.wg.Wait()
	defer cancel()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-c.done:
			c.end(o)
		case <-tick.C:
			c.look(ctx)
		}
	}
}

// end takes the outcome of a step.
func (c *Controller) end(o outcome) {
	delete(c.steps, o.engine)
	if !o.failed {
		delete(c.failures, o.engine)
		c.learn(o)
		return
	}
	n := c.failures[o.engine].count
	c.failures[o.engine] = failure{n + 1, time.Now().Add(delay.Doubled(failPause, failPauseMax, n))}
}

// learn takes the times of a change.
func (c *Controller) learn(o outcome) {
	before := c.pace.loads
	c.pace.took(o.drain, o.load)
	if c.pace.loads != before {
		c.Log.Info("loads at once changed", zap.Int("from", before), zap.Int("to", c.pace.loads),
			zap.Duration("load", o.load), zap.Duration("shortest", c.pace.shortest))
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
		clear(c.failures)
	}
	if c.Suspended()-c.slept > suspendSlack { // C6
		c.Log.Warn("lease abandoned after a suspension", zap.Uint64("fence", fence))
		c.Lease.Abandon()
		return
	}
	r := c.Directory.Roster()
	lag := c.behind(r)
	if len(lag) == 0 {
		return
	}
	room, free := c.room(r)
	for _, e := range lag {
		if free > 0 && room[e.Model] > 0 {
			free--
			room[e.Model]--
			c.start(ctx, *e, fence)
		}
	}
}

// room returns how many more engines of each model, and of all, may change (C4).
func (c *Controller) room(r *hbs.Roster) (of map[hbs.ModelName]int, all int) {
	of = map[hbs.ModelName]int{}
	engines := 0
	for m, n := range count(r.Endpoints) {
		of[m] = share(n)
		engines += n
	}
	for i := range r.Endpoints {
		if e := &r.Endpoints[i]; c.steps[e.ID] {
			of[e.Model]--
		}
	}
	return of, c.pace.atOnce(engines) - len(c.steps)
}

// Lagging returns the engines with older weights than wanted. Next are as many of
// each model as may change at once, the oldest first. Those that change already
// are not live.
func Lagging(es []hbs.Endpoint, wanted func(hbs.ModelName) int64) map[hbs.EndpointID]hbs.Rollout {
	var lag []*hbs.Endpoint
	for i := range es {
		if e := &es[i]; e.State == hbs.StateLive && lags(e, wanted) {
			lag = append(lag, e)
		}
	}
	engines := count(es)
	slices.SortStableFunc(lag, func(a, b *hbs.Endpoint) int { return cmp.Compare(number(a), number(b)) })
	rollout, taken := map[hbs.EndpointID]hbs.Rollout{}, map[hbs.ModelName]int{}
	for _, e := range lag {
		rollout[e.ID] = hbs.RolloutBehind
		if taken[e.Model] < share(engines[e.Model]) {
			taken[e.Model]++
			rollout[e.ID] = hbs.RolloutNext
		}
	}
	return rollout
}

// count returns how many engines of each model stay.
func count(es []hbs.Endpoint) map[hbs.ModelName]int {
	n := map[hbs.ModelName]int{}
	for i := range es {
		if e := &es[i]; stays(e) {
			n[e.Model]++
		}
	}
	return n
}

// share returns how many of n engines may change at once.
func share(n int) int { return int(math.Ceil(changeShare * float64(n))) }

// behind returns the engines that lag and may be asked, in the order in which
// they are (C2, C7).
func (c *Controller) behind(r *hbs.Roster) (lag []*hbs.Endpoint) {
	now := time.Now()
	listed := map[hbs.EndpointID]bool{}
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		listed[e.ID] = true
		if lags(e, c.Wanted) && !c.steps[e.ID] && !now.Before(c.failures[e.ID].until) {
			lag = append(lag, e)
		}
	}
	maps.DeleteFunc(c.failures, func(id hbs.EndpointID, _ failure) bool { return !listed[id] })
	slices.SortStableFunc(lag, func(a, b *hbs.Endpoint) int {
		return cmp.Or(cmp.Compare(c.failures[a.ID].count, c.failures[b.ID].count), cmp.Compare(number(a), number(b)))
	})
	return lag
}

// stays reports whether e is an engine that is not about to leave.
func stays(e *hbs.Endpoint) bool { return e.Kind == hbs.KindEngine && e.State != hbs.StateLeaving }

// lags reports whether e has older weights than wanted.
func lags(e *hbs.Endpoint, wanted func(hbs.ModelName) int64) bool {
	return stays(e) && number(e) < wanted(e.Model)
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
		o := s.run(ctx)
		select {
		case c.done <- o:
		case <-ctx.Done():
		}
	})
}
