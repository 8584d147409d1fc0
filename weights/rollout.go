// Package weights brings engines to the desired weights, adapters and roles
// without cutting a stream.
//
// # The protocol
//
//	R1. The holder of a domain's lease compares each of the domain's engines with
//	    the desired state, in rounds. It acts only on what it finds there, so a new
//	    holder continues from whatever the previous one left.
//	R2. An engine is drained for a load only under a permit of its model's drain
//	    pool. Wherever two or more of the model's engines should serve, the pool
//	    is smaller than their number, so engines with the old version serve until
//	    others serve the new one.
//	R3. An engine loads only under a permit of the load pool of the whole fleet,
//	    whose size is the number of concurrent loads that the weight store
//	    supports. The permit is checked right before each order; without one there
//	    is no load.
//	R4. Weights are loaded only after the engine was drained, the time for the
//	    drain to be in effect on all instances has passed, and a load report taken
//	    after that shows no running or waiting work. When a stream outlasts
//	    rollout.drain_patience, the engine is restored and tried again later.
//	R5. The load permit is released as soon as the weights are loaded. The engine
//	    is then restored with an empty cache; it loads KV cache entries from the
//	    cache store as prompts need them.
//	R6. An engine that is drained by its record, has the desired weights and role
//	    and has no step in progress was left by a holder that died: it is restored.
//	R7. Cache entries of older weights are not used: the engine drops them when it
//	    loads, and cache keys are salted with the version.
//	R8. A holder that stops begins no step. A step that has not ordered a load yet
//	    restores its engine and releases its permit. One that has ordered a load
//	    gets rollout.stop_patience to end. If it does not end by then, it is
//	    abandoned as if the holder had died, and its permits expire (R3). Only after
//	    that is the lease released.
//
//	R9. An engine that should be on standby is drained as by R4, but is not
//	    restored when a stream outlasts rollout.drain_patience. Then it is ordered to the
//	    standby role and stays drained. Its weights are replaced under a load
//	    permit alone. An engine that should serve again is ordered to the serving
//	    role, then restored. When the desired state changes before the order, no
//	    order is sent.
//
//	R10. An engine that reports no load is idle when each instance has reported
//	    that it has seen the drain and has no work there (package drain); no time
//	    for the drain to be in effect is needed then. Instances that do not report
//	    are waited for as long as their callers' deadlines may last
//	    (rollout.unheard_wait), and no longer. One that left the roster during the
//	    wait is waited for like the others.
//
// Adapters need a load permit but no drain.
package weights

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/drain"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/order"
	"github.com/hornbeamstage/hornbeamstage/permit"
)

// Desired is the desired state of the engines of one model.
type Desired struct {
	Model    hbs.ModelName
	Weights  hbs.WeightsVersion
	Adapters []hbs.AdapterName
	// Standby are the engines that should take no work.
	Standby []hbs.EndpointID
}

// wantsStandby reports whether the engine should be on standby; false for a nil d.
func (d *Desired) wantsStandby(id hbs.EndpointID) bool {
	return d != nil && slices.Contains(d.Standby, id)
}

// Rollout brings the engines of one domain to the desired state.
type Rollout struct {
	Self      hbs.Instance
	Lease     *lease.Holder
	Orders    *order.Sender
	Directory hbs.Directory
	Drainer   hbs.Drainer
	Network   hbs.Network
	Platform  hbs.Platform
	Policy    hbs.Policy
	Metrics   metrics.Registry
	Log       *zap.Logger
	// Tracker has the attempts of all instances on draining engines that report no
	// load.
	Tracker *drain.Tracker
	// Desired returns the current desired state of each model.
	Desired func() []Desired
	// MaxConcurrentLoads returns how many concurrent loads the weight store
	// supports, over the whole fleet.
	MaxConcurrentLoads func() int

	once     sync.Once
	loadPool *permit.Pool
	// stopping is canceled when the instance stops (R8); Run closes done.
	stopping    context.Context
	requestStop context.CancelFunc
	done        chan struct{}

	mu         sync.Mutex
	drainPools map[hbs.ModelName]*permit.Pool
	// inProgress has the engines with a step in progress.
	inProgress map[hbs.EndpointID]bool
	// nextCheck is when an engine that matches the desired state is checked again.
	nextCheck map[hbs.EndpointID]time.Time
}

// Run runs rounds while this instance holds the lease, until ctx ends or Stop is
// called.
func (r *Rollout) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "rollout") }()
	r.init()
	defer close(r.done)
	roundCtx, cancel := r.withStop(ctx)
	defer cancel()
	for {
		if fence, ok := r.Lease.Fence(); ok {
			r.runUnderLease(ctx, roundCtx, fence)
		}
		if delay.For(roundCtx, r.roundDelay()) != nil {
			return ctx.Err()
		}
	}
}

