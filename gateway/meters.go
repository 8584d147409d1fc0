package gateway

import hbs "github.com/hornbeamstage/hornbeamstage"

const (
	meterRequests      = "gateway_requests"
	meterOutcomePrefix = "gateway_outcome_"
	meterReasonPrefix  = "gateway_reason_"
	meterCacheFailures = "gateway_cache_read_failures"
	meterOddRecords    = "gateway_odd_records"
	meterDuration      = "gateway_request_microseconds"
	meterFirstWrite    = "gateway_first_write_microseconds"
)

// Meters documents the metrics of the package.
var Meters = append([]hbs.Meter{
	{Name: meterRequests, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests received from callers on a hosting platform", Action: "None. Compare instances to see whether the load balancer distributes requests evenly."},
	{Name: meterDuration, Kind: hbs.MeterHistogram, Unit: hbs.UnitCount, Title: "time from a request's arrival to its end, including refused requests, in microseconds", Action: "Compare with gateway_first_write_microseconds: the difference is the time that response bodies take."},
	{Name: meterFirstWrite, Kind: hbs.MeterHistogram, Unit: hbs.UnitCount, Title: "time from a request's arrival to the first byte of its response body, in microseconds", Action: "If it grows, look at predicted_wait in the log lines of attempts: requests queue at endpoints or in this instance."},
	{Name: meterCacheFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "failed polls of an engine's cache events", Action: "Engines are down, or more instances read from an engine than it allows. Placement then relies only on what this instance sent."},
	{Name: meterOddRecords, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "revisions of endpoint records that can't be decoded, or whose status can't", Action: "Another writer left a record that names no endpoint, or changed one; the others are used. The log lines record names no endpoint and endpoint status not decoded have its name."},
}, hbs.OutcomeMeters(meterOutcomePrefix, meterReasonPrefix)...)
