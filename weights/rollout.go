// Package weights brings engines to the wanted weights, adapters and roles
// without cutting a stream.
//
// # The protocol
//
//	R1. The holder of a domain's lease compares each of the domain's engines with
//	    what is wanted, in rounds. What it finds is its only state: a new holder
//	    goes on from whatever the last one left.
//	R2. An engine is drained for a load only under a permit of its model's out
//	    pool. That pool is smaller than the model's engines that shall serve,
//	    wherever there are two or more, so engines with the old version serve
//	    until others serve the new one.
//	R3. An engine loads only under a permit of the load pool of the whole fleet,
//	    which is as large as the weight store bears. No permit, no load: it is
//	    checked right before each order.
//	R4. Before weights are loaded the engine is drained, the drain has had the
//	    time to be in force everywhere, and a report of its load that was taken
//	    after that says that nothing runs or waits. A stream that goes on for
//	    longer than the patience puts the engine back; it is tried again later.
//	R5. The load permit is freed as soon as the weights are loaded. The engine is
//	    restored then, with an empty cache: it loads what it lacks from the store of
//	    kept KV cache as prompts need it.
//	R6. An engine that is drained by the record, that has the wanted weights and
//	    role and that no step works on was left by a holder that died: it is
//	    restored.
//	R7. Entries of older weights are not used: the engine drops them on loading,
//	    and keys are salted with the version.
//	R8. A holder that stops begins no step. A step that has not ordered a load yet
//	    puts its engine back and frees its permit; one that has gets some time to
//	    end. One that does not end in it is abandoned as by a holder that died,
//	    and its permits lapse (R3). The lease is released after that only.
//
//	R9. An engine that shall stand by is drained as by R4 without a patience that
//	    puts it back, then ordered to stand by, and stays drained. Its weights are
//	    replaced under a load permit alone. One that shall serve again is ordered
//	    to, then restored. When the wish changes before the order, no order is
//	    given.
//
//	R10. An engine that reports no load is idle when each instance has told that it
//	    has seen the drain and has no work there (package drain), which needs no
//	    time for the drain to be in force. Instances that say nothing are waited for
//	    as long as callers' deadlines may be away (rollout.unheard_wait), and no
//	    longer. One that left the roster during the wait is waited for like the
//	    others.
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

// Wanted is what the engines of one model shall be like.
type Wanted struct {
	Model    hbs.ModelName
	Weights  hbs.WeightsVersion
	Adapters []hbs.AdapterName
	// Standby are the engines that shall take no work.
	Standby []hbs.EndpointID
}

// standsBy reports whether the engine shall stand by; false for a nil w.
func (w *Wanted) standsBy(id hbs.EndpointID) bool {
	return w != nil && slices.Contains(w.Standby, id)
}

// Rollout brings the engines of one domain to what is wanted.
type Rollout struct {
	Self      hbs.Instance
	Lease     *lease.Keeper
	Orders    *order.Giver
	Directory hbs.Directory
	Drainer   hbs.Drainer
	Network   hbs.Network
	Platform  hbs.Platform
	Policy    hbs.Policy
	Metrics   metrics.Registry
	Log       *zap.Logger
	// Work knows of engines that report no load who has work there.
	Work *drain.Work
	// Wanted returns what is wanted now of each model.
	Wanted func() []Wanted
	// LoadsAtOnce is what the weight store bears, over the whole fleet.
	LoadsAtOnce func() int

	once  sync.Once
	loads *permit.Pool
	// leaving ends when the holder stops (R8), left is closed by Run.
	leaving context.Context
	leave   context.CancelFunc
	left    chan struct{}

	mu   sync.Mutex
	outs map[hbs.ModelName]*permit.Pool
	// working are the engines that a step works on.
	working map[hbs.EndpointID]bool
	// next is when an engine that is as wanted is looked at again.
	next map[hbs.EndpointID]time.Time
}

// Run works in rounds while this instance holds the lease, until ctx ends or Stop
// is called.
func (r *Rollout) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "rollout") }()
	r.init()
	defer close(r.left)
	rounds, cancel := r.untilStop(ctx)
	defer cancel()
	for {
		if fence, ok := r.Lease.Fence(); ok {
			r.hold(ctx, rounds, fence)
		}
		if delay.For(rounds, r.interval()) != nil {
			return ctx.Err()
		}
	}
}

