package placement

import (
	"net/netip"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Engines of a pool may load cached prefixes from each other. Salt and weights
// are part of what they look up, as with the store of kept KV cache, and a miss
// costs about a millisecond. So an attempt off the home of its prompt names an
// engine that is believed to have it, or else the home.

// minLoad is the least number of tokens that are loaded from another engine.
const minLoad = 64

// findSources finds the endpoints that others could load the prompt from.
func (f *Fleet) findSources(g *group) {
	g.sources = [2]*member{}
	if g.tuning.transferRate == 0 {
		return
	}
	for _, m := range g.candidates {
		m.held = m.cached
		switch {
		case m.held < minLoad:
		case g.sources[0] == nil || m.held > g.sources[0].held:
			g.sources[1], g.sources[0] = g.sources[0], m
		case g.sources[1] == nil || m.held > g.sources[1].held:
			g.sources[1] = m
		}
	}
}

// source returns the endpoint that m could load most of the prompt from, or nil.
func (g *group) source(m *member) *member {
	for _, s := range g.sources {
		if s != nil && s != m && s.rec.Weights == m.rec.Weights {
			return s
		}
	}
	return nil
}

// loadable sets how much of the prompt m would load from another engine, and the
// time for it, where that is more than from the store.
func (g *group) loadable(m *member) {
	s := g.source(m)
	if s == nil {
		return
	}
	missing := s.held - m.cached
	if missing < minLoad || missing < m.imported {
		return
	}
	m.kept, m.imported = 0, missing
	m.importTime = importBase + missing/g.tuning.transferRate
}

// loadFrom returns the engine from which an attempt at m may load.
func (f *Fleet) loadFrom(g *group, m *member, req *hbs.Request) (from netip.AddrPort) {
	if g.tuning.transferRate == 0 || len(req.Levels) == 0 || m.kept > 0 {
		// The store has more where kept is set.
		return from
	}
	if s := g.source(m); s != nil && s.held >= m.held+minLoad {
		return s.rec.Address
	}
	if m.ring == 0 || m.held >= minLoad {
		return from
	}
	for _, home := range g.homes {
		if home != m && home.rec.Weights == m.rec.Weights {
			return home.rec.Address
		}
	}
	return from
}
