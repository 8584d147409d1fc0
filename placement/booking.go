package placement

import (
	"strconv"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/belief"
	"github.com/hornbeamstage/hornbeamstage/load"
	"github.com/hornbeamstage/hornbeamstage/straggler"
)

// booking is one attempt from Place to Finish.
type booking struct {
	load   load.Booking
	member *member
	// life is the endpoint's life when the attempt was placed.
	life    belief.Life
	weights hbs.WeightsVersion
	levels  []hbs.Level
	prompt  int
	// keep holds the levels that the engine was asked to put into the store.
	keep []hbs.Level
	// queued is the number of tokens to compute before the prompt, cached the
	// number of its tokens believed cached.
	queued, cached float64
	// believed is cached without the credit of an endpoint at home.
	believed float64
	home     bool
	// kept is how many tokens beyond those believed cached were expected from the
	// store of kept KV cache.
	kept     float64
	slowness float64
	// beside is the number of prompt tokens that the endpoint had to compute when
	// the stream's pace was told last.
	beside float64
	// idle is for how long the deepest level believed cached was unused; 0 when
	// none was.
	idle time.Duration
}

func (f *Fleet) attemptID() hbs.AttemptID {
	return hbs.AttemptID(f.prefix + strconv.FormatUint(f.attempts, 36))
}

// idle returns for how long the deepest level known on m was unused.
func (f *Fleet) idle(m *member, levels []hbs.Level, now time.Time) time.Duration {
	if m.believed == 0 {
		return 0
	}
	for i := len(levels) - 1; i >= 0; i-- {
		f.found = f.table.Find(levels[i].Key, now, f.found[:0])
		for _, h := range f.found {
			if h.Life == m.life {
				return h.Idle
			}
		}
	}
	return 0
}

// FirstToken implements hornbeamstage.Placer.
func (f *Fleet) FirstToken(p *hbs.Placement, after time.Duration, cached int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.bookings[p.Attempt]
	if b == nil {
		return
	}
	now := time.Now()
	b.member.ledger.Prefilled(&b.load, now)
	b.member.succeeded()
	f.keeping(b.keep, b.weights, now)
	if cached < 0 {
		f.judgeUnknown(b, after, now)
	}
}

// Paced implements hornbeamstage.Placer. Beside a long computation all gaps of a
// stream are long, so they tell nothing then.
func (f *Fleet) Paced(p *hbs.Placement, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.running(p)
	if b == nil {
		return
	}
	now := time.Now()
	rates := &b.member.group.rates
	prefill := b.member.ledger.Total(now, 1/rates.perToken).Prefill
	beside := max(prefill, b.beside)
	b.beside = prefill
	if beside > longBeside {
		return
	}
	b.member.score.Pace(gap.Seconds()/rates.gap, now)
	rates.paced(gap)
}

// running returns the booking of an attempt whose endpoint still lives the life
// that it was placed in, or nil.
func (f *Fleet) running(p *hbs.Placement) *booking {
	b := f.bookings[p.Attempt]
	if b == nil || b.life != b.member.life {
		return nil
	}
	return b
}

// Slowness implements hornbeamstage.Placer.
func (f *Fleet) Slowness(p *hbs.Placement) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.bookings[p.Attempt]; b != nil {
		return b.member.score.Slowness()
	}
	return 1
}

// judgeUnknown takes a first token whose number of cached tokens is not told
// yet. It counts against the endpoint only what is slow even for a prompt that
// was not cached at all.
func (f *Fleet) judgeUnknown(b *booking, after time.Duration, now time.Time) {
	r := straggler.Ratio(after, f.predict(b, 0))
	if r > 1 && b.life == b.member.life {
		b.member.score.Observe(r, now)
	}
}

// predict returns the time to the first token of b at an endpoint of ordinary
// speed with so many tokens cached.
func (f *Fleet) predict(b *booking, cached float64) time.Duration {
	r := &b.member.group.rates
	return seconds(r.base + r.perToken*(b.queued+max(0, float64(b.prompt)-cached)))
}

// Finish implements hornbeamstage.Placer.
func (f *Fleet) Finish(p *hbs.Placement, r hbs.AttemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.bookings[p.Attempt]
	if b == nil {
		return
	}
	delete(f.bookings, p.Attempt)
	now := time.Now()
	m := b.member
	m.ledger.Finish(&b.load, now)
	f.evidence(m, &r, now)
	if f.members[m.rec.ID] != m {
		return
	}
	if !f.observe(m, r.Incarnation, r.Weights, now) || b.life != m.life {
		return
	}
	if r.FirstToken <= 0 {
		f.unlearn(b)
		return
	}
	f.learn(b, &r, now)
}

// evidence pauses an endpoint that fails (rule 8).
func (f *Fleet) evidence(m *member, r *hbs.AttemptResult, now time.Time) {
	switch r.End {
	case hbs.EndComplete:
		m.succeeded()
	case hbs.EndUnreached:
		m.unreached(now)
	case hbs.EndRefused:
		m.refused(now)
	case hbs.EndFailed, hbs.EndBroken:
		m.broke(now)
	}
}

// unlearn drops the beliefs that an attempt without a first token left. Those
// of levels that were believed cached before it stay.
func (f *Fleet) unlearn(b *booking) {
	for _, l := range b.levels {
		if float64(l.Tokens) > b.believed {
			f.table.Drop(l.Key, b.life)
		}
	}
}

// learn takes the times and the count of cached tokens of an answer.
func (f *Fleet) learn(b *booking, r *hbs.AttemptResult, now time.Time) {
	m := b.member
	rates := &m.group.rates
	rates.output(r.OutputTokens, r.Duration-r.FirstToken)
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
	f.learnAge(b, cached)
	f.loaded(b, cached)
	if b.home && b.kept == 0 {
		rates.home(b.believed, cached, float64(b.prompt))
	}
	f.learnTimes(b, r, cached, now)
}

// learnTimes takes the time to the first token of a prompt of which so many
// tokens were cached.
func (f *Fleet) learnTimes(b *booking, r *hbs.AttemptResult, cached float64, now time.Time) {
	rates := &b.member.group.rates
	ratio := straggler.Ratio(r.FirstToken, f.predict(b, cached))
	b.member.score.Observe(ratio, now)
	rates.ratio(ratio)
	// An answer that mostly waited tells more of the queue than of the engine.
	if computed := max(0, float64(b.prompt)-cached); b.queued < computed {
		rates.first(b.queued+computed, r.FirstToken)
	}
}

// learnAge compares what was believed cached with the engine's count.
func (f *Fleet) learnAge(b *booking, cached float64) {
	if b.idle == 0 || b.believed == 0 {
		return
	}
	if cached < b.believed/2 {
		b.member.age.Missing(b.idle)
		return
	}
	b.member.age.Kept(b.idle)
}
