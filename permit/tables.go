package permit

import hbs "github.com/hornbeamstage/hornbeamstage"

// The keys of the knobs of permits.
const (
	KnobDuration    hbs.KnobKey = "permit.duration"
	KnobRenew       hbs.KnobKey = "permit.renew_interval"
	KnobMaxWorkTime hbs.KnobKey = "permit.cover"
	KnobPoll        hbs.KnobKey = "permit.poll_interval"
	KnobCallTimeout hbs.KnobKey = "permit.call_timeout"
)

// Knobs documents the configurable values of permits.
var Knobs = []hbs.Knob{
	{Key: KnobDuration, Title: "time from a permit's renewal to its expiry", Unit: hbs.UnitDuration, Default: 20, Min: 3, Max: 3600,
		Text: "Must exceed permit.cover by several renewal intervals; the slot of an instance that died is free after this time."},
	{Key: KnobRenew, Title: "longest time between two renewals of a permit", Unit: hbs.UnitDuration, Default: 3, Min: 0.5, Max: 60,
		Text: "Each renewal is one write for each permit in use."},
	{Key: KnobMaxWorkTime, Title: "longest time from the order of a load to the end of the load", Unit: hbs.UnitDuration, Default: 8, Min: 1, Max: 3600,
		Text: "Must exceed the lifetime of an order and the slowest load; otherwise a load may still run after its permit expired."},
	{Key: KnobPoll, Title: "longest time between two searches for a free permit", Unit: hbs.UnitDuration, Default: 0.2, Min: 0.02, Max: 10,
		Text: "Each search is one read, by one goroutine of each instance that waits; a rollout loses half of this time for each load."},
	{Key: KnobCallTimeout, Title: "time limit for one write of a permit, including retries", Unit: hbs.UnitDuration, Default: 1, Min: 0.05, Max: 10,
		Text: "A renewal that takes longer is sent again at the next interval."},
}

const (
	meterTaken    = "permit_taken"
	meterLost     = "permit_lost"
	meterNotFreed = "permit_not_freed"
	meterWrites   = "permit_platform_writes"
	meterReads    = "permit_platform_reads"

	meterReadFailures = "permit_read_failures"
)

// Meters documents the metrics of permits.
var Meters = []hbs.Meter{
	{Name: meterTaken, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "permits taken", Action: "None."},
	{Name: meterLost, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "permits lost before they were freed", Action: "Look for pauses of the process or an outage of the platform."},
	{Name: meterNotFreed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "permits that could not be freed before they expire", Action: "Check the platform; the rollout waits for the expiry."},
	{Name: meterWrites, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "writes sent to the platform for permits", Action: "Compare with docs/CAPACITY.md."},
	{Name: meterReads, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "reads sent to the platform for permits", Action: "Compare with docs/CAPACITY.md."},
	{Name: meterReadFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "reads of permits that failed", Action: "Check the platform; the rollout waits meanwhile."},
}
