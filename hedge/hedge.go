// Package hedge decides when a second attempt of a slow request is started
// concurrently with the first.
//
// Rules:
//
//  1. Only repeatable requests are hedged, once, and only before any part of a
//     response has arrived.
//  2. The second attempt starts when the first has exceeded the predicted 95th
//     percentile of its time to first token or, if that is later, the predicted
//     time plus the delay that admission has measured, but not before KnobFloor.
//     There is no hedge if that delay is above KnobDelay: then all endpoints are
//     slow, and a second attempt would add to their load.
//  3. Hedges are a bounded share of the successful responses. There are none while
//     less than half of the retry budget is left: hedges and retries together
//     would add more load to the remaining endpoints than is allowed during a
//     failure.
//  4. A hedge is sent only to an endpoint that has capacity at once. It is never
//     queued.
//  5. The attempt whose response starts first wins; the other one is canceled and
//     its cost is counted.
//  6. A prompt whose computation takes longer than KnobCompute is not hedged: the
//     second attempt would compute for as long again and come too late.
//  7. A response of an engine that is not streamed shows no progress before its
//     end, so its request is not hedged.
//  8. Half of the hedge burst is reserved for attempts at endpoints that are
//     detected as slow. Nine of ten hedges win there, and one of three elsewhere. A
//     hedge that was denied is requested again while the attempt waits, since an
//     endpoint may be detected as slow only after the 95th percentile has passed.
//     For a slow endpoint, the times of rule 2 are those of an endpoint of normal
//     speed.
package hedge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/retry"
)

// The knobs of the package.
const (
	KnobOn    hbs.KnobKey = "hedge.on"
	KnobShare hbs.KnobKey = "hedge.share"
	KnobBurst hbs.KnobKey = "hedge.burst"
	KnobFloor hbs.KnobKey = "hedge.floor"
	KnobDelay hbs.KnobKey = "hedge.delay"
	// KnobCompute bounds the computation of a hedged prompt.
	KnobCompute hbs.KnobKey = "hedge.compute"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobOn, Title: "hedging", Text: "Turn it off when the endpoints are overloaded for long.",
		Unit: hbs.UnitSwitch, Default: 1, Min: 0, Max: 1},
	{Key: KnobShare, Title: "hedges as a share of successful responses", Text: "The load of the endpoints grows by at most this share.",
		Unit: hbs.UnitShare, Default: 0.06, Min: 0, Max: 0.5},
	{Key: KnobBurst, Title: "burst of hedges", Text: "Unused hedges accumulate up to this number, so that several requests at one slow endpoint can be hedged together.",
		Unit: hbs.UnitCount, Default: 8, Min: 0, Max: 1000},
	{Key: KnobFloor, Title: "shortest wait before a hedge", Text: "Prevents hedges that start only because a prediction is too low.",
		Unit: hbs.UnitDuration, Default: 0.15, Min: 0, Max: 60},
	{Key: KnobDelay, Title: "delay of all endpoints above which there are no hedges", Text: "The delay is by how much the measured time to first token exceeds the predicted one. Raise it only if the endpoints have spare capacity.",
		Unit: hbs.UnitDuration, Default: 0.3, Min: 0, Max: 60},
	{Key: KnobCompute, Title: "computation time of a prompt above which it is not hedged", Text: "Predicted time without queueing. A second attempt would compute for as long again. Raise it if engines compute long prompts without interruption.",
		Unit: hbs.UnitDuration, Default: 0.5, Min: 0, Max: 60},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "hedge_sent", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "second attempts started", Action: "Look for slow endpoints."},
	{Name: "hedge_won", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "second attempts whose response started first", Action: "If few of hedge_sent win, raise hedge.floor."},
	{Name: "hedge_denied", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "hedges that the budget did not allow", Action: "Many endpoints are slow at once; look at the load."},
	{Name: "hedge_lost_milliseconds", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "run time of attempts canceled because another one won", Action: "None; it is the cost of hedging in endpoint time."},
}

// Policy decides whether and when requests are hedged. Its fields are set before
// use.
type Policy struct {
	// Budget is the budget of the hedges.
	Budget *retry.Budget
	// Retries is the budget of the retries (rule 3).
	Retries *retry.Budget
	Knobs   hbs.Policy
	Metrics metrics.Registry
}

// After returns the time after which the attempt at the given placement is hedged,
// and whether it may be hedged at all (rules 1, 2, 6 and 7). delay is by how much
// times to first token exceed their predictions; slowness is the factor by which
// the endpoint is slower than expected, at least 1.
func (p *Policy) After(req *hbs.Request, placement *hbs.Placement, delay time.Duration, slowness float64) (time.Duration, bool) {
	scope := retry.ScopeOf(req)
	if req.Class != hbs.ClassRepeatable || placement.FirstTokenP95 <= 0 || p.Knobs.Number(KnobOn, scope) == 0 {
		return 0, false
	}
	if placement.Endpoint.Kind == hbs.KindEngine && !req.Stream {
		return 0, false
	}
	// atNormalSpeed converts a predicted time to that of an endpoint of normal speed.
	atNormalSpeed := func(d time.Duration) time.Duration { return time.Duration(float64(d) / slowness) }
	if delay > p.Knobs.Duration(KnobDelay, scope) || atNormalSpeed(placement.FirstToken-placement.Wait) > p.Knobs.Duration(KnobCompute, scope) {
		return 0, false
	}
	return max(atNormalSpeed(placement.FirstTokenP95), atNormalSpeed(placement.FirstToken)+delay, p.Knobs.Duration(KnobFloor, scope)), true
}

// Allow spends one hedge of an attempt at an endpoint of the given slowness, and
// reports whether the budget permits it (rules 3 and 8).
func (p *Policy) Allow(req *hbs.Request, slowness float64) bool {
	scope := retry.ScopeOf(req)
	spend := p.Budget.SpendIfHalfFull
	if slowness > 1 {
		spend = p.Budget.Spend
	}
	if !p.Retries.HalfFull(scope) || !spend(scope) {
		return false
	}
	p.count("hedge_sent", 1)
	return true
}

// CountDenied counts a hedge whose first request was denied by the budget.
func (p *Policy) CountDenied() { p.count("hedge_denied", 1) }

// Refund returns a hedge to the budget when no endpoint had capacity (rule 4).
func (p *Policy) Refund(req *hbs.Request) {
	p.Budget.Refund(retry.ScopeOf(req))
	p.count("hedge_sent", -1)
}

// CountWon counts a hedge whose response started first.
func (p *Policy) CountWon() { p.count("hedge_won", 1) }

// CountLost counts the cost of the attempt that lost (rule 5).
func (p *Policy) CountLost(res *attempt.Result) {
	p.count("hedge_lost_milliseconds", res.Duration.Milliseconds())
}

func (p *Policy) count(name string, n int64) { metrics.GetOrRegisterCounter(name, p.Metrics).Inc(n) }
