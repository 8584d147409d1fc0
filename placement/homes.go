package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// assignHomes finds for each endpoint the longest prefix of the prompt whose
// home set it is in (rules 1 and 2 of Placer).
func (p *Placer) assignHomes(g *group, scope Scope, list []*member, req *hbs.Request, now time.Time) {
	g.sharedTokens = 0
	g.homes = nil
	if len(req.Levels) == 0 || len(list) == 0 {
		return
	}
	g.set = append(g.set[:0], list...)
	set := g.set
	if scope == ScopeHome {
		set = p.selectHomeDomains(set, req.Levels[0], now)
	}
	if n := p.heat.KnownLevels(req.Levels); n > 0 {
		g.sharedTokens = float64(req.Levels[n-1].Tokens)
	}
	p.sizes = p.heat.Sizes(req.Levels, now, p.sizes[:0])
	prefixTokens := 0
	for i, level := range req.Levels {
		if i >= g.firstNarrowingLevel(req) && p.sizes[i] < len(set) {
			set = p.narrow(g, set, level.Key, p.sizes[i], prefixTokens)
		}
		prefixTokens = level.Tokens
	}
	p.setHome(g, set, req.PromptTokens)
	g.homes = set
}

// firstNarrowingLevel returns the index of the first level that narrows the
// home set. Where engines load prefixes from each other, which takes
// milliseconds, that is the last level that prompts share. If a few first
// levels with most prompts below them narrowed the set there, a few engines
// would be home to all of these prompts, since each instance sees only a small
// part of the demand.
func (g *group) firstNarrowingLevel(req *hbs.Request) int {
	if g.tuning.transferRate == 0 {
		return 0
	}
	return max(0, len(req.Levels)-2)
}

// narrow reduces set to n endpoints by the key of a level. Those left out are
// home to the first prefixTokens tokens only. They are ranked in tiers, so that
// the prompts that spill over from all instances go to the same few endpoints
// (rule 1 of Placer).
func (p *Placer) narrow(g *group, set []*member, key hbs.LevelKey, n, prefixTokens int) []*member {
	for _, m := range set {
		m.rank = m.balance.rank(mix(uint64(key) ^ m.hash))
	}
	for tier := outerTiers; tier > 0; tier-- {
		size := n << (tier - 1)
		if size >= len(set) {
			continue
		}
		moveHighestFirst(set, size)
		// Endpoints of the outermost tier are candidates only through sampling
		// or beliefs, so that a decision does not cost more in a large group.
		for _, m := range set[size:] {
			if tier == outerTiers && prefixTokens == 0 && len(g.members) > SmallGroup {
				continue
			}
			p.addCandidate(g, m)
			m.homeTokens, m.tier = prefixTokens, tier
		}
		set = set[:size]
	}
	return set
}

// setHome makes the endpoints of set home to the whole prompt.
func (p *Placer) setHome(g *group, set []*member, tokens int) {
	for _, m := range set {
		p.addCandidate(g, m)
		m.homeTokens, m.tier = tokens, 0
	}
}

// selectHomeDomains returns the endpoints of the level's home domain, or of as
// many domains as its demand needs.
func (p *Placer) selectHomeDomains(set []*member, level hbs.Level, now time.Time) []*member {
	needed := p.heat.Sizes([]hbs.Level{level}, now, p.sizes[:0])[0]
	selected := set[:0]
	for len(selected) < needed && len(selected) < len(set) {
		best := bestDomain(set[len(selected):], level.Key)
		// Move the members of the best domain to the front.
		for i := len(selected); i < len(set); i++ {
			if set[i].domain == best {
				n := len(selected)
				set[n], set[i] = set[i], set[n]
				selected = set[:n+1]
			}
		}
	}
	return selected
}

// bestDomain returns the domain of set that comes first in rendezvous hashing
// of key.
func bestDomain(set []*member, key hbs.LevelKey) *domain {
	var best *domain
	var bestWeight uint64
	for _, m := range set {
		w := mix(uint64(key) ^ m.domain.hash)
		if best == nil || w > bestWeight {
			best, bestWeight = m.domain, w
		}
	}
	return best
}

// moveHighestFirst moves the n members with the highest ranks to the front of
// set by quickselect.
func moveHighestFirst(set []*member, n int) {
	lo, hi := 0, len(set)
	for hi-lo > 1 {
		split := partition(set[lo:hi]) + lo
		switch {
		case split == n:
			return
		case split < n:
			lo = max(split, lo+1)
		default:
			hi = split
		}
	}
}

// partition reorders part so that no member before the returned index ranks
// lower than any after it. The index is between 1 and len(part)-1.
func partition(part []*member) int {
	pivot := part[len(part)/2].rank
	i, j := 0, len(part)-1
	for {
		for part[i].rank > pivot {
			i++
		}
		for part[j].rank < pivot {
			j--
		}
		if i >= j {
			return max(1, i)
		}
		part[i], part[j] = part[j], part[i]
		i++
		j--
	}
}
