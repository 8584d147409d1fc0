package admission

import (
	"math/bits"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Learning of the delay, see pace.delays.
const (
	// delayQuantile is the share of attempts that start within the prediction.
	delayQuantile = 0.95
	// delayGain is the relative step of one observation, delayStep its least
	// step in seconds.
	delayGain = 0.1
	delayStep = 0.02
	// delayRelax is the relative step back for each request refused because of
	// the delay. Without it a delay that refuses all would never be corrected.
	delayRelax = 0.005
	// delayMax is in seconds.
	delayMax = 30
)

// Learning rates of the predictions: the weight of one new value.
const (
	paceRate  = 0.02
	ratioRate = 0.05
	// ratioMin and ratioMax bound the learned length of answers.
	ratioMin = 0.05
	ratioMax = 2
)

// pace is the speed at which a queue's work is done.
type pace struct {
	// running is the number of attempts of this instance.
	running int
	// cost and busy are decaying means over ended attempts; their quotient is the
	// work that one attempt does in a second.
	cost, busy float64
	// tokens and decoding are decaying means over answers: the output tokens after
	// the first, and the time in seconds that they took. Their quotient is the time
	// of one token; a mean of quotients would count short answers as much as long.
	tokens, decoding float64
	// delays is by how many seconds the time to the first token exceeds its
	// prediction, by engine priority: what the Placer can't know of engines that
	// order their queues.
	delays [EnginePriorities]float64
}

// delay returns the delay for the engine priority of at.
func (p *pace) delay(at *hbs.Placement) *float64 { return &p.delays[at.Priority] }

// started learns from an attempt placed at at. One that ended without a start
// tells that it would have taken longer still.
func (p *pace) started(at *hbs.Placement, r hbs.AttemptResult) {
	d := p.delay(at)
	first := at.FirstToken
	measured := r.FirstToken
	if measured == 0 {
		measured = r.Duration
	}
	late := (measured - first).Seconds() > *d
	step := delayGain**d + delayStep
	switch {
	case first <= 0 || r.FirstToken == 0 && !late:
		return
	case late:
		*d += step * delayQuantile
	default:
		*d -= step * (1 - delayQuantile)
	}
	*d = min(max(*d, 0), delayMax)
}

// relax takes a step back from a delay that refused a request at at.
func (p *pace) relax(at *hbs.Placement) { *p.delay(at) *= 1 - delayRelax }

func (p *pace) known() bool { return p.busy > 0 && p.running > 0 }

// rate returns the work done in a second by all running attempts. It is exact
// (Little's law) while the endpoints are full, which they are when requests wait.
func (p *pace) rate() float64 { return p.cost / p.busy * float64(p.running) }

// service predicts the time of an attempt of the given cost; 0 when not known.
func (p *pace) service(cost float64) time.Duration {
	if p.cost == 0 {
		return 0
	}
	return seconds(cost * p.busy / p.cost)
}

// decode predicts the time from the first token to the last.
func (p *pace) decode(req *hbs.Request, ratio float64) time.Duration {
	if p.tokens == 0 {
		return 0
	}
	return seconds(float64(req.ExpectedTokens) * ratio * p.decoding / p.tokens)
}

func (p *pace) learn(cost float64, r hbs.AttemptResult) {
	if r.Duration <= 0 {
		return
	}
	if p.busy == 0 {
		p.cost, p.busy = cost, r.Duration.Seconds()
	}
	p.cost += paceRate * (cost - p.cost)
	p.busy += paceRate * (r.Duration.Seconds() - p.busy)
	if r.OutputTokens < 2 || r.FirstToken <= 0 {
		return
	}
	tokens, decoding := float64(r.OutputTokens-1), (r.Duration - r.FirstToken).Seconds()
	if p.tokens == 0 {
		p.tokens, p.decoding = tokens, decoding
	}
	p.tokens += paceRate * (tokens - p.tokens)
	p.decoding += paceRate * (decoding - p.decoding)
}

// learn moves the flow's ratio of counted to expected tokens.
func (f *flow) learn(req *hbs.Request, r hbs.AttemptResult) {
	if r.OutputTokens < 1 || req.ExpectedTokens < 1 {
		return
	}
	ratio := float64(r.OutputTokens) / float64(req.ExpectedTokens)
	f.ratio += ratioRate * (min(max(ratio, ratioMin), ratioMax) - f.ratio)
}

// Cost returns the work of req in output tokens, at least 1. ratio is the
// counted over the expected length of the workspace's answers.
func Cost(p hbs.Policy, req *hbs.Request, ratio float64) float64 {
	weight := p.Number(KnobPromptWeight, hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service})
	return max(float64(req.ExpectedTokens)*ratio+float64(req.PromptTokens)*weight, 1)
}

// Long reports whether req counts as long work (rule 2).
func Long(p hbs.Policy, req *hbs.Request) bool {
	scope := hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service}
	return Cost(p, req, 1) > p.Number(KnobLongTokens, scope)
}

// urgency orders priorities, the most urgent least.
func urgency(req *hbs.Request) int {
	switch req.Priority {
	case hbs.PriorityHigh:
		return 0
	case hbs.PriorityLow:
		return 2
	}
	return 1
}

// Engine priorities are urgencyStep apart. Within an urgency a prompt with more
// tokens to compute goes behind: it keeps all behind it waiting for as long as
// it takes.
const (
	urgencyStep = 10
	// sizeBase is the number of tokens to compute in the first size; each further
	// size is twice as large.
	sizeBase = 256
	// EnginePriorities bounds the priorities that endpoints get: they are 0 to
	// EnginePriorities-1.
	EnginePriorities = (rankHeavy + 2) * urgencyStep
)

// enginePriority returns the priority field for engines, lower is more urgent.
// cached is how much of the prompt is believed cached at the endpoint. Requests
// of the ranks below rankHeavy go before all urgencies, but for the most urgent
// ones, which go with the last of those ranks.
func enginePriority(req *hbs.Request, cached, rank int) int {
	size := bits.Len(uint(max(req.PromptTokens-cached, 0) / sizeBase))
	size = min(size, urgencyStep-1)
	if rank < rankHeavy {
		return rank*urgencyStep + size
	}
	return (rankHeavy-1+urgency(req))*urgencyStep + size
}
