package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/order"
	"github.com/hornbeamstage/hornbeamstage/weights"
)

// addOrders adds what gives orders to engines, which needs the platform.
func (r *Router) addOrders(p *parts) {
	if p.platform == nil {
		return
	}
	p.lease = &lease.Keeper{
		Platform:  p.platform,
		Self:      p.self,
		Directory: p.directory,
		Policy:    p.config,
		Metrics:   r.Metrics,
		Log:       r.Log.Named("lease"),
	}
	p.rollout = &weights.Rollout{
		Self:      p.self,
		Lease:     p.lease,
		Orders:    &order.Giver{Lease: p.lease, Network: r.Network, Policy: p.config, Metrics: r.Metrics},
		Directory: p.directory,
		Drainer: &weights.Records{
			Platform:    p.platform,
			CallTimeout: time.Duration(r.Settings.Platform.Timeout),
		},
		Network:     r.Network,
		Platform:    p.platform,
		Policy:      p.config,
		Metrics:     r.Metrics,
		Log:         r.Log.Named("rollout"),
		Work:        p.work,
		Wanted:      func() []weights.Wanted { return wanted(p.config.Config()) },
		LoadsAtOnce: func() int { return loadsAtOnce(p.config.Config()) },
	}
}

// handOverTime bounds what a stopping instance does for the next holder of its
// lease after its last step: a renewal, orders under way, the release.
const handOverTime = 15 * time.Second

// handOver ends the orders of this instance and releases its lease, so that the
// next holder need not wait for the lapse. It never blocks a stop for long.
func (r *Router) handOver(ctx context.Context, p *parts) {
	if p.lease == nil {
		return
	}
	patience := p.config.Duration(weights.KnobStopPatience, hbs.Scope{Domain: p.self.Domain})
	ctx, cancel := context.WithTimeout(ctx, patience+handOverTime)
	defer cancel()
	if err := p.rollout.Stop(ctx); err != nil {
		r.Log.Warn("steps of a rollout go on", zap.Error(err))
	}
	if err := p.lease.Release(ctx); err != nil {
		r.Log.Warn("lease not released, it lapses", zap.Error(err))
	}
}

func wanted(cfg *config.Config) []weights.Wanted {
	standby := make([]hbs.EndpointID, 0, len(cfg.Standbys))
	for _, s := range cfg.Standbys {
		standby = append(standby, s.Endpoint)
	}
	all := make([]weights.Wanted, 0, len(cfg.Models))
	for _, m := range cfg.Models {
		all = append(all, weights.Wanted{Model: m.Name, Weights: m.Weights, Adapters: m.Adapters, Standby: standby})
	}
	return all
}

// loadsAtOnce is the least that any model states, since all load from the one
// weight store.
func loadsAtOnce(cfg *config.Config) int {
	least := 1
	for i, m := range cfg.Models {
		if i == 0 || m.LoadsAtOnce < least {
			least = m.LoadsAtOnce
		}
	}
	return least
}
