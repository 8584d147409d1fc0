// Package converge orders engines to load the version of the weights that the
// platform specifies for their model. This version is called the desired version
// or the target, and it is the newest one published.
//
// Rules:
//
//	C1. Orders are sent only while this instance holds the fleet's lease (package
//	    lease). The grant is checked immediately before an order is written.
//	C2. Only the newest version is ordered. An engine that has it, or is already
//	    carrying out an order for an older one, gets no order. Engines with the
//	    oldest weights go first; one that has just loaded a version is sorted like any
//	    other.
//	C3. Before each order the engine's own report is read. The order names the
//	    incarnation of the engine and the number of orders that it has accepted, so
//	    that the engine refuses a copy that arrives late or after a restart.
//	C4. An engine drains its running requests before it loads, and refuses waiting
//	    ones. So only a share of a model's engines changes at once, and no more in
//	    total than the source of the weights can serve (loadLimiter), or than have to
//	    for the change to end in time, with time left for a takeover of the lease.
//	    Instances are notified before the order, so that they stop sending requests to
//	    the engine. An engine counts as changing from the start of its step on. It no
//	    longer does if it does not answer soon, if reports show no effect of the order,
//	    or if it falls silent for long. If the order takes effect later, the engine
//	    counts again once a step finds it busy.
//	C5. Only the engine's report and its record show whether an order took effect.
//	    An order without effect is sent again after a new report.
//	C6. After the process was suspended the grant is treated as lost, since the
//	    clock that measures it may have been suspended too.
//	C7. An engine that does not answer, or accepts no order, goes behind all others
//	    and is retried with exponential backoff, so that it delays none of them.
package converge

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net/http"
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
	// pollInterval is the time between two checks of the roster.
	pollInterval = 100 * time.Millisecond
	// callTimeout bounds one call to an engine.
	callTimeout = time.Second
	// retryDelay is the delay after a failed step; it doubles with each consecutive
	// failure up to maxRetryDelay.
	retryDelay    = 700 * time.Millisecond
	maxRetryDelay = 6 * time.Second
	// MaxChangeTime is the longest time that a change of weights normally takes.
	MaxChangeTime = 6 * time.Second
	// announceDelay is how long instances take to learn of an announced change.
	announceDelay = 120 * time.Millisecond
	// suspendTolerance is larger than the measurement error of Suspended.
	suspendTolerance = 20 * time.Millisecond
	// maxChangingShare is the share of a model's engines that may change at once.
	maxChangingShare = 0.34
)

// Controller sends the orders. Its fields must be set before Run.
type Controller struct {
	Self      hbs.InstanceID
	Lease     *lease.Holder
	Directory hbs.Directory
	Network   hbs.Network
	Metrics   metrics.Registry
	Log       *zap.Logger
	// TargetVersion returns the desired version of a model's weights, the newest
	// one that the platform has published; 0 for none.
	TargetVersion func(hbs.ModelName) int64
	// TimeLeft returns the time in which an engine's weights have to be replaced, not
	// positive if they are overdue; ok is false if there is no limit.
	TimeLeft func(e *hbs.Endpoint) (left time.Duration, ok bool)
	// TakeoverTime is how long no instance holds the lease if its holder dies. A change
	// is to end so much earlier than it has to; positive.
	TakeoverTime time.Duration
	// AnnounceChange announces to all instances that an engine is about to load a
	// version.
	AnnounceChange func(ctx context.Context, id hbs.EndpointID, version int64) error
	// OnHeader is called with the header of each response of an engine to an order or a
	// read of its report; may be nil.
	OnHeader func(e *hbs.Endpoint, status int, h http.Header)
	// OnWeightsReported is called with the new weights that an engine reports,
	// usually before its record has them.
	OnWeightsReported func(id hbs.EndpointID, was, now hbs.WeightsVersion)
	// OrderLifetime is how long after an order no other instance may send one. A
	// release of the lease waits for it; at least callTimeout.
	OrderLifetime time.Duration
	// Suspended returns the total time for which the machine has been suspended,
	// accurate to a few milliseconds.
	Suspended func() time.Duration

	// The fields below are used only by the goroutine of Run.

	// running has the engines with a step in progress.
	running map[hbs.EndpointID]bool
	// failures has the engines whose last step failed.
	failures map[hbs.EndpointID]failure
	limiter  loadLimiter
	outcomes chan outcome
	wg       conc.WaitGroup
	// suspendedBefore is the value of Suspended when the current fence was first seen.
	suspendedBefore time.Duration
	fence           uint64
}

