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
	KnobMaxBytes       hbs.KnobKey = "attempt.max_bytes"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobConnectTimeout, Title: "connect timeout", Text: "Longest time to connect to an endpoint. Raise it for endpoints with a long round-trip time.",
		Unit: hbs.UnitDuration, Default: 0.5, Min: 0.01, Max: 10},
	{Key: KnobStallFirst, Title: "shortest timeout for the first event", Text: "An attempt without a first event is abandoned after this time or after attempt.stall_factor times the predicted time, whichever is longer.",
		Unit: hbs.UnitDuration, Default: 10, Min: 0.1, Max: 600},
	{Key: KnobStallFactor, Title: "timeout for the first event as a multiple of its predicted time", Text: "Lower it to abandon stuck endpoints sooner.",
		Unit: hbs.UnitCount, Default: 4, Min: 1, Max: 100},
	{Key: KnobStallNext, Title: "longest pause within a response", Text: "A stream that pauses longer is resumed or ended with an error.",
		Unit: hbs.UnitDuration, Default: 5, Min: 0.1, Max: 600},
	{Key: KnobStallToken, Title: "timeout for each expected token of a response that is not streamed", Text: "Added to the timeout for the first event.",
		Unit: hbs.UnitDuration, Default: 0.5, Min: 0.001, Max: 10},
	{Key: KnobResumeWindow, Title: "time to resume a broken stream", Text: "The engine retains a stream for this time after its connection broke.",
		Unit: hbs.UnitDuration, Default: 2, Min: 0.1, Max: 60},
	{Key: KnobWholeBytes, Title: "size up to which a response is buffered", Text: "A response that is not streamed is buffered up to this size, so that a broken one can be retried without the caller seeing part of it.",
		Unit: hbs.UnitBytes, Default: 1 << 20, Min: 0, Max: 1 << 24},
	{Key: KnobMaxBytes, Title: "largest response", Text: "A response that exceeds it is broken off, because its endpoint may never end it. Raise it for services with longer responses.",
		Unit: hbs.UnitBytes, Default: 1 << 26, Min: 1 << 10, Max: 1 << 32},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "attempt_dispatches", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests sent to endpoints", Action: "None; compare with requests to see retries and hedges."},
	{Name: "attempt_unreached", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts that ended before the request was sent", Action: "Look for endpoints that are down or unreachable."},
	{Name: "attempt_broken", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "connections that broke before the response was complete", Action: "Look for crashing endpoints and lossy links."},
	{Name: "attempt_crossed", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "responses dropped because they named another attempt or weights version", Action: "Check the endpoint's proxy and its weights; the responses were not delivered."},
	{Name: "attempt_stalls", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts abandoned because nothing arrived within the stall timeout", Action: "Look for stuck engines; lower attempt.stall_next if callers wait too long."},
	{Name: "attempt_resumes", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "broken streams that were resumed", Action: "None; many of them point to lossy links."},
	{Name: "attempt_cancels", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "cancel requests sent to engines for streams", Action: "None; many of them point to callers that disconnect early or to hedges."},
	{Name: "attempt_cancel_failures", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "cancel requests that the engine did not confirm", Action: "None; the engine ends the work by itself after the resume window."},
}
