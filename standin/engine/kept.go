package engine

import "time"

// transfer books so many blocks on the engine's connection to the store and
// returns when they have moved. It is called with mu held.
func (e *Engine) transfer(blocks int, now time.Time) time.Time {
	if e.kvFree.Before(now) {
		e.kvFree = now
	}
	tokens := float64(blocks*BlockTokens) * e.KV.slowed()
	e.kvFree = e.kvFree.Add(time.Duration(tokens / kvRate * float64(time.Second)))
	return e.kvFree
}

// lacking returns how many of blocks are not cached.
func (e *Engine) lacking(blocks []Block) int {
	n := 0
	for n < len(blocks) && e.cache.Has(blocks[n]) {
		n++
	}
	return len(blocks) - n
}

// load begins to load what the engine lacks of j's prompt. It is called with mu
// held.
func (e *Engine) load(j *job, now time.Time) {
	if !j.kept || e.KV == nil || !e.Capabilities.KVTransfer {
		return
	}
	blocks := e.KV.longest(j.blocks)
	lacking := e.lacking(blocks)
	if lacking == 0 {
		return
	}
	j.loaded = blocks
	j.run.LoadedTokens = lacking * BlockTokens
	j.ready = e.transfer(lacking, now)
}

// keep begins to put the prefix that j asks for into the store, but for what is
// there. It is called with mu held.
func (e *Engine) keep(j *job, now time.Time) {
	n := min(j.keep/BlockTokens, len(j.blocks))
	if n <= 0 || e.KV == nil || !e.Capabilities.KVTransfer {
		return
	}
	blocks := j.blocks[:n]
	done := e.transfer(n-len(e.KV.longest(blocks)), now)
	time.AfterFunc(done.Sub(now), func() { e.KV.put(blocks) })
}
