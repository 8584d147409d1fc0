package lease

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of leases.
const (
	KnobDuration      hbs.KnobKey = "lease.duration"
	KnobRenew         hbs.KnobKey = "lease.renew_interval"
	KnobMargin        hbs.KnobKey = "lease.margin"
	KnobOrderLifetime hbs.KnobKey = "lease.order_lifetime"
	KnobCallTimeout   hbs.KnobKey = "lease.call_timeout"
)

// Knobs documents the configurable values of leases.
var Knobs = []hbs.Knob{
	{Key: KnobDuration, Title: "duration of a lease after a renewal", Unit: hbs.UnitDuration, Default: 9, Min: 3, Max: 300,
		Text: "After a holder dies, no orders are sent for this long plus lease.order_lifetime; a planned stop releases the lease instead. Set it to at least three times lease.renew_interval."},
	{Key: KnobRenew, Title: "longest time between two renewals", Unit: hbs.UnitDuration, Default: 3, Min: 0.5, Max: 60,
		Text: "Each renewal is one write per failure domain, each check by the other candidate one read."},
	{Key: KnobMargin, Title: "time before the end of the lease at which the holder stops", Unit: hbs.UnitDuration, Default: 2, Min: 0.1, Max: 60,
		Text: "Must exceed the difference between the clocks of instances and engines."},
	{Key: KnobOrderLifetime, Title: "time for which an order is valid", Unit: hbs.UnitDuration, Default: 2, Min: 0.1, Max: 30,
		Text: "The next holder waits this long after the lease has expired; all instances must have the same value."},
	{Key: KnobCallTimeout, Title: "timeout of one renewal", Unit: hbs.UnitDuration, Default: 1, Min: 0.05, Max: 10,
		Text: "A renewal that takes longer is sent again at the next interval."},
}

const (
	meterTaken       = "lease_taken"
	meterRenewed     = "lease_renewed"
	meterRenewFailed = "lease_renew_failed"
	meterLost        = "lease_lost"
	meterReleased    = "lease_released"
	meterNotReleased = "lease_not_released"
	meterWrites      = "lease_platform_writes"
	meterReads       = "lease_platform_reads"
)

// Meters documents the metrics of leases.
var Meters = []hbs.Meter{
	{Name: meterTaken, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "lease terms started", Action: "Frequent terms mean that holders die or can't reach the platform."},
	{Name: meterRenewed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "renewals", Action: "None; it does not increase on instances that hold no lease."},
	{Name: meterRenewFailed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "renewals that are not known to have taken effect", Action: "Check the platform; if they continue, the lease is lost and orders stop."},
	{Name: meterLost, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "lease terms lost", Action: "As for lease_renew_failed; a pause of the process is the other possible cause."},
	{Name: meterReleased, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "leases released by a planned stop", Action: "None."},
	{Name: meterNotReleased, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "leases that a planned stop did not release, or did not confirm as released", Action: "Check the platform and the log; no orders are sent until the lease expires."},
	{Name: meterWrites, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "writes sent to the platform for leases", Action: "Compare with docs/CAPACITY.md."},
	{Name: meterReads, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "reads sent to the platform for leases", Action: "Compare with docs/CAPACITY.md."},
}
