// Package gateway runs an instance on a hosting platform: one that keeps the
// routes, the workspaces' keys and the records of endpoints in its store, and
// whose callers and endpoints speak HTTP of their own.
//
// The store is the only thing that instances share. An instance follows it with
// one watch for each kind and decides by itself on what it has read.
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
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/converge"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/presence"
	"github.com/hornbeamstage/hornbeamstage/roster"
)

const (
	// memoryShare is the part of the memory up to which the heap may grow before
	// it is collected harder.
	memoryShare = 0.7
	// belowRotation is the time after the signal to stop within which the platform
	// may still send new connections.
	belowRotation = 3 * time.Second
	// graceShare is the part of the grace time that running requests get.
	graceShare = 0.95
)

// Gateway is one instance. Its exported fields are set before Run.
type Gateway struct {
	Boot *platform.Boot
	// BootFile is where Boot was read from, for Reload.
	BootFile string
	Network  hbs.Network
	Log      *zap.Logger
	Metrics  metrics.Registry
	// Knobs and Meters are the tables of all parts.
	Knobs  []hbs.Knob
	Meters []hbs.Meter
	// Seed makes jitter and ties repeatable; 0 draws one.
	Seed uint64
	// Suspended returns for how long the machine has been suspended in all; nil is
	// that of the operating system.
	Suspended func() time.Duration

	once    sync.Once
	stop    chan struct{}
	stopped sync.Once

	policy     hbs.Policy
	store      *platform.Client
	directory  *roster.Directory
	table      *tables
	versions   *versions
	presence   *presence.Counter
	dispatcher *dispatch.Dispatcher
	fleet      *placement.Fleet
	lease      *lease.Keeper
	controller *converge.Controller
	handler    *handler
}

func (g *Gateway) init() {
	g.once.Do(func() {
		g.stop = make(chan struct{})
		if g.Seed == 0 {
			g.Seed = rand.Uint64()
		}
		if g.Suspended == nil {
			g.Suspended = suspended
		}
		if g.Boot.MemoryBytes > 0 {
			debug.SetMemoryLimit(int64(memoryShare * float64(g.Boot.MemoryBytes)))
		}
		g.assemble()
	})
}

// Stop begins a graceful stop. It does not block.
func (g *Gateway) Stop() {
	g.init()
	g.stopped.Do(func() { close(g.stop) })
}

// Reload reads the settings file again and takes its bounds. Everything else
// belongs to the start.
func (g *Gateway) Reload() {
	g.init()
	b, err := platform.ReadBoot(g.BootFile)
	if err != nil {
		g.Log.Error("settings not reloaded", zap.Error(err))
		return
	}
	old := g.handler.bounds.Swap(&b.Bounds)
	g.Log.Info("settings reloaded", zap.Bool("bounds_changed", *old != b.Bounds))
}

func (g *Gateway) stopping() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}

// Run serves until Stop or until ctx ends, which cuts running requests.
func (g *Gateway) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "instance %s", g.Boot.Instance) }()
	g.init()
	g.Log.Info("instance starts", zap.Stringer("callers", g.Boot.Callers), zap.String("domain", string(g.Boot.Domain)),
		zap.Stringer("store", g.Boot.Store))
	duties, cancel := context.WithCancel(ctx)
	defer cancel()
	work := pool.New().WithContext(duties).WithCancelOnError().WithFirstError()
	for _, run := range g.duties() {
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

func (g *Gateway) duties() []func(context.Context) error {
	return []func(context.Context) error{
		g.store.Run,
		g.dispatcher.Run,
		g.fleet.Run,
		g.follower(platform.KindConfig, g.configFeed()).Run,
		g.follower(platform.KindServers, &serverFeed{g}).Run,
		g.follower(platform.KindVersions, g.versionFeed()).Run,
		g.lease.Run,
		g.presence.Run,
		g.controller.Run,
		(&cacheFeed{Gateway: g}).Run,
		g.expire,
	}
}

// expireEvery is the time between two looks for records that did not come back.
const expireEvery = 250 * time.Millisecond

func (g *Gateway) expire(ctx context.Context) error {
	for {
		if err := delay.For(ctx, expireEvery); err != nil {
			return err
		}
		g.directory.Expire()
	}
}

// serve listens for callers and for the platform's question whether the instance
// is ready, until a stop has been carried out.
func (g *Gateway) serve(ctx context.Context) error {
	callers, err := g.listen("callers", g.Boot.Callers, g.handler)
	if err != nil {
		return err
	}
	readiness, err := g.listen("readiness", g.Boot.Readiness, g.operatorRoutes())
	if err != nil {
		callers.Close()
		return err
	}
	servers := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	servers.Go(callers.Run)
	servers.Go(readiness.Run)
	servers.Go(func(ctx context.Context) error { return g.stopDuty(ctx, callers, readiness) })
	return servers.Wait()
}

// stopDuty carries out a graceful stop: go unready, serve until no new
// connections come, let running requests end.
func (g *Gateway) stopDuty(ctx context.Context, callers, readiness *network.Server) error {
	select {
	case <-g.stop:
	case <-ctx.Done():
		return ctx.Err()
	}
	g.Log.Info("instance stops")
	grace := time.Duration(graceShare * float64(g.handler.bounds.Load().Grace))
	last := time.Now().Add(grace)
	if err := delay.For(ctx, min(belowRotation, grace)); err != nil {
		return err
	}
	err := callers.Drain(ctx, time.Until(last))
	readiness.Close()
	if err != nil {
		return errors.Wrap(err, "requests were cut at the end of the grace time")
	}
	g.Log.Info("instance stopped")
	return nil
}

// ready tells whether callers should be sent here.
func (g *Gateway) ready() (ok bool, why string) {
	switch {
	case g.stopping():
		return false, "stopping"
	case g.table.now() == nil:
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
		g.Log.Debug("readiness not told", zap.Error(err))
	}
}