// failure counts the consecutive failed steps of an engine.
type failure struct {
	count int
	// until is when the engine is retried.
	until time.Time
}

// Run sends orders while this instance holds the lease, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.running = map[hbs.EndpointID]bool{}
	c.failures = map[hbs.EndpointID]failure{}
	c.outcomes = make(chan outcome)
	ctx, cancel := context.WithCancel(ctx)
	defer c.wg.Wait()
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-c.outcomes:
			c.handleOutcome(o)
		case <-tick.C:
			c.reconcile(ctx)
		}
	}
}

// handleOutcome processes the outcome of a step.
func (c *Controller) handleOutcome(o outcome) {
	delete(c.running, o.engine)
	if !o.failed {
		delete(c.failures, o.engine)
		c.recordTimes(o)
		return
	}
	n := c.failures[o.engine].count
	c.failures[o.engine] = failure{n + 1, time.Now().Add(delay.Backoff(retryDelay, maxRetryDelay, n))}
}

// recordTimes passes the times of a successful change to the limiter.
func (c *Controller) recordTimes(o outcome) {
	before := c.limiter.maxLoads
	c.limiter.record(o.drain, o.load)
	if c.limiter.maxLoads != before {
		c.Log.Info("loads at once changed", zap.Int("from", before), zap.Int("to", c.limiter.maxLoads),
			zap.Duration("load", o.load), zap.Duration("reference", c.limiter.reference.median))
	}
}

// reconcile starts steps for engines with outdated weights.
func (c *Controller) reconcile(ctx context.Context) {
	fence, held := c.Lease.Fence()
	if !held {
		return
	}
	if fence != c.fence {
		c.fence, c.suspendedBefore = fence, c.Suspended()
		clear(c.failures)
	}
	if c.Suspended()-c.suspendedBefore > suspendTolerance { // C6
		c.Log.Warn("lease abandoned after a suspension", zap.Uint64("fence", fence))
		c.Lease.Abandon()
		return
	}
	r := c.Directory.Roster()
	outdated := c.outdatedEngines(r)
	if len(outdated) == 0 {
		return
	}
	capacity, total := c.capacity(r)
	for _, e := range outdated {
		if total > 0 && capacity[e.Model] > 0 {
			total--
			capacity[e.Model]--
			c.startStep(ctx, *e, fence)
		}
	}
}

// capacity returns how many more engines may change, by model and in total (C4).
func (c *Controller) capacity(r *hbs.Roster) (byModel map[hbs.ModelName]int, total int) {
	byModel = map[hbs.ModelName]int{}
	engines := 0
	for m, n := range countEngines(r.Endpoints) {
		byModel[m] = maxChanging(n)
		engines += n
	}
	for i := range r.Endpoints {
		if e := &r.Endpoints[i]; c.running[e.ID] {
			byModel[e.Model]--
		}
	}
	places := max(c.limiter.maxChanges(engines), c.limiter.inTime(c.timesLeft(r)))
	return byModel, places - len(c.running)
}

// timesLeft returns the time left for each change of an outdated engine that has a
// limit, in ascending order. It keeps back the time of a takeover, but at most half of
// the time left: a change whose end is put off as time passes never ends. Overdue
// changes, too, are to end within half of TakeoverTime.
func (c *Controller) timesLeft(r *hbs.Roster) (times []time.Duration) {
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		if !isOutdated(e, c.TargetVersion) {
			continue
		}
		if left, ok := c.TimeLeft(e); ok {
			times = append(times, max(left-c.TakeoverTime, left/2, c.TakeoverTime/2))
		}
	}
	slices.Sort(times)
	return times
}

