package membership

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of membership.
const (
	KnobRefresh        hbs.KnobKey = "membership.refresh_interval"
	KnobProbeInterval  hbs.KnobKey = "membership.probe_interval"
	KnobProbeMax       hbs.KnobKey = "membership.probe_interval_max"
	KnobProbeTimeout   hbs.KnobKey = "membership.probe_timeout"
	KnobRegisterSpread hbs.KnobKey = "membership.register_spread"
	KnobForget         hbs.KnobKey = "membership.forget_after"
)

// Knobs documents the knobs of membership.
var Knobs = []hbs.Knob{
	{Key: KnobRefresh, Unit: hbs.UnitDuration, Default: 0.25, Min: 0.05, Max: 5,
		Title: "time between two looks at who is silent", Text: "Changes that are told come into force at once; this is for those that are not."},
	{Key: KnobProbeInterval, Unit: hbs.UnitDuration, Default: 0.2, Min: 0.05, Max: 10,
		Title: "first pause between two probes of a suspect endpoint", Text: "It doubles up to membership.probe_interval_max."},
	{Key: KnobProbeMax, Unit: hbs.UnitDuration, Default: 2, Min: 0.2, Max: 60,
		Title: "longest pause between two probes", Text: "It bounds how late a returned endpoint gets work again."},
	{Key: KnobProbeTimeout, Unit: hbs.UnitDuration, Default: 0.5, Min: 0.05, Max: 10,
		Title: "time a probe may take", Text: "Raise it for endpoints that answer slowly under load."},
	{Key: KnobRegisterSpread, Unit: hbs.UnitDuration, Default: 0.5, Min: 0, Max: 60,
		Title: "time over which starting instances spread their registration", Text: "Raise it for fleets whose instances restart all at once."},
	{Key: KnobForget, Unit: hbs.UnitDuration, Default: 600, Min: 30, Max: 86400,
		Title: "silence after which an instance's record is deleted", Text: "Only records of the own domain, by its chosen instances."},
}

const (
	meterEndpoints        = "membership_endpoints"
	meterSuspects         = "membership_endpoints_suspect"
	meterInstances        = "membership_instances"
	meterFaulty           = "membership_records_faulty"
	meterSuspected        = "membership_suspicions"
	meterProbes           = "membership_probes"
	meterRegisterFailures = "membership_register_failures"
	meterForgotten        = "membership_instances_forgotten"
)

// Meters documents the metrics of membership.
var Meters = []hbs.Meter{
	{Name: meterEndpoints, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "endpoints known, in any state",
		Action: "Below the platform's list: this instance is behind; see mirror_list_failures and peer_pulls."},
	{Name: meterSuspects, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "endpoints that could not be reached and are probed",
		Action: "Look at these endpoints; they return by themselves when they answer."},
	{Name: meterInstances, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "instances known, this one included",
		Action: "Below the fleet's size: instances are down, or this one is cut off."},
	{Name: meterFaulty, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "endpoint records that were not understood",
		Action: "The platform's list holds records that break docs/protocols.md; mend them."},
	{Name: meterSuspected, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "times an endpoint became suspect",
		Action: "Steady growth for one endpoint: it flaps. Drain it with hornbeamctl."},
	{Name: meterProbes, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "probes finished",
		Action: "Follows the suspicions; no action."},
	{Name: meterRegisterFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "failed tries to register this instance",
		Action: "The platform is out or refuses; peers know this instance by its heartbeats meanwhile."},
	{Name: meterForgotten, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "records of silent instances deleted",
		Action: "Follows crashes; no action."},
}
