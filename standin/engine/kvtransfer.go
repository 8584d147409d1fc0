package engine

import "time"

// transfer queues the transfer of the given number of blocks between the engine
// and the shared KV store and returns when it will be complete. The caller holds
// mu.
func (e *Engine) transfer(blocks int, now time.Time) time.Time {
	if e.kvIdleAt.Before(now) {
		e.kvIdleAt = now
	}
	tokens := float64(blocks*BlockTokens) * e.KV.currentSlowdown()
	e.kvIdleAt = e.kvIdleAt.Add(time.Duration(tokens / kvTransferRate * float64(time.Second)))
	return e.kvIdleAt
}

// missing returns the number of blocks after the cached prefix of blocks.
func (e *Engine) missing(blocks []Block) int {
	n := 0
	for n < len(blocks) && e.cache.Has(blocks[n]) {
		n++
	}
	return len(blocks) - n
}

// loadPrefix starts to load from the KV store the blocks of the prompt of j that
// are not cached. The caller holds mu.
func (e *Engine) loadPrefix(j *job, now time.Time) {
	if !j.loadAllowed || e.KV == nil || !e.Capabilities.KVTransfer {
		return
	}
	blocks := e.KV.storedPrefix(j.blocks)
	missing := e.missing(blocks)
	if missing == 0 {
		return
	}
	j.loadedBlocks = blocks
	j.run.LoadedTokens = missing * BlockTokens
	j.ready = e.transfer(missing, now)
}

// storePrefix starts to write the prefix that j asks for into the KV store,
// without the blocks already stored. The caller holds mu.
func (e *Engine) storePrefix(j *job, now time.Time) {
	n := min(j.storeTokens/BlockTokens, len(j.blocks))
	if n <= 0 || e.KV == nil || !e.Capabilities.KVTransfer {
		return
	}
	blocks := j.blocks[:n]
	done := e.transfer(n-len(e.KV.storedPrefix(blocks)), now)
	time.AfterFunc(done.Sub(now), func() { e.KV.put(blocks) })
}
