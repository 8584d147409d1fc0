package placement

import (
	"net/netip"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Engines of a pool may load cached prefixes from each other. As with the
// shared KV cache store, cache salt and weights version are part of the lookup
// key, and a miss costs only about a millisecond. So an attempt outside the
// home set of its prompt names an engine that is believed to have the prompt's
// prefix cached, or else one of the home set.

// minTransferTokens is the least number of tokens loaded from another engine.
const minTransferTokens = 64

// findSources finds the candidates with the most of the prompt believed cached,
// from which others could load it.
func (p *Placer) findSources(g *group) {
	g.sources = [2]*member{}
	if g.tuning.transferRate == 0 {
		return
	}
	for _, m := range g.candidates {
		m.inCache = m.believed
		switch {
		case m.inCache < minTransferTokens:
		case g.sources[0] == nil || m.inCache > g.sources[0].inCache:
			g.sources[1], g.sources[0] = g.sources[0], m
		case g.sources[1] == nil || m.inCache > g.sources[1].inCache:
			g.sources[1] = m
		}
	}
}

// source returns the source with m's weights from which m could load most of
// the prompt, or nil.
func (g *group) source(m *member) *member {
	for _, s := range g.sources {
		if s != nil && s != m && s.rec.Weights == m.rec.Weights {
			return s
		}
	}
	return nil
}

// estimateTransfer sets how much of the prompt m would load from another
// engine, and how long that takes, when it is at least as much as from the
// store.
func (g *group) estimateTransfer(m *member) {
	s := g.source(m)
	if s == nil {
		return
	}
	missing := s.inCache - m.cached
	if missing < minTransferTokens || missing < m.imported {
		return
	}
	m.fromStore, m.imported = 0, missing
	m.importTime = importOverhead + missing/g.tuning.transferRate
}

// loadFrom returns the address of the engine that an attempt on m may load
// from.
func (p *Placer) loadFrom(g *group, m *member, req *hbs.Request) (from netip.AddrPort) {
	if g.tuning.transferRate == 0 || len(req.Levels) == 0 || m.fromStore > 0 {
		// Where fromStore is set, the store has more than any source.
		return from
	}
	if s := g.source(m); s != nil && s.inCache >= m.inCache+minTransferTokens {
		return s.rec.Address
	}
	if m.tier == 0 || m.inCache >= minTransferTokens {
		return from
	}
	for _, home := range g.homes {
		if home != m && home.rec.Weights == m.rec.Weights {
			return home.rec.Address
		}
	}
	return from
}
