package placement

import (
	"strconv"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/belief"
	"github.com/hornbeamstage/hornbeamstage/load"
	"github.com/hornbeamstage/hornbeamstage/straggler"
)

// placedAttempt is the record of one attempt from Place to Finish.
type placedAttempt struct {
	load   load.Attempt
	member *member
	// generation is the endpoint's cache generation when the attempt was
	// placed.
	generation belief.Generation
	weights    hbs.WeightsVersion
	levels     []hbs.Level
	// prompt is the length of the prompt in tokens.
	prompt int
	// storeLevels are the levels that the engine was asked to put into the
	// shared KV cache store.
	storeLevels []hbs.Level
	// queuedTokens is the number of tokens to compute on the endpoint before
	// the prompt, cached the number of the prompt's tokens expected to be
	// cached.
	queuedTokens, cached float64
	// believed is cached without the homeCredit of rates and without what was
	// to be loaded from the store or another engine.
	believed float64
	// home reports whether the endpoint is in the home set of the whole prompt.
	home bool
	// fromStore is how many tokens, beyond those cached on the endpoint, were
	// expected from the shared KV cache store.
	fromStore float64
	slowness  float64
	// lastPrefill is the number of prompt tokens that the endpoint had to
	// compute at the last call of ObserveMinGap for this attempt.
	lastPrefill float64
	// idle is the time since the last use of the deepest level believed
	// cached; 0 when there was none.
	idle time.Duration
}

func (f *Placer) attemptID() hbs.AttemptID {
	return hbs.AttemptID(f.idPrefix + strconv.FormatUint(f.attempts, 36))
}

// idleTime returns the time since the last use of the deepest level believed
// cached on m, 0 when there is none.
func (f *Placer) idleTime(m *member, levels []hbs.Level, now time.Time) time.Duration {
	if m.believed == 0 {
		return 0
	}
	for i := len(levels) - 1; i >= 0; i-- {
		f.entries = f.table.Find(levels[i].Key, now, f.entries[:0])
		for _, e := range f.entries {
			if e.Generation == m.generation {
				return e.Idle
			}
		}
	}
	return 0
}

// FirstToken implements hornbeamstage.Placer.
func (f *Placer) FirstToken(p *hbs.Placement, after time.Duration, cached int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.placedAttempts[p.Attempt]
	if b == nil {
		return
	}
	now := time.Now()
	b.member.ledger.Prefilled(&b.load, now)
	b.member.recordSuccess()
	f.markStored(b.storeLevels, b.weights, now)
	if cached < 0 {
		f.scoreUnknownHit(b, after, now)
	}
}

// ObserveMinGap implements hornbeamstage.Placer. While the endpoint computes long
// prompts all gaps of a stream are long and show nothing of its speed, so they
// are ignored.
func (f *Placer) ObserveMinGap(p *hbs.Placement, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.currentAttempt(p)
	if b == nil {
		return
	}
	now := time.Now()
	rates := &b.member.group.rates
	prefill := b.member.ledger.Total(now, 1/rates.perToken).Prefill
	concurrent := max(prefill, b.lastPrefill)
	b.lastPrefill = prefill
	if concurrent > longPrefillTokens {
		return
	}
	b.member.score.ObserveStream(gap.Seconds()/rates.minGap, now)
	rates.observeMinGap(gap)
}

// currentAttempt returns the record of an attempt, or nil when it has ended or
// the endpoint has a new cache generation since.
func (f *Placer) currentAttempt(p *hbs.Placement) *placedAttempt {
	b := f.placedAttempts[p.Attempt]
	if b == nil || b.generation != b.member.generation {
		return nil
	}
	return b
}

// Slowness implements hornbeamstage.Placer.
func (f *Placer) Slowness(p *hbs.Placement) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.placedAttempts[p.Attempt]; b != nil {
		return b.member.score.Slowness()
	}
	return 1
}

// scoreUnknownHit scores a first token when the number of cached tokens is not
// known yet. It counts against the endpoint only when it is slow even for a
// prompt with nothing cached.
func (f *Placer) scoreUnknownHit(b *placedAttempt, after time.Duration, now time.Time) {
	r := straggler.Ratio(after, f.predictFirstToken(b, 0))
	if r > 1 && b.generation == b.member.generation {
		b.member.score.Observe(r, now)
	}
}

