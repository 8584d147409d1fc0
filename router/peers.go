package router

import (
	"math/rand/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/membership"
	"github.com/hornbeamstage/hornbeamstage/peer"
)

func (r *Router) addPeers(c *components) {
	c.peers = &peer.Server{
		Self:           c.directory.Self,
		Seeds:          r.Settings.Peers.Seeds,
		Objects:        c.objects,
		Sections:       c.sections(),
		Network:        r.Network,
		Policy:         c.config,
		Metrics:        r.Metrics,
		Log:            r.Log.Named("peer"),
		AllowPlaintext: r.Settings.TLS.AllowPlain,
		HandleAsk:      c.limiter.HandleLoanRequest,
		Memory:         c.memory,
		Rand:           rand.New(rand.NewPCG(r.Seed, randStreamPeers)),
	}
	if s := &r.Settings.TLS; s.Certificate != "" {
		c.peers.TLS = &peer.TLS{
			Instance:    r.Settings.Instance.ID,
			TrustDomain: s.TrustDomain,
			Certificate: s.Certificate,
			Key:         s.Key,
			Authority:   s.Authority,
		}
	}
}

// sections returns the sections of the digest that the instance exchanges with its
// peers.
func (c *components) sections() []hbs.Section {
	all := []hbs.Section{membership.Suspicions{Directory: c.directory}, c.work}
	all = append(all, c.limiter.Sections()...)
	all = append(all, c.dispatcher.Sections()...)
	if c.fleet != nil {
		all = append(all, c.fleet.Sections()...)
	}
	return all
}
