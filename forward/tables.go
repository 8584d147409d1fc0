package forward

import hbs "github.com/hornbeamstage/hornbeamstage"

const (
	meterSent      = "forward_sent"
	meterUnreached = "forward_unreached"
	meterRefused   = "forward_refused"
	meterMismatch  = "forward_crossed"
	meterBroken    = "forward_broken"
	// meterStartedLate counts attempts ended by rule 8.
	meterStartedLate = "forward_started_late"
)

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: meterSent, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests sent to endpoints", Action: "None; compare with the number of requests to see retries."},
	{Name: meterUnreached, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts that sent nothing", Action: "Look for endpoints that are down or unreachable."},
	{Name: meterRefused, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts that the endpoint did not run", Action: "Endpoints are at capacity or changing their weights."},
	{Name: meterMismatch, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "answers discarded because they belong to another request, are refusals that name none, or have no receipt", Action: "Look at the endpoint; the answers were not delivered."},
	{Name: meterBroken, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "connections that broke before the answer was complete", Action: "Look for crashing endpoints and lossy links."},
	{Name: meterStartedLate, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts that waited at an engine until its weights were due for replacement", Action: "A rollout of weights is late. Look at the lines \"weights ordered\" and \"state of weights changed\"."},
}
