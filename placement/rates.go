package placement

import "time"

// Values before the first answers of a model.
const (
	defaultPerToken  = 0.0001
	defaultBase      = 0.03
	defaultPerOutput = 0.02
	defaultTail      = 2
)

// Bounds of learned values.
const (
	minPerToken = 1e-6
	maxPerToken = 1e-2
	maxBase     = 0.5
)

const (
	// unhindered is the share of answers taken to have met no work that the
	// instance did not know of. Unknown work only delays, so the low quantile is
	// what the engine does by itself.
	unhindered = 0.35
	// longPrompt is the number of tokens from which an answer tells of the rate;
	// shorter ones tell of the base.
	longPrompt = 512
	// longBeside is the number of tokens to compute from which a stream's pace
	// tells nothing of the engine's speed.
	longBeside = 2048
	// rateGain is the relative step of one observation, baseStep its smallest
	// step in seconds.
	rateGain = 0.05
	baseStep = 0.01
	// durationGain and tailGain are the weights of one observation.
	durationGain = 0.05
	creditGain   = 0.02
	storeGain    = 0.05
	gapGain      = 0.05
	tailGain     = 0.02
	tailShare    = 0.95
	maxTail      = 8
)

// rates predicts times of one model's engines:
//
//	time to first token = base + perToken * tokens to compute before it
type rates struct {
	// perToken and base are in seconds; perOutput is the time between tokens.
	perToken, base, perOutput float64
	// tail is the 95th percentile of measured to predicted times.
	tail float64
	// credit is the share of what is not believed cached that engines find cached
	// on an endpoint at home where nothing is expected from the store of kept KV
	// cache: what other instances sent there.
	credit float64
	// store is the share of the tokens expected from the store of kept KV cache
	// that engines loaded.
	store float64
	// gap is the median of the shortest times between tokens of parts of streams,
	// in seconds.
	gap float64
	// event is the median of all times between events of streams, in seconds.
	event float64
}

func newRates() rates {
	return rates{perToken: defaultPerToken, base: defaultBase, perOutput: defaultPerOutput, gap: defaultPerOutput, event: defaultPerOutput, tail: defaultTail, store: 1}
}

// first learns from an answer whose first token came after the time t, when
// the engine had so many tokens to compute before it.
func (r *rates) first(tokens float64, t time.Duration) {
	if tokens >= longPrompt {
		step := rateGain * r.perToken
		r.perToken += quantileStep((t.Seconds()-r.base)/tokens > r.perToken, step)
		r.perToken = min(max(r.perToken, minPerToken), maxPerToken)
		return
	}
	step := rateGain * (r.base + baseStep)
	r.base += quantileStep(t.Seconds()-r.perToken*tokens > r.base, step)
	r.base = min(max(r.base, 0), maxBase)
}

// quantileStep moves an estimate towards the unhindered quantile.
func quantileStep(above bool, step float64) float64 {
	if above {
		return step * unhindered
	}
	return -step * (1 - unhindered)
}

// ratio learns the spread of measured against predicted times.
func (r *rates) ratio(x float64) {
	if x > r.tail {
		r.tail += tailGain * tailShare * r.tail
	} else {
		r.tail -= tailGain * (1 - tailShare) * r.tail
	}
	r.tail = min(max(1, r.tail), maxTail)
}

// home learns from an answer of an endpoint at home: how many tokens were
// believed cached without credit, and how many were, of how many.
func (r *rates) home(believed, cached, prompt float64) {
	if prompt <= believed {
		return
	}
	share := min(max(0, (cached-believed)/(prompt-believed)), 1)
	r.credit += creditGain * (share - r.credit)
}

// loaded learns from an answer: how many tokens were expected from the store of
// kept KV cache beyond those believed cached, and how many were cached in all.
func (r *rates) loaded(believed, expected, cached float64) {
	share := min(max(0, (cached-believed)/expected), 1)
	r.store += storeGain * (share - r.store)
}

// output learns from an answer of n tokens that took t after the first.
func (r *rates) output(n int, t time.Duration) {
	if n < 2 || t <= 0 {
		return
	}
	r.perOutput += durationGain * (t.Seconds()/float64(n-1) - r.perOutput)
}

// between learns from the time between two events of a stream.
func (r *rates) between(gap time.Duration) { r.event = towards(r.event, gap) }

// paced learns from the shortest time between tokens of a part of a stream.
func (r *rates) paced(gap time.Duration) { r.gap = towards(r.gap, gap) }

// towards moves the median of gaps, in seconds, by one of them.
func towards(median float64, gap time.Duration) float64 {
	step := gapGain / 2 * median
	if gap.Seconds() < median {
		step = -step
	}
	return max(median+step, minPerToken)
}
