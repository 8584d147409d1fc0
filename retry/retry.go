// Package retry decides whether a failed attempt is followed by another one.
//
// Rules:
//
//  1. A request is not retried after the first byte of the response has reached
//     the caller, except for a stream that another endpoint can continue after its
//     last event. Nor is it retried after the caller has disconnected or the
//     deadline has passed.
//  2. A request that certainly was not run (no connection was made, or the engine
//     said so) may be tried elsewhere whatever its class; one of ClassOnce only if it
//     was never sent. That costs no budget, since nothing runs twice, unless
//     CountRefused is set and the request was sent.
//  3. A request that may have run is retried only if it is repeatable and the
//     budget allows it.
//  4. The budget is a share of the attempts that succeeded, not of all attempts.
//     So when some endpoints fail, the retries sent to the others stay a fixed
//     share of the responses of the others, and when all endpoints fail the
//     retries stop.
//  5. The number of attempts of one request is bounded, and so is the number of
//     times that it is sent to an endpoint if the request has such a limit.
package retry

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
)

// The knobs of the package.
const (
	KnobShare    hbs.KnobKey = "retry.share"
	KnobBurst    hbs.KnobKey = "retry.burst"
	KnobAttempts hbs.KnobKey = "retry.attempts"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobShare, Title: "retries as a share of successful responses", Text: "Raise it only when failures are rare and short; the load during a failure grows by this share.",
		Unit: hbs.UnitShare, Default: 0.08, Min: 0, Max: 1},
	{Key: KnobBurst, Title: "burst of retries", Text: "Unused retries accumulate up to this number, so that a model with little traffic can retry at all. A model starts with this number.",
		Unit: hbs.UnitCount, Default: 5, Min: 0, Max: 1000},
	{Key: KnobAttempts, Title: "maximum number of attempts of one request", Text: "Includes the first attempt.",
		Unit: hbs.UnitCount, Default: 3, Min: 1, Max: 10},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "retry_sent", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "retries after an attempt that may have run", Action: "Look for failing endpoints."},
	{Name: "retry_moved", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "retries after an attempt that was not run", Action: "Look for endpoints that are down, unreachable or refusing requests."},
	{Name: "retry_denied", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "retries that the budget did not allow", Action: "Many endpoints fail at once, and callers receive the errors. Repair the endpoints; don't raise the budget."},
}

// Policy decides whether requests are retried. Its fields are set before use.
type Policy struct {
	Budget  *Budget
	Knobs   hbs.Policy
	Metrics metrics.Registry
	// CountRefused makes a retry after an attempt that an endpoint refused cost
	// budget. It is set where the budget bounds the requests that arrive at endpoints
	// rather than those that run.
	CountRefused bool
}

// Allow reports whether a request is retried whose latest attempt ended with res.
// tries is the number of its attempts so far, sent the number of those that were
// sent. Allow spends budget if the retry costs any.
func (p *Policy) Allow(req *hbs.Request, res *attempt.Result, tries, sent int) bool {
	scope := ScopeOf(req)
	switch {
	case res.Started && res.LastEvent == "", res.End == hbs.EndComplete, res.End == hbs.EndCanceled, res.End == hbs.EndExpired: // rule 1
		return false
	case tries >= int(p.Knobs.Number(KnobAttempts, scope)), req.Attempts > 0 && sent >= req.Attempts: // rule 5
		return false
	case certainlyNotRun(req, res): // rule 2
		if p.CountRefused && res.End == hbs.EndRefused && !p.Budget.Spend(scope) {
			p.count("retry_denied")
			return false
		}
		p.count("retry_moved")
		return true
	case req.Class != hbs.ClassRepeatable || !mayHelp(res): // rule 3
		return false
	case !p.Budget.Spend(scope): // rule 4
		p.count("retry_denied")
		return false
	}
	p.count("retry_sent")
	return true
}

// certainlyNotRun reports whether the attempt that ended with res did not run and
// its request may be tried elsewhere (rule 2).
func certainlyNotRun(req *hbs.Request, res *attempt.Result) bool {
	if r := res.Refusal; res.End == hbs.EndUnreached {
		return r != nil && r.Reason == hbs.ReasonConnect
	}
	return res.End == hbs.EndRefused && req.Class != hbs.ClassOnce
}

// mayHelp reports whether another endpoint may succeed where this attempt failed. A
// status from 400 to 499 is caused by the request itself, except 429, which means
// that this endpoint receives too many requests.
func mayHelp(res *attempt.Result) bool {
	if res.End == hbs.EndBroken || res.End == hbs.EndWithdrawn {
		return true
	}
	if res.End != hbs.EndFailed {
		return false
	}
	// A status below 400 belongs to a stream whose first event was an error.
	return res.Status < 400 || res.Status == http.StatusTooManyRequests || res.Status >= 500
}

func (p *Policy) count(name string) { metrics.GetOrRegisterCounter(name, p.Metrics).Inc(1) }

// ScopeOf returns the scope in which the knobs for a request are looked up.
func ScopeOf(req *hbs.Request) hbs.Scope {
	return hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service}
}