// Rollouts returns the live engines with older weights than target returns. Of
// each model, those with the oldest weights are next, as many as may change at
// once. Engines that are already changing don't appear, since their state is not
// live.
func Rollouts(es []hbs.Endpoint, target func(hbs.ModelName) int64) map[hbs.EndpointID]hbs.Rollout {
	var outdated []*hbs.Endpoint
	for i := range es {
		if e := &es[i]; e.State == hbs.StateLive && isOutdated(e, target) {
			outdated = append(outdated, e)
		}
	}
	engines := countEngines(es)
	slices.SortStableFunc(outdated, func(a, b *hbs.Endpoint) int { return cmp.Compare(weightsVersion(a), weightsVersion(b)) })
	rollout, next := map[hbs.EndpointID]hbs.Rollout{}, map[hbs.ModelName]int{}
	for _, e := range outdated {
		rollout[e.ID] = hbs.RolloutOutdated
		if next[e.Model] < maxChanging(engines[e.Model]) {
			next[e.Model]++
			rollout[e.ID] = hbs.RolloutNext
		}
	}
	return rollout
}

// countEngines returns the number of engines of each model that are not leaving.
func countEngines(es []hbs.Endpoint) map[hbs.ModelName]int {
	n := map[hbs.ModelName]int{}
	for i := range es {
		if e := &es[i]; isStaying(e) {
			n[e.Model]++
		}
	}
	return n
}

// maxChanging returns how many of n engines may change at once.
func maxChanging(n int) int { return int(math.Ceil(maxChangingShare * float64(n))) }

// outdatedEngines returns the engines with older weights than the target that may get
// an order now, in the order in which they get one (C2, C7).
func (c *Controller) outdatedEngines(r *hbs.Roster) (outdated []*hbs.Endpoint) {
	now := time.Now()
	listed := map[hbs.EndpointID]bool{}
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		listed[e.ID] = true
		if isOutdated(e, c.TargetVersion) && !c.running[e.ID] && !now.Before(c.failures[e.ID].until) {
			outdated = append(outdated, e)
		}
	}
	maps.DeleteFunc(c.failures, func(id hbs.EndpointID, _ failure) bool { return !listed[id] })
	slices.SortStableFunc(outdated, func(a, b *hbs.Endpoint) int {
		return cmp.Or(cmp.Compare(c.failures[a.ID].count, c.failures[b.ID].count), cmp.Compare(weightsVersion(a), weightsVersion(b)))
	})
	return outdated
}

// isStaying reports whether e is an engine that is not leaving.
func isStaying(e *hbs.Endpoint) bool { return e.Kind == hbs.KindEngine && e.State != hbs.StateLeaving }

// isOutdated reports whether e has older weights than target returns.
func isOutdated(e *hbs.Endpoint, target func(hbs.ModelName) int64) bool {
	return isStaying(e) && weightsVersion(e) < target(e.Model)
}

// weightsVersion returns the version of an engine's weights. It returns the
// largest value if the record has no valid version, so that the engine gets no
// order.
func weightsVersion(e *hbs.Endpoint) int64 {
	n, err := platform.ParseWeights(e.Weights)
	if err != nil {
		return math.MaxInt64
	}
	return n
}

func (c *Controller) startStep(ctx context.Context, e hbs.Endpoint, fence uint64) {
	c.running[e.ID] = true
	s := &step{Controller: c, engine: e, fence: fence, suspendedBefore: c.suspendedBefore, answerTimeout: answerTimeout}
	if c.failures[e.ID].count > 0 {
		s.answerTimeout = callTimeout
	}
	c.wg.Go(func() {
		o := s.run(ctx)
		select {
		case c.outcomes <- o:
		case <-ctx.Done():
		}
	})
}
