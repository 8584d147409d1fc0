package weights

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of rollouts.
const (
	KnobInterval      hbs.KnobKey = "rollout.interval"
	KnobSweep         hbs.KnobKey = "rollout.sweep_interval"
	KnobOutShare      hbs.KnobKey = "rollout.out_share"
	KnobDrainGrace    hbs.KnobKey = "rollout.drain_grace"
	KnobDrainPoll     hbs.KnobKey = "rollout.drain_poll_interval"
	KnobDrainPatience hbs.KnobKey = "rollout.drain_patience"
	KnobUnheardWait   hbs.KnobKey = "rollout.unheard_wait"
	KnobReportTimeout hbs.KnobKey = "rollout.report_timeout"
	KnobLoadPatience  hbs.KnobKey = "rollout.load_patience"
	KnobStopPatience  hbs.KnobKey = "rollout.stop_patience"
)

// Knobs documents the configurable values of rollouts.
var Knobs = []hbs.Knob{
	{Key: KnobInterval, Title: "longest time between two rounds of a rollout", Unit: hbs.UnitDuration, Default: 2, Min: 0.2, Max: 300,
		Text: "Each round reads the state of the engines that are not as wanted, by the holder of the domain's lease."},
	{Key: KnobSweep, Title: "longest time between two looks at an engine that is as wanted", Unit: hbs.UnitDuration, Default: 30, Min: 1, Max: 3600,
		Text: "Finds engines that took an order of somebody else, or restarted without being noticed. Costs one read of each engine's state."},
	{Key: KnobOutShare, Title: "share of a model's engines that may be drained at once", Unit: hbs.UnitShare, Default: 0.17, Min: 0.01, Max: 0.9,
		Text: "More lets engines drain while others load and shortens a rollout; less keeps more capacity. At least one, at most all but one."},
	{Key: KnobDrainGrace, Title: "time until a drain is in force everywhere", Unit: hbs.UnitDuration, Default: 3, Min: 0, Max: 60,
		Text: "Work that reaches an engine later than this is cut by the load, or refused by the engine for its weights."},
	{Key: KnobDrainPoll, Title: "time between two reads of a drained engine's load", Unit: hbs.UnitDuration, Default: 0.2, Min: 0.02, Max: 10,
		Text: "A rollout loses half of this where draining is what it waits for."},
	{Key: KnobDrainPatience, Title: "time that streams get to end", Unit: hbs.UnitDuration, Default: 600, Min: 1, Max: 86400,
		Text: "An engine with longer streams is put back and tried again in a later round."},
	{Key: KnobUnheardWait, Title: "wait for instances that say nothing of their work on a drained engine without load reports", Unit: hbs.UnitDuration, Default: 600, Min: 10, Max: 86400,
		Text: "At least the longest deadline of your callers (entry.default_deadline): work that such an instance still has after it is cut by the load."},
	{Key: KnobReportTimeout, Title: "time for one load report", Unit: hbs.UnitDuration, Default: 1, Min: 0.05, Max: 10,
		Text: "Raise it for engines that answer slowly."},
	{Key: KnobLoadPatience, Title: "time that a load may take", Unit: hbs.UnitDuration, Default: 60, Min: 1, Max: 3600,
		Text: "The engine stays drained after it and is tried again in the next round."},
	{Key: KnobStopPatience, Title: "time that a load under way gets to end when its instance stops", Unit: hbs.UnitDuration, Default: 5, Min: 0, Max: 300,
		Text: "Above the time of a load. A load that takes longer goes on without the holder, and its permits lapse."},
}

const (
	meterLoaded = "rollout_loaded"
	meterFailed = "rollout_step_failed"
	meterBusy   = "rollout_busy"
	// meterUnheard counts ends of rollout.unheard_wait.
	meterUnheard = "rollout_unheard"
)

// Meters documents the metrics of rollouts.
var Meters = []hbs.Meter{
	{Name: meterLoaded, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "engines brought to other weights", Action: "None."},
	{Name: meterFailed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "steps that failed and are tried again", Action: "The log names the engine; look at it if the count grows on."},
	{Name: meterBusy, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "engines put back because their streams went on", Action: "Raise rollout.drain_patience, or find out who streams for so long."},
	{Name: meterUnheard, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "engines without load reports that were ordered without word of all instances", Action: "The log names the instances: dead ones are none of your concern; find out why a live one is not heard."},
}
