package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// SmallGroup is the number of endpoints up to which all are priced, and
// sampleSize the number of others that are priced in a larger group.
const (
	SmallGroup = 32
	sampleSize = 12
)

// rings is the number of rings around a set: those that the set would take in
// with twice and four times its size, and the rest.
const rings = 3

// anywhere is the scope of last resort: endpoints of other regions too.
const anywhere Scope = "anywhere"

// maxEligible bounds the lists of eligible endpoints that a group keeps.
const maxEligible = 64

// eligibleKey names the endpoints that serve one kind of request.
type eligibleKey struct {
	scope   Scope
	adapter hbs.AdapterName
	weights hbs.WeightsVersion
}

// eligible returns the endpoints of the scope that may serve the request as far
// as their records tell. The list is kept until the roster changes.
func (f *Fleet) eligible(g *group, scope Scope, req *hbs.Request) []*member {
	key := eligibleKey{scope, req.Adapter, req.Weights}
	if list, ok := g.eligible[key]; ok {
		return list
	}
	var list []*member
	for _, m := range g.members {
		if serves(&m.rec, req) && f.within(m, scope) {
			list = append(list, m)
		}
	}
	if g.eligible == nil || len(g.eligible) >= maxEligible {
		g.eligible = map[eligibleKey][]*member{}
	}
	g.eligible[key] = list
	return list
}

func (f *Fleet) within(m *member, scope Scope) bool {
	switch {
	case scope == anywhere:
		return true
	case m.rec.Region != f.Self.Region:
		return false
	case scope == ScopeDomain:
		return m.domain.name == f.Self.Domain || !m.domain.staffed
	}
	return true
}

// begin starts a decision without candidates.
func (f *Fleet) begin(g *group) {
	f.seen++
	g.candidates = g.candidates[:0]
}

// touch makes m a candidate of the decision.
func (f *Fleet) touch(g *group, m *member) {
	if m.seen == f.seen {
		return
	}
	m.seen = f.seen
	m.cached, m.found, m.home, m.ring = 0, 0, 0, rings
	g.candidates = append(g.candidates, m)
}

// sample adds endpoints without beliefs and off the sets (rule 4 of Fleet).
func (f *Fleet) sample(g *group, list []*member) {
	if len(list) <= SmallGroup {
		for _, m := range list {
			f.touch(g, m)
		}
		return
	}
	for range sampleSize {
		f.touch(g, list[f.rnd.IntN(len(list))])
	}
}

// believe estimates how much of the prompt endpoints have cached (rule 3 of
// Fleet).
func (f *Fleet) believe(g *group, scope Scope, req *hbs.Request, now time.Time) {
	for i := len(req.Levels) - 1; i >= 0; i-- {
		level := &req.Levels[i]
		f.found = f.table.Find(level.Key, now, f.found[:0])
		for _, h := range f.found {
			m := f.byLife[h.Life]
			if m == nil || m.group != g || !serves(&m.rec, req) || !f.within(m, scope) {
				continue
			}
			f.touch(g, m)
			// A deeper level that is cached implies this one, so only a better
			// chance adds anything.
			if c := m.chance(h.Idle, now); c > m.found {
				m.cached += float64(level.Tokens) * (c - m.found)
				m.found = c
			}
		}
	}
}

// homes finds for each endpoint the longest prefix in whose set it is (rules 1
// and 2 of Fleet).
func (f *Fleet) homes(g *group, scope Scope, list []*member, req *hbs.Request, now time.Time) {
	g.shared = 0
	g.homes = nil
	if len(req.Levels) == 0 || len(list) == 0 {
		return
	}
	g.set = append(g.set[:0], list...)
	set := g.set
	if scope == ScopeHome {
		set = f.homeDomain(set, req.Levels[0], now)
	}
	if n := f.heat.Known(req.Levels); n > 0 {
		g.shared = float64(req.Levels[n-1].Tokens)
	}
	f.sizes = f.heat.Sizes(req.Levels, now, f.sizes[:0])
	covered := 0
	for i, level := range req.Levels {
		if i >= g.narrowing(req) && f.sizes[i] < len(set) {
			set = f.exclude(g, set, level.Key, f.sizes[i], covered)
		}
		covered = level.Tokens
	}
	f.setHome(g, set, req.PromptTokens)
	g.homes = set
}

// narrowing returns the first level that narrows the set. Where engines load
// prefixes from each other in milliseconds it is the last one that is shared:
// a few first levels with most prompts below them would make a few engines the
// home of all, however little of the demand an instance sees.
func (g *group) narrowing(req *hbs.Request) int {
	if g.tuning.transferRate == 0 {
		return 0
	}
	return max(0, len(req.Levels)-2)
}

// exclude narrows set to n endpoints by key. Those left out are at home up to
// the covered tokens. They are ranked, so that what spills from all instances
// goes to the same few endpoints (rule 1 of Fleet).
func (f *Fleet) exclude(g *group, set []*member, key hbs.LevelKey, n, covered int) []*member {
	for _, m := range set {
		m.weight = m.balance.weight(mix(uint64(key) ^ m.hash))
	}
	for ring := rings; ring > 0; ring-- {
		size := n << (ring - 1)
		if size >= len(set) {
			continue
		}
		first(set, size)
		// Endpoints of the outermost ring are candidates only by chance or by
		// belief, so that a large group costs no more.
		for _, m := range set[size:] {
			if ring == rings && covered == 0 && len(g.members) > SmallGroup {
				continue
			}
			f.touch(g, m)
			m.home, m.ring = covered, ring
		}
		set = set[:size]
	}
	return set
}

func (f *Fleet) setHome(g *group, set []*member, tokens int) {
	for _, m := range set {
		f.touch(g, m)
		m.home, m.ring = tokens, 0
	}
}

// homeDomain keeps the endpoints of the level's home domain, or of as many
// domains as its demand needs.
func (f *Fleet) homeDomain(set []*member, level hbs.Level, now time.Time) []*member {
	need := f.heat.Sizes([]hbs.Level{level}, now, f.sizes[:0])[0]
	kept := set[:0]
	for len(kept) < need && len(kept) < len(set) {
		best := bestDomain(set[len(kept):], level.Key)
		// Move the members of the best domain to the front.
		for i := len(kept); i < len(set); i++ {
			if set[i].domain == best {
				n := len(kept)
				set[n], set[i] = set[i], set[n]
				kept = set[:n+1]
			}
		}
	}
	return kept
}

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

// first moves the n members with the largest weights to the front of set.
func first(set []*member, n int) {
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

// partition orders part so that members before the returned index weigh more
// than the rest; the index is between 1 and len(part)-1.
func partition(part []*member) int {
	pivot := part[len(part)/2].weight
	i, j := 0, len(part)-1
	for {
		for part[i].weight > pivot {
			i++
		}
		for part[j].weight < pivot {
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
