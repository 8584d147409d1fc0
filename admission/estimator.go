package admission

import (
	"math/bits"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Parameters of the online quantile estimate in estimator.startDelays.
const (
	// delayQuantile is the share of attempts whose first token arrives within the
	// predicted time plus the delay.
	delayQuantile = 0.95
	// The step of one observation is delayGain times the current delay plus
	// delayMinStep seconds.
	delayGain    = 0.1
	delayMinStep = 0.02
	// delayDecay is the relative reduction for each request refused because of the
	// delay. Without it, a delay that causes all requests to be refused would
	// never be corrected, as no more observations arrive.
	delayDecay = 0.005
	// maxDelay is the largest delay, in seconds.
	maxDelay = 30
)

// Smoothing factors of the moving averages: the weight of a new value.
const (
	attemptSmoothing = 0.02
	ratioSmoothing   = 0.05
	// minRatio and maxRatio bound one observation of the length ratio.
	minRatio = 0.05
	maxRatio = 2
)

// estimator predicts service times and throughput of one queue from finished
// attempts.
type estimator struct {
	// running is the number of running attempts of this instance.
	running int
	// meanCost, in output tokens, and meanDuration, in seconds, are moving averages
	// over completed attempts. Their quotient is the work done by one attempt per
	// second.
	meanCost, meanDuration float64
	// meanTokens and meanDecode are moving averages over responses: the number of
	// output tokens after the first, and the seconds from the first to the last.
	// meanDecode/meanTokens is the time per output token. An average of each
	// response's quotient would give short responses the weight of long ones.
	meanTokens, meanDecode float64
	// startDelays holds, for each engine priority, the estimated quantile of the
	// time to first token minus its prediction, in seconds. The prediction doesn't
	// include it, as the Placer can't know how engines order their queues.
	startDelays [EnginePriorities]float64
}

// startDelay returns the delay for the engine priority of at.
func (e *estimator) startDelay(at *hbs.Placement) *float64 { return &e.startDelays[at.Priority] }

// recordStart updates the delay with the time to first token of an attempt placed
// at at. If the attempt ended before its first token, its duration is a lower
// bound of that time and can only increase the delay.
func (e *estimator) recordStart(at *hbs.Placement, r hbs.AttemptResult) {
	d := e.startDelay(at)
	first := at.FirstToken
	measured := r.FirstToken
	if measured == 0 {
		measured = r.Duration
	}
	late := (measured - first).Seconds() > *d
	step := delayGain**d + delayMinStep
	switch {
	case first <= 0 || r.FirstToken == 0 && !late:
		return
	case late:
		*d += step * delayQuantile
	default:
		*d -= step * (1 - delayQuantile)
	}
	*d = min(max(*d, 0), maxDelay)
}

// decayDelay reduces the delay after it caused a refusal of a request placed at
// at.
func (e *estimator) decayDelay(at *hbs.Placement) { *e.startDelay(at) *= 1 - delayDecay }

// ready reports whether throughput can be estimated.
func (e *estimator) ready() bool { return e.meanDuration > 0 && e.running > 0 }

// throughput returns the work done per second by all running attempts, by
// Little's law. The law holds while the endpoints are full, which they are
// whenever requests wait.
func (e *estimator) throughput() float64 { return e.meanCost / e.meanDuration * float64(e.running) }

// serviceTime predicts the duration of an attempt of the given cost, or returns 0
// before the first completed attempt.
func (e *estimator) serviceTime(cost float64) time.Duration {
	if e.meanCost == 0 {
		return 0
	}
	return seconds(cost * e.meanDuration / e.meanCost)
}

// decodeTime predicts the time from the first to the last output token. ratio is
// the workspace's length ratio.
func (e *estimator) decodeTime(req *hbs.Request, ratio float64) time.Duration {
	if e.meanTokens == 0 {
		return 0
	}
	return seconds(float64(req.ExpectedTokens) * ratio * e.meanDecode / e.meanTokens)
}

// recordCompletion updates the averages with a completed attempt.
func (e *estimator) recordCompletion(cost float64, r hbs.AttemptResult) {
	if r.Duration <= 0 {
		return
	}
	if e.meanDuration == 0 {
		e.meanCost, e.meanDuration = cost, r.Duration.Seconds()
	}
	e.meanCost += attemptSmoothing * (cost - e.meanCost)
	e.meanDuration += attemptSmoothing * (r.Duration.Seconds() - e.meanDuration)
	if r.OutputTokens < 2 || r.FirstToken <= 0 {
		return
	}
	tokens, decoding := float64(r.OutputTokens-1), (r.Duration - r.FirstToken).Seconds()
	if e.meanTokens == 0 {
		e.meanTokens, e.meanDecode = tokens, decoding
	}
	e.meanTokens += attemptSmoothing * (tokens - e.meanTokens)
	e.meanDecode += attemptSmoothing * (decoding - e.meanDecode)
}

// updateRatio updates the flow's ratio of actual to expected output tokens.
func (f *flow) updateRatio(req *hbs.Request, r hbs.AttemptResult) {
	if r.OutputTokens < 1 || req.ExpectedTokens < 1 {
		return
	}
	ratio := float64(r.OutputTokens) / float64(req.ExpectedTokens)
	f.lengthRatio += ratioSmoothing * (min(max(ratio, minRatio), maxRatio) - f.lengthRatio)
}

// Cost returns the work of req in output tokens, at least 1. ratio is the
// workspace's ratio of actual to expected output tokens.
func Cost(p hbs.Policy, req *hbs.Request, ratio float64) float64 {
	weight := p.Number(KnobPromptWeight, hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service})
	return max(float64(req.ExpectedTokens)*ratio+float64(req.PromptTokens)*weight, 1)
}

// Long reports whether req counts as long work (rule 2).
func Long(p hbs.Policy, req *hbs.Request) bool {
	scope := hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service}
	return Cost(p, req, 1) > p.Number(KnobLongTokens, scope)
}

// urgency returns the position of the request's priority, 0 for the most urgent.
func urgency(req *hbs.Request) int {
	switch req.Priority {
	case hbs.PriorityHigh:
		return 0
	case hbs.PriorityLow:
		return 2
	}
	return 1
}

// Each rank or urgency has a range of urgencyStep engine priorities. Within it,
// prompts with more uncached tokens get a higher number, so are served later, as
// their prefill delays all requests behind them.
const (
	urgencyStep = 10
	// firstSizeTokens is the upper bound of the smallest prompt size class, in
	// uncached tokens. Each further class has twice the bound.
	firstSizeTokens = 256
	// EnginePriorities is the number of engine priorities, which are 0 to
	// EnginePriorities-1.
	EnginePriorities = (rankHeavy + 2) * urgencyStep
)

// enginePriority returns the priority that is sent to engines; a lower number is
// served first. cached is the estimated number of prompt tokens cached at the
// endpoint. Requests of light ranks precede those of rankHeavy. The exception is
// urgency 0 of rankHeavy, which shares its range with the last light rank.
func enginePriority(req *hbs.Request, cached, rank int) int {
	size := bits.Len(uint(max(req.PromptTokens-cached, 0) / firstSizeTokens))
	size = min(size, urgencyStep-1)
	if rank < rankHeavy {
		return rank*urgencyStep + size
	}
	return (rankHeavy-1+urgency(req))*urgencyStep + size
}
