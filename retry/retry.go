// Package retry decides whether a failed attempt is followed by another one.
//
// Rules:
//
//  1. Nothing is retried after the first byte of the answer reached the
//     caller, but for a stream that another endpoint can go on with after its
//     last event, nor after the caller left or the deadline passed.
//  2. Work that was certainly not run (no connection was made, or the engine
//     said so) may be tried elsewhere whatever its class, because it did no
//     work; a once request only when it was never sent. It costs no budget,
//     since nothing runs twice, unless CountRefused is set and it was sent.
//  3. Work that may have run is tried again only when it is repeatable and the
//     budget allows it.
//  4. The budget is a share of the attempts that succeeded, not of those that
//     were made. So when a part of the endpoints fails, the retries that fall
//     on the others stay a fixed share of what the others answer, and when all
//     fail the retries stop.
//  5. The number of attempts of one request is bounded, and so is the number of
//     endpoints that it may be sent to, where the request says so.
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
	{Key: KnobShare, Title: "retries as a share of answers", Text: "Raise it only when failures are rare and short; the load in a failure grows by this share.",
		Unit: hbs.UnitShare, Default: 0.08, Min: 0, Max: 1},
	{Key: KnobBurst, Title: "unused retries that are kept", Text: "Lets a quiet model retry at all. It is also what a model starts with.",
		Unit: hbs.UnitCount, Default: 5, Min: 0, Max: 1000},
	{Key: KnobAttempts, Title: "attempts of one request", Text: "The first attempt counts.",
		Unit: hbs.UnitCount, Default: 3, Min: 1, Max: 10},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "retry_sent", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts after one that may have run", Action: "Look for failing endpoints."},
	{Name: "retry_moved", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts after one that was not run", Action: "Look for endpoints that are down, cut off or refuse work."},
	{Name: "retry_denied", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "retries that the budget did not allow", Action: "Many endpoints fail at once; callers get their errors. Mend the endpoints, don't raise the budget."},
}

// Policy decides on retries. Its fields are set before use.
type Policy struct {
	Budget  *Budget
	Knobs   hbs.Policy
	Metrics metrics.Registry
	// CountRefused makes an attempt after one that an endpoint refused cost budget,
	// where the bound is on what arrives at endpoints.
	CountRefused bool
}

// Allow reports whether a request whose latest attempt ended in res, and which
// had tries attempts of which so many were sent, is tried again. It takes from
// the budget.
func (p *Policy) Allow(req *hbs.Request, res *attempt.Result, tries, sent int) bool {
	scope := ScopeOf(req)
	switch {
	case res.Sent && res.LastEvent == "", res.End == hbs.EndComplete, res.End == hbs.EndCanceled: // rule 1
		return false
	case tries >= int(p.Knobs.Number(KnobAttempts, scope)), req.Attempts > 0 && sent >= req.Attempts: // rule 5
		return false
	case notRun(req, res): // rule 2
		if p.CountRefused && res.End == hbs.EndRefused && !p.Budget.Spend(scope) {
			p.count("retry_denied")
			return false
		}
		p.count("retry_moved")
		return true
	case req.Class != hbs.ClassRepeatable || !worth(res): // rule 3
		return false
	case !p.Budget.Spend(scope): // rule 4
		p.count("retry_denied")
		return false
	}
	p.count("retry_sent")
	return true
}

// notRun applies rule 2.
func notRun(req *hbs.Request, res *attempt.Result) bool {
	if r := res.Refusal; res.End == hbs.EndUnreached {
		return r != nil && r.Reason == hbs.ReasonConnect
	}
	return res.End == hbs.EndRefused && req.Class != hbs.ClassOnce
}

// worth reports whether another endpoint may answer better. An error below 500
// is the request's own fault, except that too many requests hit one endpoint.
func worth(res *attempt.Result) bool {
	if res.End == hbs.EndBroken {
		return true
	}
	if res.End != hbs.EndFailed {
		return false
	}
	// A status below 400 is that of a stream whose first event was an error.
	return res.Status < 400 || res.Status == http.StatusTooManyRequests || res.Status >= 500
}

func (p *Policy) count(name string) { metrics.GetOrRegisterCounter(name, p.Metrics).Inc(1) }

// ScopeOf returns the scope of a request's knobs.
func ScopeOf(req *hbs.Request) hbs.Scope {
	return hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service}
}
