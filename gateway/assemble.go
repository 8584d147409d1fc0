package gateway

import (
	"context"
	"net/http"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/converge"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/forward"
	"github.com/hornbeamstage/hornbeamstage/hedge"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/presence"
	"github.com/hornbeamstage/hornbeamstage/quarantine"
	"github.com/hornbeamstage/hornbeamstage/release"
	"github.com/hornbeamstage/hornbeamstage/retry"
	"github.com/hornbeamstage/hornbeamstage/roster"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// watchWait is how long the store holds a watch request that has no events.
	// An instance's data counts as current as of the last response, so
	// watchWait is well below the time within which a revoked key must stop
	// working.
	watchWait = 2 * time.Second
	// recordReturnTime is how long endpoint records may be missing after the
	// store is reachable again before their endpoints are removed.
	recordReturnTime = 2 * time.Second
	// storeRateShare is the fraction of the store's request rate limits that
	// one instance may use.
	storeRateShare = 0.1
	// changeRateShare is the fraction of the store's read rate that all instances
	// together may use to follow the changes of one kind of object, and maxBatchDelay
	// bounds how much later they therefore learn of a change.
	changeRateShare = 0.05
	maxBatchDelay   = 400 * time.Millisecond
	// retryRatioShare is the fraction of the deployment's retry ratio that
	// instances use. The rest absorbs what instances don't know of each other's
	// retries.
	retryRatioShare = 0.75
	// retryBurstShare is the fraction of the deployment's retry slack (retries
	// beyond the ratio) that all instances together may use at once. The rest
	// is for instances that have just started and are not counted yet.
	retryBurstShare = 0.5
	// maxAttempts bounds the attempts of a request, including those that sent
	// nothing. The route separately bounds the attempts that are sent.
	maxAttempts = 5
	// connectTimeout bounds connecting to an endpoint. It allows many round
	// trips within a region and is well below callers' latency objectives.
	connectTimeout = 200 * time.Millisecond
	// leaseTime, leaseRenewInterval and leaseMargin apply to the one lease
	// whose holder may send orders to engines. They are short because engines have
	// to load new weights within seconds, even if the holder fails.
	leaseTime          = 3 * time.Second
	leaseRenewInterval = 900 * time.Millisecond
	leaseMargin        = time.Second
	// growDemand is the demand for one prefix, in engines, above which it gets a
	// further home endpoint. It is low because the limit is the queueing at the
	// home: engines load prefixes from each other in milliseconds.
	growDemand = 0.1
)

// longWaits has the kinds whose changes are rare, come from all instances at once and
// need not be known to be the newest. Longer waits save calls.
var longWaits = map[hbs.ObjectKind]time.Duration{quarantine.Kind: 10 * time.Second, release.KindRecord: 10 * time.Second}

// assemble builds the components in dependency order.
func (g *Gateway) assemble() {
	self := hbs.Instance{
		ID: g.PlatformSettings.Instance, Domain: g.PlatformSettings.Domain, Region: g.PlatformSettings.Region, State: hbs.InstanceLive,
		CallerAddress: g.PlatformSettings.Callers, PeerAddress: g.PlatformSettings.Callers,
	}
	g.policy = g.newPolicy()
	g.memory = memory.NewMachineBudget(memory.Machine{Bytes: g.PlatformSettings.MemoryBytes, Descriptors: g.PlatformSettings.Descriptors})
	g.memory.Observe(g.Metrics, g.Log.Named("memory"))
	g.assembleStore(self)
	g.assembleServing(self)
	g.assembleRollout(self)
}

// newPolicy returns the default knobs, overridden where the platform's bounds
// and protocol require other values.
func (g *Gateway) newPolicy() hbs.Policy {
	b := &g.PlatformSettings.Bounds
	return knob.NewFixed(g.Knobs).
		With(hedge.KnobOn, 0).
		With(attempt.KnobConnectTimeout, connectTimeout.Seconds()).
		With(retry.KnobShare, retryRatioShare*b.RetryRatio).
		WithFunc(retry.KnobBurst, g.retryBurst).
		With(retry.KnobAttempts, maxAttempts).
		With(lease.KnobDuration, leaseTime.Seconds()).
		With(lease.KnobRenew, leaseRenewInterval.Seconds()).
		With(lease.KnobMargin, leaseMargin.Seconds()).
		With(lease.KnobOrderLifetime, g.orderLifetime().Seconds())
}