// runUnderLease runs rounds under one grant of the lease, until the grant or
// roundCtx ends. When roundCtx ends, steps in progress get rollout.stop_patience to
// finish (R8).
func (r *Rollout) runUnderLease(ctx, roundCtx context.Context, fence uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	steps := pool.New()
	for r.Lease.Check(fence) == nil {
		r.round(ctx, steps)
		if delay.For(roundCtx, r.roundDelay()) != nil {
			abandon := time.AfterFunc(r.Policy.Duration(KnobStopPatience, hbs.Scope{Domain: r.Self.Domain}), cancel)
			steps.Wait()
			abandon.Stop()
			return
		}
	}
	cancel()
	steps.Wait()
}

// round starts a step for each engine that needs one (R1).
func (r *Rollout) round(ctx context.Context, steps *pool.Pool) {
	desired := r.Desired()
	roster := r.Directory.Roster()
	r.dropRemoved(roster)
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		if e.Kind != hbs.KindEngine || e.Domain != r.Self.Domain || e.State == hbs.StateLeaving {
			continue
		}
		d := findDesired(desired, e.Model)
		if d == nil || !r.beginStep(e, d) {
			continue
		}
		steps.Go(func() {
			defer r.endStep(e.ID)
			r.step(ctx, e, d)
		})
	}
}

func findDesired(desired []Desired, model hbs.ModelName) *Desired {
	for i := range desired {
		if desired[i].Model == model {
			return &desired[i]
		}
	}
	return nil
}

// beginStep reports whether the caller may start a step on e now, and reserves e
// for it. An engine that matches the desired state by the roster is checked only
// once per rollout.sweep_interval, so that the cost of a round depends on the
// number of pending changes and not on the size of the domain.
func (r *Rollout) beginStep(e *hbs.Endpoint, d *Desired) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress[e.ID] || rosterMatches(e, d) && time.Now().Before(r.nextCheck[e.ID]) {
		return false
	}
	r.inProgress[e.ID] = true
	return true
}

func (r *Rollout) endStep(id hbs.EndpointID) {
	sweep := r.Policy.Duration(KnobSweep, hbs.Scope{Domain: r.Self.Domain})
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inProgress, id)
	r.nextCheck[id] = time.Now().Add(sweep/2 + rand.N(sweep/2+1))
}

// dropRemoved deletes the check times of endpoints that have left the roster.
func (r *Rollout) dropRemoved(roster *hbs.Roster) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.nextCheck, func(id hbs.EndpointID, _ time.Time) bool {
		return roster.Endpoint(id) == nil
	})
}

// rosterMatches reports whether e, as the roster has it, is in the desired state d.
func rosterMatches(e *hbs.Endpoint, d *Desired) bool {
	for _, a := range d.Adapters {
		if !slices.Contains(e.Adapters, a) {
			return false
		}
	}
	standby := d.wantsStandby(e.ID)
	return e.Weights == d.Weights && standby == (e.State == hbs.StateDraining)
}

// drainPool returns the pool that limits how many engines of a model are drained at
// once (R2).
func (r *Rollout) drainPool(model hbs.ModelName) *permit.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.drainPools[model]
	if p == nil {
		p = r.newPool("out."+string(model), func() int { return r.drainLimit(model) })
		r.drainPools[model] = p
	}
	return p
}

func (r *Rollout) drainLimit(model hbs.ModelName) int {
	n := countServing(r.Directory.Roster(), model, findDesired(r.Desired(), model))
	share := int(float64(n) * r.Policy.Number(KnobDrainShare, hbs.Scope{Model: model}))
	return max(1, min(share, n-1))
}

// countServing counts the fleet's engines of model that should serve. Of those that
// the roster does not list only the number is known, so each standby engine that is
// not in the roster is subtracted from it. d may be nil.
func countServing(roster *hbs.Roster, model hbs.ModelName, d *Desired) (n int) {
	unlisted := roster.UnlistedEngines[model]
	if d != nil {
		unlisted -= len(d.Standby)
	}
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		if d.wantsStandby(e.ID) {
			unlisted++
			continue
		}
		if e.Kind == hbs.KindEngine && e.Model == model && e.State != hbs.StateLeaving {
			n++
		}
	}
	return n + max(unlisted, 0)
}

func (r *Rollout) newPool(name string, limit func() int) *permit.Pool {
	return &permit.Pool{Name: name, Limit: limit, Platform: r.Platform, Self: r.Self, Policy: r.Policy, Metrics: r.Metrics, Log: r.Log}
}

func (r *Rollout) init() {
	r.once.Do(func() {
		r.loadPool = r.newPool("load", r.MaxConcurrentLoads)
		r.drainPools = map[hbs.ModelName]*permit.Pool{}
		r.inProgress = map[hbs.EndpointID]bool{}
		r.nextCheck = map[hbs.EndpointID]time.Time{}
		r.stopping, r.requestStop = context.WithCancel(context.Background())
		r.done = make(chan struct{})
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
	})
}

// roundDelay returns the time until the next round: between half of
// rollout.interval and all of it, at random.
func (r *Rollout) roundDelay() time.Duration {
	d := r.Policy.Duration(KnobInterval, hbs.Scope{Domain: r.Self.Domain})
	return d/2 + rand.N(d/2+1)
}

func (r *Rollout) inc(meter string) { metrics.GetOrRegisterCounter(meter, r.Metrics).Inc(1) }
