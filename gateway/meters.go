package gateway

import hbs "github.com/hornbeamstage/hornbeamstage"

const (
	meterRequests      = "gateway_requests"
	meterOutcomePrefix = "gateway_outcome_"
	meterReasonPrefix  = "gateway_reason_"
	meterCacheFailures = "gateway_cache_read_failures"
	meterTook          = "gateway_request_microseconds"
	meterFirst         = "gateway_first_write_microseconds"
)

// Meters documents the metrics of the package.
var Meters = append([]hbs.Meter{
	{Name: meterRequests, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests of callers on a hosting platform", Action: "None; compare instances to see whether the balancer spreads evenly."},
	{Name: meterTook, Kind: hbs.MeterHistogram, Unit: hbs.UnitCount, Title: "time of a request from its arrival to its end, refused ones included, in microseconds", Action: "Compare with gateway_first_write_microseconds: the difference is the length of the answers."},
	{Name: meterFirst, Kind: hbs.MeterHistogram, Unit: hbs.UnitCount, Title: "time from a request's arrival to the first byte of its answer's body, in microseconds", Action: "When it grows, look at predicted_wait in the attempts' lines: queues at endpoints, or this instance's own."},
	{Name: meterCacheFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "questions for an engine's cache events that failed", Action: "Engines that are down, or more instances than an engine lets read; placement then goes by what this instance sent."},
}, hbs.OutcomeMeters(meterOutcomePrefix, meterReasonPrefix)...)
