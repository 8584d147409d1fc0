package router

import (
	"math/rand/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/membership"
	"github.com/hornbeamstage/hornbeamstage/peer"
)

func (r *Router) addPeers(p *parts) {
	p.peers = &peer.Server{
		Self:       p.directory.Self,
		Seeds:      r.Settings.Peers.Seeds,
		Objects:    p.objects,
		Sections:   p.sections(),
		Network:    r.Network,
		Policy:     p.config,
		Metrics:    r.Metrics,
		Log:        r.Log.Named("peer"),
		AllowPlain: r.Settings.TLS.AllowPlain,
		Answer:     p.limiter.Answer,
		Rand:       rand.New(rand.NewPCG(r.Seed, streamPeers)),
	}
	if s := &r.Settings.TLS; s.Certificate != "" {
		p.peers.TLS = &peer.TLS{
			Instance:    r.Settings.Instance.ID,
			TrustDomain: s.TrustDomain,
			Certificate: s.Certificate,
			Key:         s.Key,
			Authority:   s.Authority,
		}
	}
}

// sections lists what the instance exchanges with its peers.
func (p *parts) sections() []hbs.Section {
	all := []hbs.Section{membership.Suspicions{Directory: p.directory}, p.work}
	all = append(all, p.limiter.Sections()...)
	all = append(all, p.dispatcher.Sections()...)
	if p.fleet != nil {
		all = append(all, p.fleet.Sections()...)
	}
	return all
}
