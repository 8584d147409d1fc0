package membership

import hbs "github.com/hornbeamstage/hornbeamstage"

// The keys of the knobs of membership.
const (
	KnobRefresh        hbs.KnobKey = "membership.refresh_interval"
	KnobProbeInterval  hbs.KnobKey = "membership.probe_interval"
	KnobProbeMax       hbs.KnobKey = "membership.probe_interval_max"
	KnobProbeTimeout   hbs.KnobKey = "membership.probe_timeout"
	KnobRegisterSpread hbs.KnobKey = "membership.register_spread"
	KnobStaleRecordAge hbs.KnobKey = "membership.forget_after"
)

// Knobs documents the knobs of membership.
var Knobs = []hbs.Knob{
	{Key: KnobRefresh, Unit: hbs.UnitDuration, Default: 0.25, Min: 0.05, Max: 5,
		Title: "interval between checks for missing heartbeats", Text: "Reported changes apply at once; missing heartbeats are only noticed at this interval."},
	{Key: KnobProbeInterval, Unit: hbs.UnitDuration, Default: 0.2, Min: 0.05, Max: 10,
		Title: "first interval between two probes of a suspect endpoint", Text: "It doubles up to membership.probe_interval_max."},
	{Key: KnobProbeMax, Unit: hbs.UnitDuration, Default: 2, Min: 0.2, Max: 60,
		Title: "longest interval between two probes", Text: "It bounds how long a recovered endpoint waits for new work."},
	{Key: KnobProbeTimeout, Unit: hbs.UnitDuration, Default: 0.5, Min: 0.05, Max: 10,
		Title: "timeout of a probe", Text: "Raise it for endpoints that answer slowly under load."},
	{Key: KnobRegisterSpread, Unit: hbs.UnitDuration, Default: 0.5, Min: 0, Max: 60,
		Title: "interval over which starting instances spread their registration", Text: "Raise it for fleets whose instances restart all at once."},
	{Key: KnobStaleRecordAge, Unit: hbs.UnitDuration, Default: 600, Min: 30, Max: 86400,
		Title: "time without heartbeats after which an instance's record is deleted", Text: "Only representatives delete records, and only those of their own domain."},
}

const (
	meterEndpoints        = "membership_endpoints"
	meterSuspects         = "membership_endpoints_suspect"
	meterInstances        = "membership_instances"
	meterInvalidRecords   = "membership_records_faulty"
	meterSuspicions       = "membership_suspicions"
	meterProbes           = "membership_probes"
	meterRegisterFailures = "membership_register_failures"
	meterRecordsDeleted   = "membership_instances_forgotten"
)

// Meters documents the metrics of membership.
var Meters = []hbs.Meter{
	{Name: meterEndpoints, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "endpoints known, in any state",
		Action: "Below the platform's list: this instance's copy is out of date; see mirror_list_failures and peer_pulls."},
	{Name: meterSuspects, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "endpoints that could not be reached and are probed",
		Action: "Check these endpoints; they get work again as soon as they answer a probe."},
	{Name: meterInstances, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "instances known, this one included",
		Action: "Below the fleet's size: instances are down, or this one is partitioned from them."},
	{Name: meterInvalidRecords, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "endpoint records that could not be decoded",
		Action: "The platform's list holds records that violate docs/protocols.md; correct them."},
	{Name: meterSuspicions, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "transitions of an endpoint to suspect",
		Action: "Steady growth for one endpoint: it is flapping. Drain it with hornbeamctl."},
	{Name: meterProbes, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "completed probes",
		Action: "Grows with membership_suspicions; no action."},
	{Name: meterRegisterFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "failed attempts to register this instance",
		Action: "The platform is unavailable or rejects the call; meanwhile peers know this instance by its heartbeats."},
	{Name: meterRecordsDeleted, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "deleted records of instances without heartbeats",
		Action: "Grows with crashes; no action."},
}