// orderLifetime returns how long after an order of one instance no other one may send
// orders.
func (g *Gateway) orderLifetime() time.Duration {
	return max(g.PlatformSettings.Bounds.LeaseTime, leaseTime)
}

// assembleStore builds the store's client and the components that hold the data
// read from it.
func (g *Gateway) assembleStore(self hbs.Instance) {
	s := g.PlatformSettings
	g.store = &platform.Client{
		Address: s.Store, Network: g.Network, Timeout: callTimeout, Form: s.Form, WatchWait: watchWait, LongWaits: longWaits, BatchDelay: g.batchDelay,
		ReadsPerSecond: storeRateShare * s.ReadsPerSecond, WritesPerSecond: storeRateShare * s.WritesPerSecond,
		Policy: g.policy, Metrics: g.Metrics, Log: g.Log.Named("store"), OnRestore: g.writeAgain,
	}
	g.presence = &presence.Counter{Platform: g.store, Self: self.ID, Log: g.Log.Named("presence")}
	g.routes = &routeState{Suspended: g.Suspended}
	g.versions = &weightsVersions{
		Converge: s.Bounds.ConvergeTime, Suspended: g.Suspended, VersionWatch: g.newContact(), EngineWatch: g.newContact(),
	}
	g.directory = &roster.Directory{
		Self: self, RecoveryGrace: recordReturnTime, ChangeTimeout: converge.MaxChangeTime,
		TooOld: g.versions.tooOld, Due: g.versions.due, Barred: g.versions.barred, Rollouts: g.rollouts, Log: g.Log.Named("roster"),
	}
}

// batchDelay returns the time between a response with changes and the next request of the
// same watch. It grows with the number of instances, which all make these requests.
func (g *Gateway) batchDelay() time.Duration {
	rate := changeRateShare * g.PlatformSettings.ReadsPerSecond
	if rate <= 0 {
		return 0
	}
	return min(maxBatchDelay, time.Duration(float64(g.presence.Count())/rate*float64(time.Second)))
}

// newContact returns the contact of a watch that has not begun.
func (g *Gateway) newContact() *contact {
	return &contact{StableTime: g.PlatformSettings.Bounds.StableTime, Suspended: g.Suspended}
}

// writeAgain makes the components write again what a restored store may have lost.
func (g *Gateway) writeAgain() {
	g.presence.Wake()
	g.crashes.Rewrite()
}

// assembleServing builds the request path.
func (g *Gateway) assembleServing(self hbs.Instance) {
	g.fleet = &placement.Placer{
		Directory: g.directory, Policy: g.policy, Self: self, Network: g.Network, Metrics: g.Metrics,
		Seed: g.Seed, Log: g.Log.Named("placement"), Scope: placement.ScopeRegion, EqualWeights: true, GrowDemand: growDemand,
		Others: g.presence.Others, TransferRate: g.routes.transferRate, StoreReported: true, HasStore: func() bool { return g.routes.kvStore() != nil },
	}
	tracker := &quarantine.Tracker{
		Self: self.ID, Policy: g.policy, Metrics: g.Metrics, Log: g.Log.Named("quarantine"), Others: g.presence.Others,
	}
	g.crashes = quarantine.NewSharer(tracker, g.store, g.Log.Named("quarantine"))
	g.streams = &release.Keeper{
		Platform: g.store, Self: self.ID, Directory: g.directory, Others: g.presence.Others, ResumeTimes: g.routes.resumeTimes, ResumeTimesChanged: g.routes.tableChanged,
		Restores: g.store.Restores, Metrics: g.Metrics, Log: g.Log.Named("release"),
	}
	sender := &forward.Sender{
		Network: g.Network, Policy: g.policy, Metrics: g.Metrics,
		Memory:      g.memory,
		EventTokens: g.routes.eventTokens,
		CacheStore:  g.routes.kvStoreAddress,
		CheckStart:  g.checkStart,
		OnSignals:   g.observeSignals,
		OnMismatch: func(e *hbs.Endpoint, r *platform.ResponseInfo) {
			g.directory.SetReportedWeights(e.ID, e.Weights, r.Weights)
		},
	}
	g.dispatcher = &dispatch.Dispatcher{
		Placer: g.fleet, Directory: g.directory, Policy: g.policy, Network: g.Network,
		Metrics: g.Metrics, Log: g.Log.Named("dispatch"), Sender: sender, CountRefused: true, Crashes: tracker, Streams: g.streams,
	}
	g.handler = &handler{
		routes: g.routes, directory: g.directory, dispatcher: g.dispatcher,
		metrics: g.Metrics, log: g.Log.Named("request"), stopping: g.stopping, memory: g.memory,
	}
	g.handler.bounds.Store(&g.PlatformSettings.Bounds)
	g.handler.ended, g.handler.end = context.WithCancel(context.Background())
}

