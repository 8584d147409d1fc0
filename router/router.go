// Package router assembles one instance out of its parts and runs it.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/settings"
)

// FleetPolicy is the name of the router's own placement policy. The others are
// baselines of the replay.
const FleetPolicy = "fleet"

// Router is one instance. Its fields are set before Run.
type Router struct {
	// Settings are valid.
	Settings settings.Settings
	Network  hbs.Network
	Log      *zap.Logger
	Metrics  metrics.Registry
	// Placement names the placement policy; empty is FleetPolicy.
	Placement string
	// Scope overrides which endpoints the instance places on; empty leaves it
	// to the configuration.
	Scope placement.Scope
	// Seed makes jitter and ties repeatable; 0 draws one.
	Seed uint64

	once    sync.Once
	stop    chan struct{}
	stopped sync.Once
}

func (r *Router) init() {
	r.once.Do(func() {
		r.stop = make(chan struct{})
		if r.Placement == "" {
			r.Placement = FleetPolicy
		}
		if r.Seed == 0 {
			r.Seed = rand.Uint64()
		}
	})
}

// Stop begins a graceful stop: the instance tells that it leaves, takes no new
// requests after the linger time, and Run returns nil once running requests
// have ended or the grace time is over. It does not block.
func (r *Router) Stop() {
	r.init()
	r.stopped.Do(func() { close(r.stop) })
}

// Reload logs that settings are read at the start only.
func (r *Router) Reload() { r.Log.Info("settings not reloaded, they are read at the start") }

// Run serves until Stop or until ctx ends, which cuts running requests.
func (r *Router) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "instance %s", r.Settings.Instance.ID) }()
	r.init()
	p, err := r.assemble()
	if err != nil {
		return err
	}
	// The duties outlive the listeners, so that running requests can end.
	duties, cancelDuties := context.WithCancel(ctx)
	defer cancelDuties()
	work := pool.New().WithContext(duties).WithCancelOnError().WithFirstError()
	p.start(work)
	work.Go(func(ctx context.Context) error {
		defer cancelDuties()
		return r.serve(ctx, p)
	})
	r.Log.Info("instance starts", zap.Stringer("callers", r.Settings.Listen.Callers))
	err = work.Wait()
	if r.stopping() && ctx.Err() == nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (r *Router) stopping() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// serve listens for callers and operators until a stop has been carried out.
func (r *Router) serve(ctx context.Context, p *parts) error {
	callers, err := r.listenCallers(p)
	if err != nil {
		return err
	}
	operators, err := r.listenOperators(p)
	if err != nil {
		callers.Close()
		return err
	}
	servers := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	servers.Go(func(ctx context.Context) error { return run(ctx, callers) })
	servers.Go(func(ctx context.Context) error { return run(ctx, operators) })
	servers.Go(func(ctx context.Context) error {
		return r.stopDuty(ctx, p, callers, operators)
	})
	return servers.Wait()
}

// stopDuty carries out a graceful stop: leave, linger, drain, end. Orders are
// handed over meanwhile.
func (r *Router) stopDuty(ctx context.Context, p *parts, callers, operators *network.Server) error {
	select {
	case <-r.stop:
	case <-ctx.Done():
		return ctx.Err()
	}
	r.Log.Info("instance stops")
	var handOver conc.WaitGroup
	handOver.Go(func() { r.handOver(ctx, p) })
	if err := p.directory.Leave(ctx); err != nil {
		r.Log.Warn("the platform was not told of the stop; peers were", zap.Error(err))
	}
	_ = delay.For(ctx, time.Duration(r.Settings.Stop.Linger))
	err := callers.Drain(ctx, time.Duration(r.Settings.Stop.Grace))
	handOver.Wait()
	r.withdraw(ctx, p)
	operators.Close()
	if err != nil {
		return errors.Wrap(err, "requests were cut at the end of the grace time")
	}
	r.Log.Info("instance stopped")
	return nil
}

// withdraw removes the instance's record. One that stays is removed later by
// another instance.
func (r *Router) withdraw(ctx context.Context, p *parts) {
	if err := p.directory.Withdraw(ctx); err != nil {
		r.Log.Warn("record of this instance stays for now", zap.Error(err))
	}
}
