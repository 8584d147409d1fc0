// Package router assembles the components of one instance and runs it. It also
// holds the command line of hornbeamstage.
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

// FleetPolicy is the name of the placement policy used in production. The other
// policies are baselines that the replay compares it with.
const FleetPolicy = "fleet"

// Router is one instance. Its fields must be set before Run is called.
type Router struct {
	// Settings have been validated.
	Settings settings.Settings
	Network  hbs.Network
	Log      *zap.Logger
	Metrics  metrics.Registry
	// Placement is the name of the placement policy; empty means FleetPolicy.
	Placement string
	// Scope overrides the set of endpoints that the instance considers; empty uses
	// the configuration.
	Scope placement.Scope
	// Seed makes jitter and tie-breaking reproducible; 0 means a random seed.
	Seed uint64

	initOnce sync.Once
	stop     chan struct{}
	stopOnce sync.Once
}

func (r *Router) init() {
	r.initOnce.Do(func() {
		r.stop = make(chan struct{})
		if r.Placement == "" {
			r.Placement = FleetPolicy
		}
		if r.Seed == 0 {
			r.Seed = rand.Uint64()
		}
	})
}

// Stop begins a graceful shutdown: the instance announces it and still serves for the
// linger time, then accepts no new requests. Run returns once running requests have
// ended, or with an error after the grace time. Stop does not block.
func (r *Router) Stop() {
	r.init()
	r.stopOnce.Do(func() { close(r.stop) })
}

// Reload only logs that settings are read at startup.
func (r *Router) Reload() { r.Log.Info("settings not reloaded, they are only read at startup") }

// Run serves until Stop is called or ctx ends. The end of ctx aborts running requests.
func (r *Router) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "instance %s", r.Settings.Instance.ID) }()
	r.init()
	c, err := r.assemble()
	if err != nil {
		return err
	}
	// Background tasks run until the listeners have shut down, since running requests
	// depend on them.
	taskCtx, cancelTasks := context.WithCancel(ctx)
	defer cancelTasks()
	tasks := pool.New().WithContext(taskCtx).WithCancelOnError().WithFirstError()
	c.start(tasks)
	tasks.Go(func(ctx context.Context) error {
		defer cancelTasks()
		return r.serve(ctx, c)
	})
	r.Log.Info("instance starts", zap.Stringer("callers", r.Settings.Listen.Callers))
	err = tasks.Wait()
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

// serve listens for callers and operators until the shutdown is complete.
func (r *Router) serve(ctx context.Context, c *components) error {
	callers, err := r.listenCallers(c)
	if err != nil {
		return err
	}
	operators, err := r.listenOperators(c)
	if err != nil {
		callers.Close()
		return err
	}
	servers := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	servers.Go(func(ctx context.Context) error { return runServer(ctx, callers) })
	servers.Go(func(ctx context.Context) error { return runServer(ctx, operators) })
	servers.Go(func(ctx context.Context) error {
		return r.shutDown(ctx, c, callers, operators)
	})
	return servers.Wait()
}

// shutDown waits for Stop and then shuts down gracefully: it announces the shutdown,
// lingers, drains the callers' listener and deletes the instance's record. The lease
// is handed over meanwhile.
func (r *Router) shutDown(ctx context.Context, c *components, callers, operators *network.Server) error {
	select {
	case <-r.stop:
	case <-ctx.Done():
		return ctx.Err()
	}
	r.Log.Info("instance stops")
	var wg conc.WaitGroup
	wg.Go(func() { r.handOver(ctx, c) })
	if err := c.directory.Leave(ctx); err != nil {
		r.Log.Warn("shutdown announced to peers, but not recorded on the platform", zap.Error(err))
	}
	_ = delay.For(ctx, time.Duration(r.Settings.Stop.Linger))
	err := callers.Drain(ctx, time.Duration(r.Settings.Stop.Grace))
	wg.Wait()
	r.deleteRecord(ctx, c)
	operators.Close()
	if err != nil {
		return errors.Wrap(err, "requests aborted at the end of the grace time")
	}
	r.Log.Info("instance stopped")
	return nil
}

// deleteRecord deletes the instance's record on the platform. If that fails, another
// instance deletes it later.
func (r *Router) deleteRecord(ctx context.Context, c *components) {
	if err := c.directory.Withdraw(ctx); err != nil {
		r.Log.Warn("instance record not deleted, another instance will delete it", zap.Error(err))
	}
}