// hold works under one grant until it ends or rounds ends. Steps go on for a while
// after the end of rounds (R8).
func (r *Rollout) hold(ctx, rounds context.Context, fence uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	steps := pool.New()
	for r.Lease.Check(fence) == nil {
		r.round(ctx, steps)
		if delay.For(rounds, r.interval()) != nil {
			late := time.AfterFunc(r.Policy.Duration(KnobStopPatience, hbs.Scope{Domain: r.Self.Domain}), cancel)
			steps.Wait()
			late.Stop()
			return
		}
	}
	cancel()
	steps.Wait()
}

// round starts a step for each engine that needs one (R1).
func (r *Rollout) round(ctx context.Context, steps *pool.Pool) {
	wanted := r.Wanted()
	roster := r.Directory.Roster()
	r.forget(roster)
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		if e.Kind != hbs.KindEngine || e.Domain != r.Self.Domain || e.State == hbs.StateLeaving {
			continue
		}
		w := find(wanted, e.Model)
		if w == nil || !r.begin(e, w) {
			continue
		}
		steps.Go(func() {
			defer r.end(e.ID)
			r.step(ctx, e, w)
		})
	}
}

func find(wanted []Wanted, model hbs.ModelName) *Wanted {
	for i := range wanted {
		if wanted[i].Model == model {
			return &wanted[i]
		}
	}
	return nil
}

// begin reports whether the caller may work on e now. An engine that is as wanted
// by the roster is looked at rarely, so that a round costs what there is to do and
// not the size of the domain.
func (r *Rollout) begin(e *hbs.Endpoint, w *Wanted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.working[e.ID] || asWanted(e, w) && time.Now().Before(r.next[e.ID]) {
		return false
	}
	r.working[e.ID] = true
	return true
}

func (r *Rollout) end(id hbs.EndpointID) {
	sweep := r.Policy.Duration(KnobSweep, hbs.Scope{Domain: r.Self.Domain})
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.working, id)
	r.next[id] = time.Now().Add(sweep/2 + rand.N(sweep/2+1))
}

// forget drops what is known of endpoints that are gone.
func (r *Rollout) forget(roster *hbs.Roster) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.next, func(id hbs.EndpointID, _ time.Time) bool {
		return roster.Endpoint(id) == nil
	})
}

// asWanted reports whether the roster's word on e is what w wants.
func asWanted(e *hbs.Endpoint, w *Wanted) bool {
	for _, a := range w.Adapters {
		if !slices.Contains(e.Adapters, a) {
			return false
		}
	}
	standby := w.standsBy(e.ID)
	return e.Weights == w.Weights && standby == (e.State == hbs.StateDraining)
}

// out returns the pool that bounds the drained engines of a model (R2).
func (r *Rollout) out(model hbs.ModelName) *permit.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.outs[model]
	if p == nil {
		p = r.pool("out."+string(model), func() int { return r.outLimit(model) })
		r.outs[model] = p
	}
	return p
}

func (r *Rollout) outLimit(model hbs.ModelName) int {
	n := engines(r.Directory.Roster(), model, find(r.Wanted(), model))
	share := int(float64(n) * r.Policy.Number(KnobOutShare, hbs.Scope{Model: model}))
	return max(1, min(share, n-1))
}

// engines counts the fleet's engines of model that serve. Of those that the
// roster leaves out only the number is known, so each engine that stands by and
// is not in the roster is taken off it. w may be nil.
func engines(roster *hbs.Roster, model hbs.ModelName, w *Wanted) (n int) {
	elsewhere := roster.Elsewhere[model]
	if w != nil {
		elsewhere -= len(w.Standby)
	}
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		if w.standsBy(e.ID) {
			elsewhere++
			continue
		}
		if e.Kind == hbs.KindEngine && e.Model == model && e.State != hbs.StateLeaving {
			n++
		}
	}
	return n + max(elsewhere, 0)
}

func (r *Rollout) pool(name string, limit func() int) *permit.Pool {
	return &permit.Pool{Name: name, Limit: limit, Platform: r.Platform, Self: r.Self, Policy: r.Policy, Metrics: r.Metrics}
}

func (r *Rollout) init() {
	r.once.Do(func() {
		r.loads = r.pool("load", r.LoadsAtOnce)
		r.outs = map[hbs.ModelName]*permit.Pool{}
		r.working = map[hbs.EndpointID]bool{}
		r.next = map[hbs.EndpointID]time.Time{}
		r.leaving, r.leave = context.WithCancel(context.Background())
		r.left = make(chan struct{})
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
	})
}

func (r *Rollout) interval() time.Duration {
	d := r.Policy.Duration(KnobInterval, hbs.Scope{Domain: r.Self.Domain})
	return d/2 + rand.N(d/2+1)
}

func (r *Rollout) inc(meter string) { metrics.GetOrRegisterCounter(meter, r.Metrics).Inc(1) }
