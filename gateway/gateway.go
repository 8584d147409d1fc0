// Package gateway runs an instance on a hosting platform. The platform's store
// holds the routes, the workspaces' keys and the endpoint records; callers and
// endpoints use the platform's own HTTP protocol.
//
// The store is the only state that instances share. Each instance watches every
// kind of object in it and makes its decisions independently, from what it has
// read.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/converge"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/presence"
	"github.com/hornbeamstage/hornbeamstage/quarantine"
	"github.com/hornbeamstage/hornbeamstage/release"
	"github.com/hornbeamstage/hornbeamstage/roster"
)

const (
	// deregistrationDelay is how long after the stop signal the platform may
	// still send new connections.
	deregistrationDelay = 3 * time.Second
	// drainShare is the fraction of the grace time in which running requests
	// may complete.
	drainShare = 0.95
	// answerShare is the fraction of the grace time after which running requests are
	// ended, so that their callers get an answer.
	answerShare = 0.9
)

// Gateway is one instance. Its exported fields must be set before Run.
type Gateway struct {
	PlatformSettings *platform.Settings
	// PlatformSettingsFile is the file PlatformSettings was read from; Reload
	// reads it again.
	PlatformSettingsFile string
	Network              hbs.Network
	Log                  *zap.Logger
	Metrics              metrics.Registry
	// Knobs and Meters describe the knobs and metrics of all packages.
	Knobs  []hbs.Knob
	Meters []hbs.Meter
	// Seed makes jitter and tie-breaking reproducible; 0 selects a random seed.
	Seed uint64
	// Suspended returns the total time for which the machine has been
	// suspended; nil uses the operating system's clocks.
	Suspended func() time.Duration

	initOnce sync.Once
	stop     chan struct{}
	stopOnce sync.Once

	policy     hbs.Policy
	store      *platform.Client
	directory  *roster.Directory
	routes     *routeState
	versions   *weightsVersions
	presence   *presence.Counter
	crashes    *quarantine.Sharer
	streams    *release.Keeper
	dispatcher *dispatch.Dispatcher
	fleet      *placement.Placer
	lease      *lease.Holder
	controller *converge.Controller
	handler    *handler
	// memory bounds what clients of the listeners take.
	memory *memory.Budget
}

func (g *Gateway) init() {
	g.initOnce.Do(func() {
		g.stop = make(chan struct{})
		if g.Seed == 0 {
			g.Seed = rand.Uint64()
		}
		if g.Suspended == nil {
			g.Suspended = suspendedTime
		}
		if g.PlatformSettings.MemoryBytes > 0 {
			debug.SetMemoryLimit(int64(memory.RuntimeShare * float64(g.PlatformSettings.MemoryBytes)))
		}
		g.assemble()
	})
}

// Stop begins a graceful shutdown. It does not block.
func (g *Gateway) Stop() {
	g.init()
	g.stopOnce.Do(func() { close(g.stop) })
}

// Reload reads the settings file again and applies its bounds. All other
// settings are only read at startup.
func (g *Gateway) Reload() {
	g.init()
	s, err := platform.ReadSettings(g.PlatformSettingsFile)
	if err != nil {
		g.Log.Error("settings not reloaded", zap.Error(err))
		return
	}
	old := g.handler.bounds.Swap(&s.Bounds)
	g.Log.Info("settings reloaded", zap.Bool("bounds_changed", *old != s.Bounds))
}

func (g *Gateway) stopping() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}

