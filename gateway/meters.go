package gateway

import hbs "github.com/hornbeamstage/hornbeamstage"

const (
	meterRequests      = "gateway_requests"
	meterOutcomePrefix = "gateway_outcome_"
	meterReasonPrefix  = "gateway_reason_"
	meterCacheFailures = "gateway_cache_read_failures"
)

// Meters documents the metrics of the package.
var Meters = append([]hbs.Meter{
	{Name: meterRequests, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests of callers on a hosting platform", Action: "None; compare instances to see whether the balancer spreads evenly."},
	{Name: meterCacheFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "questions for an engine's cache events that failed", Action: "Engines that are down, or more instances than an engine lets read; placement then goes by what this instance sent."},
}, hbs.OutcomeMeters(meterOutcomePrefix, meterReasonPrefix)...)
