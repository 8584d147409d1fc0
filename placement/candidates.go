package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// SmallGroup is the number of endpoints up to which the cost of all of them is
// computed. In a larger group sampleSize endpoints are drawn besides those of
// the home sets and those with beliefs.
const (
	SmallGroup = 32
	sampleSize = 12
)

// outerTiers is the number of tiers outside a home set: the endpoints that
// would be in it at twice its size, those at four times its size, and the rest.
const outerTiers = 3

// scopeAnywhere is the scope of last resort. It includes other regions.
const scopeAnywhere Scope = "anywhere"

// maxEligibleLists bounds the lists of eligible endpoints that a group caches.
const maxEligibleLists = 64

// eligibleKey identifies a cached list of endpoints by what requests need of
// them.
type eligibleKey struct {
	scope    Scope
	adapter  hbs.AdapterName
	weights  hbs.WeightsVersion
	software hbs.SoftwareVersion
}

// eligible returns the endpoints of the scope that may serve the request
// according to the roster. The list is cached until the roster changes.
func (p *Placer) eligible(g *group, scope Scope, req *hbs.Request) []*member {
	key := eligibleKey{scope, req.Adapter, req.Weights, req.Software}
	if list, ok := g.eligible[key]; ok {
		return list
	}
	var list []*member
	for _, m := range g.members {
		if serves(&m.rec, req) && p.inScope(m, scope) {
			list = append(list, m)
		}
	}
	if g.eligible == nil || len(g.eligible) >= maxEligibleLists {
		g.eligible = map[eligibleKey][]*member{}
	}
	g.eligible[key] = list
	return list
}

// inScope reports whether m belongs to the scope. ScopeDomain includes domains
// without live instances, which no other instance would use.
func (p *Placer) inScope(m *member, scope Scope) bool {
	switch {
	case scope == scopeAnywhere:
		return true
	case m.rec.Region != p.Self.Region:
		return false
	case scope == ScopeDomain:
		return m.domain.name == p.Self.Domain || !m.domain.hasInstances
	}
	return true
}

// resetCandidates starts a decision with no candidates.
func (p *Placer) resetCandidates(g *group) {
	p.decision++
	g.candidates = g.candidates[:0]
}

// addCandidate makes m a candidate of the current decision.
func (p *Placer) addCandidate(g *group, m *member) {
	if m.decision == p.decision {
		return
	}
	m.decision = p.decision
	m.believed, m.probability, m.homeTokens, m.tier = 0, 0, 0, outerTiers
	m.inCache, m.fromStore, m.imported, m.importTime = 0, 0, 0, 0
	g.candidates = append(g.candidates, m)
}

// sample adds endpoints that have no beliefs and are outside the home sets
// (rule 5 of Placer): a random sample in large groups, all of them in small
// ones.
func (p *Placer) sample(g *group, list []*member) {
	if len(list) <= SmallGroup {
		for _, m := range list {
			p.addCandidate(g, m)
		}
		return
	}
	for range sampleSize {
		p.addCandidate(g, list[p.rnd.IntN(len(list))])
	}
}

// estimateCached estimates how many tokens of the prompt each endpoint has
// cached (rule 3 of Placer).
func (p *Placer) estimateCached(g *group, scope Scope, req *hbs.Request, now time.Time) {
	for i := len(req.Levels) - 1; i >= 0; i-- {
		level := &req.Levels[i]
		p.entries = p.table.Find(level.Key, now, p.entries[:0])
		for _, e := range p.entries {
			m := p.byGeneration[e.Generation]
			if m == nil || m.group != g || !serves(&m.rec, req) || !p.inScope(m, scope) {
				continue
			}
			p.addCandidate(g, m)
			// An endpoint that has a deeper level cached has this one too, so
			// this level adds only as much as its probability is higher.
			if probability := m.cachedProbability(e.Idle, now); probability > m.probability {
				m.believed += float64(level.Tokens) * (probability - m.probability)
				m.probability = probability
			}
		}
	}
}
