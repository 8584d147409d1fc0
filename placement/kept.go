package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Engines of a deployment share a store of kept KV cache. An engine that may use
// it loads what it lacks of a prompt when the prompt's turn comes: after a spill
// or an eviction, when a set grows, when an endpoint comes back empty. So a
// belief that proves wrong costs a load and not a computation. The router decides
// which prefixes are put there and counts on the load where it weighs endpoints.
// Salt and weights are part of what engines look up, so no entry of another
// workspace or of older weights is found.

const (
	// keptTTL is how long a prefix counts as kept after it was put there.
	keptTTL = 5 * time.Minute
	// maxKept bounds the prefixes known as kept.
	maxKept = 32768
	// minKept is the least length of a level that is remembered as kept, in tokens.
	minKept = 256
	// importBase is the time of a load beside its tokens, in seconds.
	importBase = 0.01
)

// kept is what this instance had put into the store of kept KV cache. Peers are
// not told: an engine finds what they had put there all the same, and what an
// instance puts there twice is moved once. The value is the time until which a
// prefix counts as kept.
type kept map[keptKey]time.Time

// keptKey names a prefix and the weights that made it.
type keptKey struct {
	level   hbs.LevelKey
	weights hbs.WeightsVersion
}

// longest returns the longest of the levels that is kept for these weights.
func (k kept) longest(levels []hbs.Level, weights hbs.WeightsVersion, now time.Time) (found hbs.Level) {
	for i := len(levels) - 1; i >= 0; i-- {
		if now.Before(k[keptKey{levels[i].Key, weights}]) {
			return levels[i]
		}
	}
	return hbs.Level{}
}

func (k kept) add(key keptKey, now time.Time) {
	if len(k) < maxKept {
		k[key] = now.Add(keptTTL)
	}
}

// tidy forgets what is too old.
func (k kept) tidy(now time.Time) {
	for key, until := range k {
		if now.After(until) {
			delete(k, key)
		}
	}
}

// keep returns how many levels of the prompt are to be put into the store on m:
// all but the last one, which other prompts seldom share, unless they are kept
// already but for a few tokens.
func (f *Fleet) keep(g *group, m *member, req *hbs.Request) (levels int) {
	n := len(req.Levels) - 1
	if n <= 0 || !f.usesStore(g, m) {
		return 0
	}
	shared := req.Levels[n-1].Tokens
	if shared < f.keptFor(g, m, req, time.Now()).Tokens+g.tuning.keepGain {
		return 0
	}
	if 2*m.held > float64(shared) {
		// What the engine has it does not compute, and it puts only what it computes
		// into the store.
		return 0
	}
	return n
}

// keptFor returns the longest prefix of the prompt that is kept for the weights
// of m.
func (f *Fleet) keptFor(g *group, m *member, req *hbs.Request, now time.Time) hbs.Level {
	if g.keptSeen != f.seen || g.keptWeights != m.rec.Weights {
		g.kept = f.kept.longest(req.Levels, m.rec.Weights, now)
		g.keptSeen, g.keptWeights = f.seen, m.rec.Weights
	}
	return g.kept
}

// TakeKept takes word of the store of kept KV cache: whether it has a prefix that
// these weights made.
func (f *Fleet) TakeKept(weights hbs.WeightsVersion, key hbs.LevelKey, there bool) {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	if there {
		f.kept.add(keptKey{key, weights}, time.Now())
		return
	}
	delete(f.kept, keptKey{key, weights})
}

// TakeKeptCleared takes word that the store of kept KV cache is empty.
func (f *Fleet) TakeKeptCleared() {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kept = kept{}
}

// usesStore tells whether m may use the store of kept KV cache.
func (f *Fleet) usesStore(g *group, m *member) bool {
	return m.rec.Capabilities.KVTransfer && m.rec.Weights != "" && g.tuning.importRate > 1 && g.tuning.keeps
}

// keeping takes the levels that an engine has computed and puts into the store.
func (f *Fleet) keeping(levels []hbs.Level, weights hbs.WeightsVersion, now time.Time) {
	for _, l := range levels {
		key := keptKey{l.Key, weights}
		if l.Tokens < minKept || now.Before(f.kept[key]) {
			continue
		}
		f.kept.add(key, now)
	}
}

// importable sets how much of the prompt m would load from the store of kept KV
// cache or from another engine, and the time for it.
func (f *Fleet) importable(g *group, m *member, req *hbs.Request, now time.Time) {
	m.kept, m.imported, m.importTime = 0, 0, 0
	if !f.usesStore(g, m) {
		g.loadable(m)
		return
	}
	if missing := float64(f.keptFor(g, m, req, now).Tokens) - m.cached; missing > 0 {
		m.kept = missing
		m.imported = missing * g.rates.store
		m.importTime = importBase + missing/g.tuning.importRate
	}
	g.loadable(m)
}

// spreadCost returns the cost of computing a prefix outside its set on m. Where
// prefixes that lose their place in a cache are loaded again, it is lower.
func (f *Fleet) spreadCost(g *group, m *member) float64 {
	t := &g.tuning
	if t.transferRate > 0 {
		return t.keptSpreadCost
	}
	if !f.usesStore(g, m) {
		return t.spreadCost
	}
	return t.spreadCost + (t.keptSpreadCost-t.spreadCost)*g.rates.store
}

// loaded compares what was expected from the store with the engine's count. What
// did not come counts as kept no longer, so that it is put there again.
func (f *Fleet) loaded(b *booking, cached float64) {
	if b.kept < minKept {
		return
	}
	b.member.group.rates.loaded(b.believed, b.kept, cached)
	if cached >= b.believed+b.kept/2 {
		return
	}
	f.meters.loadMisses.Inc(1)
	for _, l := range b.levels {
		if float64(l.Tokens) > cached {
			delete(f.kept, keptKey{l.Key, b.weights})
		}
	}
}
