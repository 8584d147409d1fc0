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

func (p *Placer) attemptID() hbs.AttemptID {
	return hbs.AttemptID(p.idPrefix + strconv.FormatUint(p.attempts, 36))
}

// idleTime returns the time since the last use of the deepest level believed
// cached on m, 0 when there is none.
func (p *Placer) idleTime(m *member, levels []hbs.Level, now time.Time) time.Duration {
	if m.believed == 0 {
		return 0
	}
	for i := len(levels) - 1; i >= 0; i-- {
		p.entries = p.table.Find(levels[i].Key, now, p.entries[:0])
		for _, e := range p.entries {
			if e.Generation == m.generation {
				return e.Idle
			}
		}
	}
	return 0
}

// FirstToken implements hornbeamstage.Placer.
func (p *Placer) FirstToken(placed *hbs.Placement, after time.Duration, cached int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.placedAttempts[placed.Attempt]
	if a == nil {
		return
	}
	now := time.Now()
	a.member.ledger.Prefilled(&a.load, now)
	a.member.recordSuccess()
	p.markStored(a.storeLevels, a.weights, now)
	if cached < 0 {
		p.scoreUnknownHit(a, after, now)
	}
}

// ObserveMinGap implements hornbeamstage.Placer. While the endpoint computes long
// prompts all gaps of a stream are long and show nothing of its speed, so they
// are ignored.
func (p *Placer) ObserveMinGap(placed *hbs.Placement, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.currentAttempt(placed)
	if a == nil {
		return
	}
	now := time.Now()
	rates := &a.member.group.rates
	prefill := a.member.ledger.Total(now, 1/rates.perToken).Prefill
	concurrent := max(prefill, a.lastPrefill)
	a.lastPrefill = prefill
	if concurrent > longPrefillTokens {
		return
	}
	a.member.score.ObserveStream(gap.Seconds()/rates.minGap, now)
	rates.observeMinGap(gap)
}

// currentAttempt returns the record of an attempt, or nil when it has ended or
// the endpoint has a new cache generation since.
func (p *Placer) currentAttempt(placed *hbs.Placement) *placedAttempt {
	a := p.placedAttempts[placed.Attempt]
	if a == nil || a.generation != a.member.generation {
		return nil
	}
	return a
}

// Slowness implements hornbeamstage.Placer.
func (p *Placer) Slowness(placed *hbs.Placement) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.placedAttempts[placed.Attempt]; a != nil {
		return a.member.score.Slowness()
	}
	return 1
}

// scoreUnknownHit scores a first token when the number of cached tokens is not
// known yet. It counts against the endpoint only when it is slow even for a
// prompt with nothing cached.
func (p *Placer) scoreUnknownHit(a *placedAttempt, after time.Duration, now time.Time) {
	r := straggler.Ratio(after, p.predictFirstToken(a, 0))
	if r > 1 && a.generation == a.member.generation {
		a.member.score.Observe(r, now)
	}
}

// predictFirstToken returns the time to the first token of attempt a on an endpoint
// of normal speed that has the given number of tokens cached.
func (p *Placer) predictFirstToken(a *placedAttempt, cached float64) time.Duration {
	r := &a.member.group.rates
	return seconds(r.base + r.perToken*(a.queuedTokens+max(0, float64(a.prompt)-cached)))
}

// Finish implements hornbeamstage.Placer.
func (p *Placer) Finish(placed *hbs.Placement, r hbs.AttemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.placedAttempts[placed.Attempt]
	if a == nil {
		return
	}
	delete(p.placedAttempts, placed.Attempt)
	now := time.Now()
	m := a.member
	m.ledger.Finish(&a.load, now)
	if neverSent(&r) {
		m.pressure.Return(now)
	}
	p.recordOutcome(m, a, &r, now)
	if p.members[m.rec.ID] != m {
		return
	}
	if !p.observe(m, r.Incarnation, r.Weights, now) || a.generation != m.generation {
		return
	}
	if r.FirstToken <= 0 {
		p.dropBeliefs(a)
		return
	}
	p.learn(a, &r, now)
}

// recordOutcome pauses an endpoint on which attempts fail (rule 8).
func (p *Placer) recordOutcome(m *member, a *placedAttempt, r *hbs.AttemptResult, now time.Time) {
	switch r.End {
	case hbs.EndComplete:
		m.recordSuccess()
	case hbs.EndUnreached:
		m.recordUnreachable(now)
	case hbs.EndRefused:
		m.recordRefusal(now)
	case hbs.EndFailed, hbs.EndBroken:
		m.recordFailure(now)
	case hbs.EndExpired:
		if r.FirstToken <= 0 && isOverdue(&a.load, r.Duration) {
			m.recordSilence(r.Duration, now)
		}
	}
}

// dropBeliefs removes the beliefs that an attempt without a first token added.
// Levels that were believed cached before it keep theirs.
func (p *Placer) dropBeliefs(a *placedAttempt) {
	for _, l := range a.levels {
		if float64(l.Tokens) > a.believed {
			p.table.Drop(l.Key, a.generation)
		}
	}
}

// learn updates predictions from the times and the number of cached tokens of
// a response.
func (p *Placer) learn(a *placedAttempt, r *hbs.AttemptResult, now time.Time) {
	m := a.member
	rates := &m.group.rates
	rates.observeOutput(r.OutputTokens, r.Duration-r.FirstToken)
	if m.rec.Kind != hbs.KindEngine {
		return
	}
	if r.CachedTokens < 0 {
		p.learnTimes(a, r, a.cached, now)
		return
	}
	cached := float64(r.CachedTokens)
	p.meters.prompt.Inc(int64(a.prompt))
	p.meters.cached.Inc(int64(r.CachedTokens))
	p.meters.missed.Inc(int64(max(0, a.believed-cached)))
	p.learnEvictionAge(a, cached)
	p.checkStoreLoad(a, cached)
	if a.home && a.fromStore == 0 {
		rates.observeHomeHit(a.believed, cached, float64(a.prompt))
	}
	p.learnTimes(a, r, cached, now)
}

// learnTimes updates predictions from the time to the first token of a prompt
// of which the given number of tokens was cached.
func (p *Placer) learnTimes(a *placedAttempt, r *hbs.AttemptResult, cached float64, now time.Time) {
	rates := &a.member.group.rates
	ratio := straggler.Ratio(r.FirstToken, p.predictFirstToken(a, cached))
	a.member.score.Observe(ratio, now)
	rates.observeRatio(ratio)
	// A response that mostly waited depends on the queue more than on the
	// engine.
	if computed := max(0, float64(a.prompt)-cached); a.queuedTokens < computed {
		rates.observeFirstToken(a.queuedTokens+computed, r.FirstToken)
	}
}

// learnEvictionAge updates the eviction age by whether the engine still had
// what was believed cached.
func (p *Placer) learnEvictionAge(a *placedAttempt, cached float64) {
	if a.idle == 0 || a.believed == 0 {
		return
	}
	if cached < a.believed/2 {
		a.member.age.ObserveMiss(a.idle)
		return
	}
	a.member.age.ObserveHit(a.idle)
}