// observeSignals records what an endpoint reports of itself in its response to an attempt
// that began at began.
func (g *Gateway) observeSignals(e *hbs.Endpoint, began time.Time, s hbs.EndpointSignals) {
	if s.Leaving {
		g.directory.ReportLeaving(e)
	}
	g.fleet.ObserveSignals(e, began, s)
}

// observeHeader records what an engine reports of itself in its response to another
// call. Such a response names no limit while one holds.
func (g *Gateway) observeHeader(e *hbs.Endpoint, status int, h http.Header) {
	if status != http.StatusMisdirectedRequest && platform.DecodeSignals(status, h).Leaving {
		g.directory.ReportLeaving(e)
	}
}

// assembleRollout builds the controller that brings engines to the published
// weights versions.
func (g *Gateway) assembleRollout(self hbs.Instance) {
	// A single lease covers all engines, whichever failure domain its holder is
	// in.
	holder := self
	holder.Domain = "fleet"
	g.lease = &lease.Holder{
		Platform: g.store, Self: holder, Directory: g.directory, Restores: g.store.Restores,
		Policy: g.policy, Metrics: g.Metrics, Log: g.Log.Named("lease"),
	}
	g.controller = &converge.Controller{
		Self: self.ID, Lease: g.lease, Directory: g.directory, Network: g.Network, Metrics: g.Metrics,
		Log: g.Log.Named("converge"), OnHeader: g.observeHeader, TargetVersion: g.versions.target, Suspended: g.Suspended, AnnounceChange: g.publishTarget,
		OnWeightsReported: g.directory.SetReportedWeights, OrderLifetime: g.orderLifetime(),
		TimeLeft: g.versions.timeLeft, TakeoverTime: leaseTime + g.orderLifetime(),
	}
}

// publishTarget records in the store, for all instances, that an engine is
// being brought to a weights version.
func (g *Gateway) publishTarget(ctx context.Context, id hbs.EndpointID, version int64) error {
	status, err := platform.EncodeEndpointStatus(platform.EndpointStatus{Target: version})
	if err != nil {
		return err
	}
	return g.store.PutStatus(ctx, platform.KindEndpoints, string(id), status)
}

// retryBurst returns how many retries this instance may make at once.
func (g *Gateway) retryBurst() float64 {
	return instanceRetryBurst(g.PlatformSettings.Bounds.RetrySlack, g.presence.Count())
}

// instanceRetryBurst returns the share of the deployment's retry slack that one
// of n instances may use at once. It is at least 1, and exactly 1 while n is
// unknown (0).
func instanceRetryBurst(slack float64, n int) float64 {
	if n == 0 {
		return 1
	}
	return max(1, retryBurstShare*slack/float64(n))
}

// newWatcher returns a watcher that passes the objects of a kind to handler.
func (g *Gateway) newWatcher(kind hbs.ObjectKind, handler objectHandler) *watcher {
	return &watcher{
		platform: g.store, kind: kind, handler: handler, log: g.Log.Named("store"),
		suspended: g.Suspended, wait: max(watchWait, longWaits[kind]),
	}
}
