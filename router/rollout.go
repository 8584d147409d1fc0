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

// addRollout adds the lease and the rollout, which send orders to engines. Both
// need the platform.
func (r *Router) addRollout(c *components) {
	if c.platform == nil {
		return
	}
	c.lease = &lease.Holder{
		Platform:  c.platform,
		Self:      c.self,
		Directory: c.directory,
		Policy:    c.config,
		Metrics:   r.Metrics,
		Log:       r.Log.Named("lease"),
	}
	c.rollout = &weights.Rollout{
		Self:      c.self,
		Lease:     c.lease,
		Orders:    &order.Sender{Lease: c.lease, Network: r.Network, Policy: c.config, Metrics: r.Metrics},
		Directory: c.directory,
		Drainer: &weights.RecordDrainer{
			Platform:    c.platform,
			CallTimeout: time.Duration(r.Settings.Platform.Timeout),
		},
		Network:            r.Network,
		Platform:           c.platform,
		Policy:             c.config,
		Metrics:            r.Metrics,
		Log:                r.Log.Named("rollout"),
		Tracker:            c.work,
		Desired:            func() []weights.Desired { return desiredWeights(c.config.Config()) },
		MaxConcurrentLoads: func() int { return maxConcurrentLoads(c.config.Config()) },
	}
}

// handOverTimeout bounds the handover of the lease at shutdown after the last rollout
// step: a renewal, the orders in flight and the release.
const handOverTimeout = 15 * time.Second

// handOver stops the rollout and releases the lease, so that the next holder does
// not have to wait until it expires. A timeout bounds it, so that it can't block a
// shutdown.
func (r *Router) handOver(ctx context.Context, c *components) {
	if c.lease == nil {
		return
	}
	loadGrace := c.config.Duration(weights.KnobStopPatience, hbs.Scope{Domain: c.self.Domain})
	ctx, cancel := context.WithTimeout(ctx, loadGrace+handOverTimeout)
	defer cancel()
	if err := c.rollout.Stop(ctx); err != nil {
		r.Log.Warn("rollout steps still running at shutdown", zap.Error(err))
	}
	if err := c.lease.Release(ctx); err != nil {
		r.Log.Warn("lease not released, it will expire", zap.Error(err))
	}
}

// desiredWeights returns the weights version, the adapters and the standby engines
// that the configuration demands for each model.
func desiredWeights(cfg *config.Config) []weights.Desired {
	standby := make([]hbs.EndpointID, 0, len(cfg.Standbys))
	for _, s := range cfg.Standbys {
		standby = append(standby, s.Endpoint)
	}
	all := make([]weights.Desired, 0, len(cfg.Models))
	for _, m := range cfg.Models {
		all = append(all, weights.Desired{Model: m.Name, Weights: m.Weights, Adapters: m.Adapters, Standby: standby})
	}
	return all
}

// maxConcurrentLoads returns the lowest limit that any model sets, since all models
// are loaded from the same weight store. It is 1 without models.
func maxConcurrentLoads(cfg *config.Config) int {
	lowest := 1
	for i, m := range cfg.Models {
		if i == 0 || m.MaxConcurrentLoads < lowest {
			lowest = m.MaxConcurrentLoads
		}
	}
	return lowest
}
