package engine

import (
	"context"
	"slices"
	"time"

	"github.com/hornbeamstage/hornbeamstage/delay"
)

// batch runs steps while there is work.
func (e *Engine) batch(ctx context.Context) {
	for ctx.Err() == nil {
		d, decoding := e.begin()
		if d == 0 {
			e.idle(ctx)
			continue
		}
		_ = delay.For(ctx, d)
		e.complete(decoding)
	}
}

func (e *Engine) idle(ctx context.Context) {
	select {
	case <-e.wake:
	case <-ctx.Done():
	}
}

// begin plans one step and returns its time and the streams that get a token at
// its end. The time is 0 when there is no work.
func (e *Engine) begin() (d time.Duration, decoding []*job) {
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
	for _, j := range e.byUrgency() {
		if j.left == 0 {
			streams++
			decoding = append(decoding, j)
			continue
		}
		budget -= e.prefill(j, budget, now)
		if j.left == 0 {
			decoding = append(decoding, j)
		}
	}
	e.sampleLoad(now, false)
	d = e.Shape.Step(streams, e.Shape.ChunkTokens-budget)
	return e.faults.slowed(d, now), decoding
}

func (e *Engine) byUrgency() []*job {
	sorted := slices.Clone(e.running)
	slices.SortFunc(sorted, func(a, b *job) int {
		if a.urgent(b) {
			return -1
		}
		return 1
	})
	return sorted
}

// admit fills free slots with the most urgent waiting jobs.
func (e *Engine) admit(now time.Time) {
	over := func(j *job) bool { return j.over }
	e.running = slices.DeleteFunc(e.running, over)
	e.waiting = slices.DeleteFunc(e.waiting, over)
	for len(e.running) < e.Shape.Slots && len(e.waiting) > 0 {
		first := 0
		for i, j := range e.waiting {
			if j.urgent(e.waiting[first]) {
				first = i
			}
		}
		e.load(e.waiting[first], now)
		e.running = append(e.running, e.waiting[first])
		e.waiting = slices.Delete(e.waiting, first, first+1)
	}
}

// prefill computes up to budget tokens of j's prompt and returns how many.
func (e *Engine) prefill(j *job, budget int, now time.Time) int {
	if budget <= 0 || now.Before(j.ready) {
		return 0
	}
	if j.left < 0 {
		e.start(j, now)
	}
	n := min(budget, j.left)
	j.left -= n
	if j.left == 0 {
		e.cache.Add(j.blocks, now)
		e.noteStored(j, now)
		e.keep(j, now)
	}
	return n
}

// start looks up how much of j's prompt is cached.
func (e *Engine) start(j *job, now time.Time) {
	e.cache.Add(j.loaded, now)
	hit := e.cache.Hit(j.blocks, now)
	j.run.Started = now
	j.run.CachedTokens = min(hit*BlockTokens, j.run.PromptTokens-1)
	j.left = j.run.PromptTokens - j.run.CachedTokens
}

// complete ends a step: every stream in decoding gets its next token.
func (e *Engine) complete(decoding []*job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range decoding {
		if j.over {
			continue
		}
		j.emitted++
		if j.emitted >= j.output {
			j.finish(EndComplete)
			continue
		}
		j.notify()
	}
}
