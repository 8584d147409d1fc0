package quarantine

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of the package.
const (
	KnobCrashes  hbs.KnobKey = "quarantine.crashes"
	KnobDuration hbs.KnobKey = "quarantine.duration"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobCrashes, Title: "crashes until a part of prompts or a request is quarantined", Text: "The number of engines that crashed, at different moments, under requests that have the part in common, or under one repeated request, without an answer to one in between. Lower values save engines; higher ones keep sound parts and requests from being blamed while engines crash for other reasons.",
		Unit: hbs.UnitCount, Default: 3, Min: 2, Max: 30},
	{Key: KnobDuration, Title: "first quarantine of a part or request", Text: "Each further quarantine of the same one lasts twice as long, up to four hours. Lower it if the cause of crashes is usually repaired sooner.",
		Unit: hbs.UnitDuration, Default: 600, Min: 10, Max: 14400},
}

const (
	meterCrashes       = "quarantine_crashes"
	meterQuarantined   = "quarantine_parts"
	meterWhole         = "quarantine_requests"
	meterReleased      = "quarantine_released"
	meterRefused       = "quarantine_refused"
	meterTrialsRefused = "quarantine_trials_refused"
	meterReports       = "quarantine_reports_written"
	meterOdd           = "quarantine_odd_entries"
)

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: meterCrashes, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts under which an engine crashed before it had answered", Action: "Look at the engines' logs. Lines 'engine crashed under a request' have the parts of the prompts and the requests' fingerprints."},
	{Name: meterQuarantined, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "parts of prompts quarantined because engines crashed on them", Action: "Lines 'part quarantined' name the part and the engines. Find out who sends it and why engines crash on it."},
	{Name: meterWhole, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests quarantined because engines crashed on them whenever they were repeated", Action: "Lines 'request quarantined' name the workspace, the request's fingerprint and the engines. Find out who sends it and why engines crash on it."},
	{Name: meterReleased, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "quarantines that ended", Action: "Released with 'answered': the part or request was sound, or the engines were repaired."},
	{Name: meterRefused, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "checks of requests that were kept from engines because of a quarantined part, or as quarantined themselves", Action: "Compare with gateway_requests. A large share means that a part which many requests have is quarantined."},
	{Name: meterTrialsRefused, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused because a suspect part, or a request with two crashes, is tried by one at a time", Action: "Engines crash under many kinds of requests. Look for lines 'part quarantined' and 'request quarantined'; without one, look for another cause."},
	{Name: meterReports, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "reports of crashes written to the store", Action: "None. Grows with crashes of engines."},
	{Name: meterOdd, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "entries of other instances' reports that were ignored", Action: "Look for another writer of the kind 'crashes' in the store, or for instances of another build."},
}
