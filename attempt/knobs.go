package attempt

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of the package.
const (
	KnobConnectTimeout hbs.KnobKey = "attempt.connect_timeout"
	KnobStallFirst     hbs.KnobKey = "attempt.stall_first"
	KnobStallFactor    hbs.KnobKey = "attempt.stall_factor"
	KnobStallNext      hbs.KnobKey = "attempt.stall_next"
	KnobStallToken     hbs.KnobKey = "attempt.stall_token"
	KnobResumeWindow   hbs.KnobKey = "attempt.resume_window"
	KnobWholeBytes     hbs.KnobKey = "attempt.whole_bytes"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobConnectTimeout, Title: "time to connect", Text: "Longest time for a connection to an endpoint. Raise it for far endpoints.",
		Unit: hbs.UnitDuration, Default: 0.5, Min: 0.01, Max: 10},
	{Key: KnobStallFirst, Title: "least wait for the first event", Text: "An attempt without a first event is given up after this time or after stall_factor times its prediction, whichever is longer.",
		Unit: hbs.UnitDuration, Default: 10, Min: 0.1, Max: 600},
	{Key: KnobStallFactor, Title: "wait for the first event over its prediction", Text: "Lower it to leave stuck endpoints sooner.",
		Unit: hbs.UnitCount, Default: 4, Min: 1, Max: 100},
	{Key: KnobStallNext, Title: "longest pause within an answer", Text: "A stream that pauses longer is resumed or ended with an error.",
		Unit: hbs.UnitDuration, Default: 5, Min: 0.1, Max: 600},
	{Key: KnobStallToken, Title: "wait for each expected token of an answer that is not streamed", Text: "Is added to the wait for the first event.",
		Unit: hbs.UnitDuration, Default: 0.5, Min: 0.001, Max: 10},
	{Key: KnobResumeWindow, Title: "time to resume a broken stream", Text: "The engine keeps a stream for this time after its connection broke.",
		Unit: hbs.UnitDuration, Default: 2, Min: 0.1, Max: 60},
	{Key: KnobWholeBytes, Title: "answer held until whole", Text: "An answer that is not streamed is held up to this size, so that a broken one can be retried and the caller never sees part of it.",
		Unit: hbs.UnitBytes, Default: 1 << 20, Min: 0, Max: 1 << 24},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "attempt_dispatches", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests sent to endpoints", Action: "None; compare with requests to see retries and hedges."},
	{Name: "attempt_unreached", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts without a connection or with a closed gate", Action: "Look for endpoints that are down or cut off."},
	{Name: "attempt_broken", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "connections that broke before the answer was whole", Action: "Look for crashing endpoints and lossy links."},
	{Name: "attempt_crossed", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "answers dropped because they belonged to another attempt or weights version", Action: "Look at the endpoint's proxy and its weights; the answers were not delivered."},
	{Name: "attempt_stalls", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts given up because nothing arrived for too long", Action: "Look for stuck engines; lower attempt.stall_next if callers wait too long."},
	{Name: "attempt_resumes", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "broken streams that were resumed", Action: "None; many of them point to lossy links."},
	{Name: "attempt_cancels", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "streams cancelled on engines", Action: "None; many of them point to impatient callers or hedges."},
	{Name: "attempt_cancel_failures", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "cancels that the engine did not confirm", Action: "The engine ends the work after the resume window by itself."},
}
