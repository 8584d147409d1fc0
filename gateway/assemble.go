package gateway

import (
	"context"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/converge"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/forward"
	"github.com/hornbeamstage/hornbeamstage/hedge"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/presence"
	"github.com/hornbeamstage/hornbeamstage/retry"
	"github.com/hornbeamstage/hornbeamstage/roster"
)

const (
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
	// watchWait is how long the store holds a watch without news. An instance
	// knows that it is up to date as of the last answer, so it is well below the
	// time within which keys are revoked.
	watchWait = 2 * time.Second
	// returnTime is how long records of endpoints may be missing after the store
	// is back.
	returnTime = 2 * time.Second
	// rateShare is the part of the store's rates that one instance may use.
	rateShare = 0.1
	// retryShare is the part of the deployment's retries that are planned with.
	// The rest is for what instances can't know of each other.
	retryShare = 0.75
	// burstShare is the part of the deployment's retries beyond the ratio that the
	// instances together may make at once. The rest is for those that start and are
	// not counted yet.
	burstShare = 0.5
	// tries bounds the attempts of a request, those included that sent nothing. The
	// route bounds those that are sent.
	tries = 5
	// connectTimeout bounds a connection to an endpoint. It is many round trips
	// within a region and well below callers' objectives.
	connectTimeout = 200 * time.Millisecond
	// leaseTime, leaseRenew and leaseMargin are those of the one lease under which
	// engines get orders. They are short, as engines have to follow within seconds.
	leaseTime   = 3 * time.Second
	leaseRenew  = 900 * time.Millisecond
	leaseMargin = time.Second
	// homeLoad is the demand of one prefix, in engines, that one engine is home to.
	// Engines load prefixes from each other in milliseconds, so waiting is what
	// bounds it.
	homeLoad = 0.1
)

// assemble builds the parts in the order in which they need each other.
func (g *Gateway) assemble() {
	self := hbs.Instance{
		ID: g.Boot.Instance, Domain: g.Boot.Domain, Region: g.Boot.Region, State: hbs.InstanceLive,
		CallerAddress: g.Boot.Callers, PeerAddress: g.Boot.Callers,
	}
	g.policy = g.newPolicy()
	g.assembleStore(self)
	g.assembleServing(self)
	g.assembleRollout(self)
}

// newPolicy returns the defaults but for what the platform's bounds and ways ask.
func (g *Gateway) newPolicy() hbs.Policy {
	b := &g.Boot.Bounds
	return knob.NewFixed(g.Knobs).
		With(hedge.KnobOn, 0).
		With(attempt.KnobConnectTimeout, connectTimeout.Seconds()).
		With(retry.KnobShare, retryShare*b.RetryRatio).
		WithMoving(retry.KnobBurst, g.retryBurst).
		With(retry.KnobAttempts, tries).
		With(lease.KnobDuration, leaseTime.Seconds()).
		With(lease.KnobRenew, leaseRenew.Seconds()).
		With(lease.KnobMargin, leaseMargin.Seconds()).
		With(lease.KnobOrderLifetime, max(b.LeaseTime, leaseTime).Seconds())
}

// assembleStore builds what follows the platform's store.
func (g *Gateway) assembleStore(self hbs.Instance) {
	b := g.Boot
	g.store = &platform.Client{
		Address: b.Store, Network: g.Network, Timeout: callTimeout, Form: b.Form, WatchWait: watchWait,
		ReadsPerSecond: rateShare * b.ReadsPerSecond, WritesPerSecond: rateShare * b.WritesPerSecond,
		Policy: g.policy, Metrics: g.Metrics,
	}
	g.presence = &presence.Counter{Platform: g.store, Self: self.ID, Log: g.Log.Named("presence")}
	g.versions = &versions{Converge: b.Bounds.ConvergeTime}
	g.directory = &roster.Directory{Self: self, ReturnTime: returnTime, ChangeTime: converge.Patience, TooOld: g.versions.tooOld, Lagging: g.lagging}
	g.table = &tables{Suspended: g.Suspended}
}

// assembleServing builds the path of a request.
func (g *Gateway) assembleServing(self hbs.Instance) {
	g.fleet = &placement.Fleet{
		Directory: g.directory, Policy: g.policy, Self: self, Network: g.Network, Metrics: g.Metrics,
		Seed: g.Seed, Log: g.Log.Named("placement"), Scope: placement.ScopeRegion, EvenHomes: true, HomeLoad: homeLoad,
		Transfer: g.table.transferRate, KeptHeard: true, Keeps: func() bool { return g.table.store() != nil },
	}
	sender := &forward.Sender{
		Network: g.Network, Policy: g.policy, Metrics: g.Metrics,
		EventTokens: g.table.eventTokens,
		Store:       g.table.storeAddress,
		Misplaced:   func(e *hbs.Endpoint, a *platform.Answer) { g.directory.Misplaced(e.ID, e.Weights, a.Weights) },
	}
	g.dispatcher = &dispatch.Dispatcher{
		Placer: g.fleet, Directory: g.directory, Policy: g.policy, Network: g.Network,
		Metrics: g.Metrics, Log: g.Log.Named("dispatch"), Sender: sender, CountRefused: true,
	}
	g.handler = &handler{
		table: g.table, directory: g.directory, dispatcher: g.dispatcher,
		metrics: g.Metrics, log: g.Log.Named("request"), stopping: g.stopping,
	}
	g.handler.bounds.Store(&g.Boot.Bounds)
}

// assembleRollout builds what brings engines to the weights that are named.
func (g *Gateway) assembleRollout(self hbs.Instance) {
	// One lease serves the fleet, whatever the failure domain of its holder.
	holder := self
	holder.Domain = "fleet"
	g.lease = &lease.Keeper{
		Platform: g.store, Self: holder, Directory: g.directory, Policy: g.policy, Metrics: g.Metrics, Log: g.Log.Named("lease"),
	}
	g.controller = &converge.Controller{
		Self: self.ID, Lease: g.lease, Directory: g.directory, Network: g.Network, Metrics: g.Metrics,
		Log: g.Log.Named("converge"), Wanted: g.versions.wanted, Suspended: g.Suspended, Tell: g.tellChange,
		Loaded: g.directory.Misplaced,
	}
}

// tellChange tells all instances that an engine is being brought to a version.
func (g *Gateway) tellChange(ctx context.Context, id hbs.EndpointID, version int64) error {
	status, err := platform.EncodeServerStatus(platform.ServerStatus{Target: version})
	if err != nil {
		return err
	}
	return g.store.PutStatus(ctx, platform.KindServers, string(id), status)
}

// retryBurst returns how many retries this instance may make at once.
func (g *Gateway) retryBurst() float64 {
	return burstOf(g.Boot.Bounds.RetrySlack, g.presence.Count())
}

// burstOf returns the part of one of n instances in what the deployment bears at
// once, and one where that is less or n is not known.
func burstOf(slack float64, n int) float64 {
	if n == 0 {
		return 1
	}
	return max(1, burstShare*slack/float64(n))
}

func (g *Gateway) follower(kind hbs.ObjectKind, feed feed) *follower {
	return &follower{platform: g.store, kind: kind, feed: feed, log: g.Log.Named("store")}
}
