package engine

import (
	"context"
	"slices"
	"time"

	"github.com/hornbeamstage/hornbeamstage/delay"
)

// runSteps executes steps of the batch until ctx ends and waits while there is no
// work.
func (e *Engine) runSteps(ctx context.Context) {
	for ctx.Err() == nil {
		d, decoding := e.beginStep()
		if d == 0 {
			e.waitForWork(ctx)
			continue
		}
		_ = delay.For(ctx, d)
		e.completeStep(decoding)
	}
}

func (e *Engine) waitForWork(ctx context.Context) {
	select {
	case <-e.wake:
	case <-ctx.Done():
	}
}

// beginStep plans one step and returns its duration and the jobs that get a token
// at its end. The duration is 0 when there is no work.
func (e *Engine) beginStep() (d time.Duration, decoding []*job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.admit(now)
	if len(e.running) == 0 {
		e.sampleLoad(now, true)
		return 0, nil
	}
	streams := 0
	budget := e.Shape.ChunkTokens
	for _, j := range e.byPriority() {
		if j.promptLeft == 0 {
			streams++
			decoding = append(decoding, j)
			continue
		}
		budget -= e.prefill(j, budget, now)
		if j.promptLeft == 0 {
			decoding = append(decoding, j)
		}
	}
	e.sampleLoad(now, false)
	d = e.Shape.Step(streams, e.Shape.ChunkTokens-budget)
	return e.faults.slowed(d, now), decoding
}

func (e *Engine) byPriority() []*job {
	sorted := slices.Clone(e.running)
	slices.SortFunc(sorted, func(a, b *job) int {
		if a.precedes(b) {
			return -1
		}
		return 1
	})
	return sorted
}

// admit removes ended jobs and fills free slots with the waiting jobs of the
// highest priority.
func (e *Engine) admit(now time.Time) {
	ended := func(j *job) bool { return j.ended }
	e.running = slices.DeleteFunc(e.running, ended)
	e.waiting = slices.DeleteFunc(e.waiting, ended)
	for len(e.running) < e.Shape.Slots && len(e.waiting) > 0 {
		first := 0
		for i, j := range e.waiting {
			if j.precedes(e.waiting[first]) {
				first = i
			}
		}
		e.loadPrefix(e.waiting[first], now)
		e.running = append(e.running, e.waiting[first])
		e.waiting = slices.Delete(e.waiting, first, first+1)
	}
}

// prefill computes up to budget tokens of the prompt of j and returns how many it
// computed.
func (e *Engine) prefill(j *job, budget int, now time.Time) int {
	if budget <= 0 || now.Before(j.ready) {
		return 0
	}
	if j.promptLeft < 0 {
		e.startPrefill(j, now)
	}
	n := min(budget, j.promptLeft)
	j.promptLeft -= n
	if j.promptLeft == 0 {
		e.cache.Add(j.blocks, now)
		e.publishStored(j, now)
		e.storePrefix(j, now)
	}
	return n
}

// startPrefill looks up how much of the prompt of j is cached.
func (e *Engine) startPrefill(j *job, now time.Time) {
	e.cache.Add(j.loadedBlocks, now)
	hit := e.cache.Hit(j.blocks, now)
	j.run.Started = now
	j.run.CachedTokens = min(hit*BlockTokens, j.run.PromptTokens-1)
	j.promptLeft = j.run.PromptTokens - j.run.CachedTokens
}

// completeStep adds the next token to each job in decoding.
func (e *Engine) completeStep(decoding []*job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range decoding {
		if j.ended {
			continue
		}
		j.emitted++
		if j.emitted >= j.output {
			j.finish(EndComplete)
			continue
		}
		j.changed.Send()
	}
}
