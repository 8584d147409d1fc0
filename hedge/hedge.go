// Package hedge decides when a second attempt of a slow request is started
// beside the first.
//
// Rules:
//
//  1. Only repeatable requests are hedged, once, and only while nothing of an
//     answer has arrived.
//  2. The second attempt starts when the first is past the predicted tail of
//     its time to the first token, lengthened by the delay that admission has
//     learned, and not before KnobFloor. There is none when that delay is above
//     KnobDelay: the endpoints are slow altogether then, and a second attempt
//     adds to what slows them.
//  3. Hedges are a bounded share of the answers. There are none while retries
//     use up their own share: both together would add more to the load of the
//     endpoints that are left than a failure may.
//  4. A hedge goes only to an endpoint with room at once. It is never queued.
//  5. The attempt whose answer starts first wins; the other is cancelled and
//     what it cost is counted.
//  6. A prompt that computes for longer than KnobCompute is not hedged: the
//     second attempt computes as long again and comes too late.
//  7. An engine's answer that is not streamed tells nothing before its end, so
//     it is not hedged.
//  8. Half of the unused hedges are kept for attempts at endpoints that are
//     judged slow, where nine of ten hedges win and one of three elsewhere. A
//     hedge that was refused is asked for again while the attempt waits, since
//     the judgement may come later than the tail. Such attempts are hedged past
//     the tail of an endpoint of ordinary speed.
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
	// KnobCompute bounds what a hedge may compute.
	KnobCompute hbs.KnobKey = "hedge.compute"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobOn, Title: "hedging", Text: "Turn it off when the endpoints are overloaded for long.",
		Unit: hbs.UnitSwitch, Default: 1, Min: 0, Max: 1},
	{Key: KnobShare, Title: "hedges as a share of answers", Text: "The endpoints' load grows by at most this share.",
		Unit: hbs.UnitShare, Default: 0.06, Min: 0, Max: 0.5},
	{Key: KnobBurst, Title: "unused hedges that are kept", Text: "Lets several requests of one slow endpoint be hedged together.",
		Unit: hbs.UnitCount, Default: 8, Min: 0, Max: 1000},
	{Key: KnobFloor, Title: "least wait before a hedge", Text: "Keeps predictions that are too low from starting hedges.",
		Unit: hbs.UnitDuration, Default: 0.15, Min: 0, Max: 60},
	{Key: KnobDelay, Title: "delay of all endpoints above which none is hedged", Text: "Measured over predicted time to the first token. Raise it only when the endpoints have room.",
		Unit: hbs.UnitDuration, Default: 0.3, Min: 0, Max: 60},
	{Key: KnobCompute, Title: "computation of a prompt above which it is not hedged", Text: "Predicted time without waits. A second attempt would compute for as long again. Raise it when engines compute long prompts without interruption.",
		Unit: hbs.UnitDuration, Default: 0.5, Min: 0, Max: 60},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "hedge_sent", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "second attempts started", Action: "Look for slow endpoints."},
	{Name: "hedge_won", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "second attempts that answered first", Action: "When few of the sent ones win, raise hedge.floor."},
	{Name: "hedge_denied", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "hedges that the budget did not allow", Action: "Many endpoints are slow at once; look at the load."},
	{Name: "hedge_lost_milliseconds", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "time that cancelled attempts ran", Action: "The cost of hedging in endpoint time."},
}

// Policy decides on hedges. Its fields are set before use.
type Policy struct {
	Budget *retry.Budget
	// Retries is the budget of the retries.
	Retries *retry.Budget
	Knobs   hbs.Policy
	Metrics metrics.Registry
}

// After returns the time after which the attempt placed at p is hedged, and
// whether it may be at all (rules 1, 2, 6 and 7). delay is what times to the first
// token exceed their predictions by, slowness how many times slower than it
// should be the endpoint is.
func (p *Policy) After(req *hbs.Request, at *hbs.Placement, delay time.Duration, slowness float64) (time.Duration, bool) {
	scope := retry.ScopeOf(req)
	if req.Class != hbs.ClassRepeatable || at.Tail <= 0 || p.Knobs.Number(KnobOn, scope) == 0 {
		return 0, false
	}
	if at.Endpoint.Kind == hbs.KindEngine && !req.Stream {
		return 0, false
	}
	// What the attempt would take at an endpoint of ordinary speed.
	ordinary := func(d time.Duration) time.Duration { return time.Duration(float64(d) / slowness) }
	if delay > p.Knobs.Duration(KnobDelay, scope) || ordinary(at.FirstToken-at.Wait) > p.Knobs.Duration(KnobCompute, scope) {
		return 0, false
	}
	return max(ordinary(at.Tail), ordinary(at.FirstToken)+delay, p.Knobs.Duration(KnobFloor, scope)), true
}

// Allow takes a hedge of an attempt at an endpoint of such slowness from the
// budget (rules 3 and 8).
func (p *Policy) Allow(req *hbs.Request, slowness float64) bool {
	scope := retry.ScopeOf(req)
	spend := p.Budget.SpendAmple
	if slowness > 1 {
		spend = p.Budget.Spend
	}
	if !p.Retries.Ample(scope) || !spend(scope) {
		return false
	}
	p.count("hedge_sent", 1)
	return true
}

// Denied counts a hedge that was refused when it was first asked for.
func (p *Policy) Denied() { p.count("hedge_denied", 1) }

// Refund gives back a hedge that found no room (rule 4).
func (p *Policy) Refund(req *hbs.Request) {
	p.Budget.Refund(retry.ScopeOf(req))
	p.count("hedge_sent", -1)
}

// Won counts a second attempt that answered first.
func (p *Policy) Won() { p.count("hedge_won", 1) }

// Lost counts the cost of a cancelled attempt (rule 5).
func (p *Policy) Lost(res *attempt.Result) {
	p.count("hedge_lost_milliseconds", res.Duration.Milliseconds())
}

func (p *Policy) count(name string, n int64) { metrics.GetOrRegisterCounter(name, p.Metrics).Inc(n) }
