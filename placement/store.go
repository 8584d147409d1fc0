package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Engines may share a store of KV cache. An engine that may use it loads the
// missing part of a prompt from it when the prompt's turn comes: after a spill
// or an eviction, when a home set has grown, or when the endpoint has restarted
// with an empty cache. A false belief then costs a load instead of a
// computation. The router decides which prefixes engines put into the store,
// and includes the load in the predicted times. Cache salt and weights version
// are part of the keys by which engines look prefixes up, so they never find an
// entry of another workspace or of older weights.

const (
	// storedTTL is how long a prefix is assumed to stay in the store.
	storedTTL = 5 * time.Minute
	// maxStored bounds the number of prefixes recorded as stored.
	maxStored = 32768
	// minStoredTokens is the least length of a level that is recorded as
	// stored.
	minStoredTokens = 256
	// importOverhead is the fixed part of the time of a load, in seconds.
	importOverhead = 0.01
)

// storedPrefixes records the prefixes that the shared KV cache store is assumed
// to have and until when: those that this instance had put there and those that
// SetStored reported. It is not exchanged with peers. An engine also finds what
// other instances had put there, and storing a prefix twice costs only one
// needless transfer.
type storedPrefixes map[storedKey]time.Time

// storedKey identifies a prefix and the weights that it was computed with.
type storedKey struct {
	level   hbs.LevelKey
	weights hbs.WeightsVersion
}

// longest returns the longest of the levels that is stored for these weights.
func (s storedPrefixes) longest(levels []hbs.Level, weights hbs.WeightsVersion, now time.Time) (found hbs.Level) {
	for i := len(levels) - 1; i >= 0; i-- {
		if now.Before(s[storedKey{levels[i].Key, weights}]) {
			return levels[i]
		}
	}
	return hbs.Level{}
}

func (s storedPrefixes) add(key storedKey, now time.Time) {
	if _, known := s[key]; known || len(s) < maxStored {
		s[key] = now.Add(storedTTL)
	}
}

// removeExpired removes the prefixes whose time has passed.
func (s storedPrefixes) removeExpired(now time.Time) {
	for key, until := range s {
		if now.After(until) {
			delete(s, key)
		}
	}
}

// levelsToStore returns how many levels of the prompt m is asked to put into
// the store: all but the last one, which other prompts seldom share. It returns
// 0 when that would add fewer than minStoreGain tokens to what is stored
// already.
func (p *Placer) levelsToStore(g *group, m *member, req *hbs.Request) (levels int) {
	n := len(req.Levels) - 1
	if n <= 0 || !p.usesStore(g, m) {
		return 0
	}
	prefix := req.Levels[n-1].Tokens
	if prefix < p.longestStored(g, m, req, time.Now()).Tokens+g.tuning.minStoreGain {
		return 0
	}
	if 2*m.inCache > float64(prefix) {
		// Engines put only what they compute into the store, and m has more
		// than half of the prefix cached.
		return 0
	}
	return n
}

// longestStored returns the longest prefix of the prompt that is stored for the
// weights of m. The result is cached for the decision and these weights.
func (p *Placer) longestStored(g *group, m *member, req *hbs.Request, now time.Time) hbs.Level {
	if g.storedDecision != p.decision || g.storedWeights != m.rec.Weights {
		g.stored = p.stored.longest(req.Levels, m.rec.Weights, now)
		g.storedDecision, g.storedWeights = p.decision, m.rec.Weights
	}
	return g.stored
}

// SetStored reports whether the shared KV cache store has a prefix that was
// computed with these weights.
func (p *Placer) SetStored(weights hbs.WeightsVersion, key hbs.LevelKey, present bool) {
	p.start()
	p.mu.Lock()
	defer p.mu.Unlock()
	if present {
		p.stored.add(storedKey{key, weights}, time.Now())
		return
	}
	delete(p.stored, storedKey{key, weights})
}

// ClearStored reports that the shared KV cache store is empty.
func (p *Placer) ClearStored() {
	p.start()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stored = storedPrefixes{}
}

// usesStore reports whether m can use the shared KV cache store.
func (p *Placer) usesStore(g *group, m *member) bool {
	return m.rec.Capabilities.KVTransfer && m.rec.Weights != "" && g.tuning.importRate > 1 && g.tuning.hasStore
}

// markStored records levels that an engine has computed and puts into the
// store.
func (p *Placer) markStored(levels []hbs.Level, weights hbs.WeightsVersion, now time.Time) {
	for _, l := range levels {
		key := storedKey{l.Key, weights}
		if l.Tokens < minStoredTokens || now.Before(p.stored[key]) {
			continue
		}
		p.stored.add(key, now)
	}
}

// estimateImport sets how much of the prompt m would load from the shared KV
// cache store or from another engine, and how long that takes.
func (p *Placer) estimateImport(g *group, m *member, req *hbs.Request, now time.Time) {
	m.fromStore, m.imported, m.importTime = 0, 0, 0
	if !p.usesStore(g, m) {
		g.estimateTransfer(m)
		return
	}
	if missing := float64(p.longestStored(g, m, req, now).Tokens) - m.cached; missing > 0 {
		m.fromStore = missing
		m.imported = missing * g.rates.storeYield
		m.importTime = importOverhead + missing/g.tuning.importRate
	}
	g.estimateTransfer(m)
}

// spreadCost returns the cost of computing a prefix on m outside its home set,
// in multiples of the computation. It is lower where prefixes that are evicted
// can be loaded again.
func (p *Placer) spreadCost(g *group, m *member) float64 {
	t := &g.tuning
	if t.transferRate > 0 {
		return t.storeSpreadCost
	}
	if !p.usesStore(g, m) {
		return t.spreadCost
	}
	return t.spreadCost + (t.storeSpreadCost-t.spreadCost)*g.rates.storeYield
}

// checkStoreLoad compares what was expected from the store with the engine's
// count of cached tokens. Levels that did not come are no longer recorded as
// stored, so that they are put there again.
func (p *Placer) checkStoreLoad(a *placedAttempt, cached float64) {
	if a.fromStore < minStoredTokens {
		return
	}
	a.member.group.rates.observeStoreLoad(a.believed, a.fromStore, cached)
	if cached >= a.believed+a.fromStore/2 {
		return
	}
	p.meters.loadMisses.Inc(1)
	for _, l := range a.levels {
		if float64(l.Tokens) > cached {
			delete(p.stored, storedKey{l.Key, a.weights})
		}
	}
}
