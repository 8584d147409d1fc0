package placement

import "time"

// Predictions before the first responses of a model.
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
	// undisturbedQuantile is the fraction of responses taken to have met no work
	// unknown to this instance. Such work can only delay a response, so a low
	// quantile of the times is the engine's own speed.
	undisturbedQuantile = 0.35
	// longPromptTokens is the number of tokens from which a response updates the
	// time for each token; shorter prompts update the base time.
	longPromptTokens = 512
	// longPrefillTokens is the number of prompt tokens queued on an endpoint
	// above which the gaps of its streams show nothing of its speed.
	longPrefillTokens = 2048
	// rateGain is the relative step of one observation. For the base time it is
	// relative to base+baseStep, in seconds, as base may be 0.
	rateGain = 0.05
	baseStep = 0.01
	// The gains are the steps of one observation in other averages and
	// quantiles.
	outputGain     = 0.05
	homeCreditGain = 0.02
	storeYieldGain = 0.05
	gapGain        = 0.05
	tailGain       = 0.02
	// tailQuantile is the quantile that the field tail of rates estimates,
	// maxTail its upper bound.
	tailQuantile = 0.95
	maxTail      = 8
)

// rates predicts the times of one model's engines:
//
//	time to first token = base + perToken * tokens to compute before it
type rates struct {
	// perToken, base and perOutput, the time between output tokens, are in
	// seconds.
	perToken, base, perOutput float64
	// tail is the 95th percentile of measured divided by predicted times.
	tail float64
	// homeCredit is the fraction of the tokens not believed cached that engines
	// of the home set find cached nevertheless, since other instances sent them
	// there. It is learned from attempts that expected nothing from the store.
	homeCredit float64
	// storeYield is the fraction of the tokens expected from the shared KV
	// cache store that engines did load.
	storeYield float64
	// minGap is the median, in seconds, of the shortest gap between tokens in
	// each reported part of a stream.
	minGap float64
	// eventGap is the median of all gaps between events of streams, in seconds.
	eventGap float64
}

func newRates() rates {
	return rates{perToken: defaultPerToken, base: defaultBase, perOutput: defaultPerOutput, minGap: defaultPerOutput, eventGap: defaultPerOutput, tail: defaultTail, storeYield: 1}
}

// observeFirstToken updates perToken or base by a response whose first token
// arrived after t, with the given number of tokens to compute before it.
func (r *rates) observeFirstToken(tokens float64, t time.Duration) {
	if tokens >= longPromptTokens {
		step := rateGain * r.perToken
		r.perToken += quantileStep((t.Seconds()-r.base)/tokens > r.perToken, step)
		r.perToken = min(max(r.perToken, minPerToken), maxPerToken)
		return
	}
	step := rateGain * (r.base + baseStep)
	r.base += quantileStep(t.Seconds()-r.perToken*tokens > r.base, step)
	r.base = min(max(r.base, 0), maxBase)
}

// quantileStep returns the step of an estimate of undisturbedQuantile. above
// reports whether the observation is above the estimate.
func quantileStep(above bool, step float64) float64 {
	if above {
		return step * undisturbedQuantile
	}
	return -step * (1 - undisturbedQuantile)
}

// observeRatio updates tail by a ratio of measured to predicted time.
func (r *rates) observeRatio(x float64) {
	if x > r.tail {
		r.tail += tailGain * tailQuantile * r.tail
	} else {
		r.tail -= tailGain * (1 - tailQuantile) * r.tail
	}
	r.tail = min(max(1, r.tail), maxTail)
}

// observeHomeHit updates homeCredit by a response from an endpoint of the home
// set: the tokens believed cached, those that were cached, and the length of
// the prompt.
func (r *rates) observeHomeHit(believed, cached, prompt float64) {
	if prompt <= believed {
		return
	}
	share := min(max(0, (cached-believed)/(prompt-believed)), 1)
	r.homeCredit += homeCreditGain * (share - r.homeCredit)
}

// observeStoreLoad updates storeYield by the tokens that were believed cached,
// the further ones expected from the shared KV cache store, and all that were
// cached.
func (r *rates) observeStoreLoad(believed, expected, cached float64) {
	share := min(max(0, (cached-believed)/expected), 1)
	r.storeYield += storeYieldGain * (share - r.storeYield)
}

// observeOutput updates perOutput by a response of n tokens whose last token
// arrived t after the first.
func (r *rates) observeOutput(n int, t time.Duration) {
	if n < 2 || t <= 0 {
		return
	}
	r.perOutput += outputGain * (t.Seconds()/float64(n-1) - r.perOutput)
}

// observeEventGap updates eventGap by the time between two events of a stream.
func (r *rates) observeEventGap(gap time.Duration) { r.eventGap = stepMedian(r.eventGap, gap) }

// observeMinGap updates minGap by the shortest gap in a part of a stream.
func (r *rates) observeMinGap(gap time.Duration) { r.minGap = stepMedian(r.minGap, gap) }

// stepMedian moves the estimate of the median gap, in seconds, one step towards
// gap.
func stepMedian(median float64, gap time.Duration) float64 {
	step := gapGain / 2 * median
	if gap.Seconds() < median {
		step = -step
	}
	return max(median+step, minPerToken)
}
