package gateway

import hbs "github.com/hornbeamstage/hornbeamstage"

const (
	meterRequests      = "gateway_requests"
	meterOutcomePrefix = "gateway_outcome_"
	meterReasonPrefix  = "gateway_reason_"
)

// Meters documents the metrics of the package.
var Meters = append([]hbs.Meter{
	{Name: meterRequests, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests of callers on a hosting platform", Action: "None; compare instances to see whether the balancer spreads evenly."},
}, hbs.OutcomeMeters(meterOutcomePrefix, meterReasonPrefix)...)