// predictFirstToken returns the time to the first token of b on an endpoint of
// normal speed that has the given number of tokens cached.
func (f *Placer) predictFirstToken(b *placedAttempt, cached float64) time.Duration {
	r := &b.member.group.rates
	return seconds(r.base + r.perToken*(b.queuedTokens+max(0, float64(b.prompt)-cached)))
}

// Finish implements hornbeamstage.Placer.
func (f *Placer) Finish(p *hbs.Placement, r hbs.AttemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.placedAttempts[p.Attempt]
	if b == nil {
		return
	}
	delete(f.placedAttempts, p.Attempt)
	now := time.Now()
	m := b.member
	m.ledger.Finish(&b.load, now)
	f.recordOutcome(m, &r, now)
	if f.members[m.rec.ID] != m {
		return
	}
	if !f.observe(m, r.Incarnation, r.Weights, now) || b.generation != m.generation {
		return
	}
	if r.FirstToken <= 0 {
		f.dropBeliefs(b)
		return
	}
	f.learn(b, &r, now)
}

// recordOutcome pauses an endpoint on which attempts fail (rule 8).
func (f *Placer) recordOutcome(m *member, r *hbs.AttemptResult, now time.Time) {
	switch r.End {
	case hbs.EndComplete:
		m.recordSuccess()
	case hbs.EndUnreached:
		m.recordUnreachable(now)
	case hbs.EndRefused:
		m.recordRefusal(now)
	case hbs.EndFailed, hbs.EndBroken:
		m.recordFailure(now)
	}
}

// dropBeliefs removes the beliefs that an attempt without a first token added.
// Levels that were believed cached before it keep theirs.
func (f *Placer) dropBeliefs(b *placedAttempt) {
	for _, l := range b.levels {
		if float64(l.Tokens) > b.believed {
			f.table.Drop(l.Key, b.generation)
		}
	}
}

// learn updates predictions from the times and the number of cached tokens of
// an answer.
func (f *Placer) learn(b *placedAttempt, r *hbs.AttemptResult, now time.Time) {
	m := b.member
	rates := &m.group.rates
	rates.observeOutput(r.OutputTokens, r.Duration-r.FirstToken)
	if m.rec.Kind != hbs.KindEngine {
		return
	}
	if r.CachedTokens < 0 {
		f.learnTimes(b, r, b.cached, now)
		return
	}
	cached := float64(r.CachedTokens)
	f.meters.prompt.Inc(int64(b.prompt))
	f.meters.cached.Inc(int64(r.CachedTokens))
	f.meters.missed.Inc(int64(max(0, b.believed-cached)))
	f.learnEvictionAge(b, cached)
	f.checkStoreLoad(b, cached)
	if b.home && b.fromStore == 0 {
		rates.observeHomeHit(b.believed, cached, float64(b.prompt))
	}
	f.learnTimes(b, r, cached, now)
}

// learnTimes updates predictions from the time to the first token of a prompt
// of which the given number of tokens was cached.
func (f *Placer) learnTimes(b *placedAttempt, r *hbs.AttemptResult, cached float64, now time.Time) {
	rates := &b.member.group.rates
	ratio := straggler.Ratio(r.FirstToken, f.predictFirstToken(b, cached))
	b.member.score.Observe(ratio, now)
	rates.observeRatio(ratio)
	// An answer that mostly waited depends on the queue more than on the
	// engine.
	if computed := max(0, float64(b.prompt)-cached); b.queuedTokens < computed {
		rates.observeFirstToken(b.queuedTokens+computed, r.FirstToken)
	}
}

// learnEvictionAge updates the eviction age by whether the engine still had
// what was believed cached.
func (f *Placer) learnEvictionAge(b *placedAttempt, cached float64) {
	if b.idle == 0 || b.believed == 0 {
		return
	}
	if cached < b.believed/2 {
		b.member.age.ObserveMiss(b.idle)
		return
	}
	b.member.age.ObserveHit(b.idle)
}
