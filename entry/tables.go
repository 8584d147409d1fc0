package entry

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of this package.
const (
	KnobDefaultDeadline hbs.KnobKey = "entry.default_deadline"
	KnobExpectedTokens  hbs.KnobKey = "entry.expected_tokens"
)

// Knobs documents the configurable values of this package.
var Knobs = []hbs.Knob{
	{Key: KnobDefaultDeadline, Title: "Deadline of requests that set none", Text: "Lower it for workspaces whose callers time out earlier without setting a deadline.",
		Unit: hbs.UnitDuration, Default: 600, Min: 0.1, Max: 86400},
	{Key: KnobExpectedTokens, Title: "Answer length of requests without max_tokens", Text: "Set it close to the typical answer length of a model, so that short and long requests can be distinguished.",
		Unit: hbs.UnitTokens, Default: 256, Min: 1, Max: 1e6},
}

// The metrics of this package.
const (
	MeterRequests      = "entry_requests"
	MeterPanics        = "entry_panics"
	MeterReplays       = "entry_replays"
	MeterUnsettled     = "entry_unsettled_claims"
	meterOutcomePrefix = "entry_outcome_"
	meterReasonPrefix  = "entry_reason_"
)

// Meters documents the metrics of this package.
var Meters = append([]hbs.Meter{
	{Name: MeterRequests, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "Requests of callers", Action: "None; compare instances to see whether the load balancer distributes requests evenly."},
	{Name: MeterPanics, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "Requests whose handler panicked", Action: "Report the logged stack as a bug; the caller received the outcome unknown."},
	{Name: MeterReplays, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "Answers replayed from the record of an earlier request", Action: "None; callers retried with the same idempotency key."},
	{Name: MeterUnsettled, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "Claims whose outcome could not be recorded immediately", Action: "Check the platform; callers' retries are refused with claim_open until the claim is settled."},
}, hbs.OutcomeMeters(meterOutcomePrefix, meterReasonPrefix)...)