// Run serves until Stop has completed or ctx ends. The end of ctx aborts
// running requests.
func (g *Gateway) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "instance %s", g.PlatformSettings.Instance) }()
	g.init()
	g.Log.Info("instance starts", zap.Stringer("callers", g.PlatformSettings.Callers), zap.String("domain", string(g.PlatformSettings.Domain)),
		zap.Stringer("store", g.PlatformSettings.Store))
	tasksCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	work := pool.New().WithContext(tasksCtx).WithCancelOnError().WithFirstError()
	for _, run := range g.backgroundTasks() {
		work.Go(run)
	}
	work.Go(func(ctx context.Context) error {
		defer cancel()
		return g.serve(ctx)
	})
	err = work.Wait()
	if g.stopping() && ctx.Err() == nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (g *Gateway) backgroundTasks() []func(context.Context) error {
	return []func(context.Context) error{
		g.store.Run,
		g.dispatcher.Run,
		g.fleet.Run,
		g.newWatcher(platform.KindConfig, g.configHandler()).Run,
		g.newWatcher(platform.KindEndpoints, &endpointHandler{Gateway: g, odd: map[string]hbs.Revision{}}).Run,
		g.newWatcher(platform.KindDesiredWeights, g.versionHandler()).Run,
		g.newWatcher(quarantine.Kind, &crashHandler{g.crashes}).Run,
		g.crashes.Run,
		g.newWatcher(release.KindRecord, &releaseHandler{g.streams}).Run,
		g.streams.Run,
		g.lease.Run,
		g.presence.Run,
		g.controller.Run,
		(&cacheReaders{Gateway: g}).Run,
		g.expireRecords,
	}
}

// expireInterval is the time between two checks for endpoint records that are
// missing for too long.
const expireInterval = 250 * time.Millisecond

func (g *Gateway) expireRecords(ctx context.Context) error {
	for {
		if err := delay.For(ctx, expireInterval); err != nil {
			return err
		}
		g.directory.ApplyTimeouts()
	}
}

// serve listens for callers, and for the platform's readiness checks, until a
// graceful shutdown completes or ctx ends.
func (g *Gateway) serve(ctx context.Context) error {
	callers, err := g.listen("callers", g.PlatformSettings.Callers, g.handler, memory.ShareConnections)
	if err != nil {
		return err
	}
	readiness, err := g.listen("readiness", g.PlatformSettings.Readiness, g.operatorRoutes(), memory.ShareOperators)
	if err != nil {
		callers.Close()
		return err
	}
	servers := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	servers.Go(callers.Run)
	servers.Go(readiness.Run)
	servers.Go(func(ctx context.Context) error { return g.stopGracefully(ctx, callers, readiness) })
	return servers.Wait()
}

// stopGracefully waits for Stop, reports not ready and releases the lease for orders,
// serves until the platform sends no new connections, and then refuses requests and lets
// running ones complete. At the end it ends those that still run.
func (g *Gateway) stopGracefully(ctx context.Context, callers, readiness *network.Server) error {
	select {
	case <-g.stop:
	case <-ctx.Done():
		return ctx.Err()
	}
	g.Log.Info("instance stops")
	begun, whole := time.Now(), float64(g.handler.bounds.Load().Grace)
	grace := time.Duration(drainShare * whole)
	deadline := begun.Add(grace)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.releaseLease(ctx, deadline) })
	if err := delay.For(ctx, min(deregistrationDelay, grace)); err != nil {
		return err
	}
	g.handler.closed.Store(true)
	answerAt := begun.Add(time.Duration(answerShare * whole))
	defer time.AfterFunc(time.Until(answerAt), g.handler.end).Stop()
	err := callers.Drain(ctx, time.Until(deadline))
	readiness.Close()
	if err != nil {
		return errors.Wrap(err, "requests were cut at the end of the grace time")
	}
	g.Log.Info("instance stopped")
	return nil
}

// releaseLease hands over the lease for orders at once: requests that run until the
// end of the grace time must not delay the rollout.
func (g *Gateway) releaseLease(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := g.lease.Release(ctx); err != nil {
		g.Log.Warn("lease not released, it will expire", zap.Error(err))
	}
}

// ready reports whether the platform should send callers to this instance, and
// why not.
func (g *Gateway) ready() (ok bool, why string) {
	switch {
	case g.stopping():
		return false, "stopping"
	case g.routes.current() == nil:
		return false, "no routes"
	case len(g.directory.Roster().Endpoints) == 0:
		return false, "no endpoints"
	}
	return true, "ready"
}

func (g *Gateway) writeReady(w http.ResponseWriter) {
	ok, why := g.ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if _, err := w.Write([]byte(why + "\n")); err != nil {
		g.Log.Debug("readiness response not written", zap.Error(err))
	}
}
