package weights

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of rollouts.
const (
	KnobInterval       hbs.KnobKey = "rollout.interval"
	KnobSweep          hbs.KnobKey = "rollout.sweep_interval"
	KnobDrainShare     hbs.KnobKey = "rollout.out_share"
	KnobDrainGrace     hbs.KnobKey = "rollout.drain_grace"
	KnobDrainPoll      hbs.KnobKey = "rollout.drain_poll_interval"
	KnobDrainPatience  hbs.KnobKey = "rollout.drain_patience"
	KnobUnreportedWait hbs.KnobKey = "rollout.unheard_wait"
	KnobReportTimeout  hbs.KnobKey = "rollout.report_timeout"
	KnobLoadPatience   hbs.KnobKey = "rollout.load_patience"
	KnobStopPatience   hbs.KnobKey = "rollout.stop_patience"
)

// Knobs documents the configurable values of rollouts.
var Knobs = []hbs.Knob{
	{Key: KnobInterval, Title: "longest time between two rounds of a rollout", Unit: hbs.UnitDuration, Default: 2, Min: 0.2, Max: 300,
		Text: "In each round the holder of the domain's lease reads the state of the engines that do not match the wanted state."},
	{Key: KnobSweep, Title: "longest time between two checks of an engine that matches the wanted state", Unit: hbs.UnitDuration, Default: 30, Min: 1, Max: 3600,
		Text: "Finds engines that took an order from another source or restarted unnoticed. Costs one read of each engine's state."},
	{Key: KnobDrainShare, Title: "share of a model's engines that may be drained at once", Unit: hbs.UnitShare, Default: 0.17, Min: 0.01, Max: 0.9,
		Text: "A larger share lets engines drain while others load and shortens a rollout; a smaller one keeps more capacity. At least one engine and at most all but one are drained."},
	{Key: KnobDrainGrace, Title: "time until a drain is in effect on all instances", Unit: hbs.UnitDuration, Default: 3, Min: 0, Max: 60,
		Text: "Work that reaches an engine later than this is cut by the load, or refused because the engine has other weights."},
	{Key: KnobDrainPoll, Title: "time between two reads of a drained engine's load", Unit: hbs.UnitDuration, Default: 0.2, Min: 0.02, Max: 10,
		Text: "On average an engine is idle for half of this before its drain is found complete."},
	{Key: KnobDrainPatience, Title: "time that the streams of a drained engine get to end", Unit: hbs.UnitDuration, Default: 600, Min: 1, Max: 86400,
		Text: "An engine with longer streams is restored and tried again in a later round."},
	{Key: KnobUnreportedWait, Title: "wait for instances that do not report their work on a drained engine without load reports", Unit: hbs.UnitDuration, Default: 600, Min: 10, Max: 86400,
		Text: "Set it to at least the longest deadline of your callers (entry.default_deadline): when it expires, the load cuts the work that such an instance still has."},
	{Key: KnobReportTimeout, Title: "timeout of one load report", Unit: hbs.UnitDuration, Default: 1, Min: 0.05, Max: 10,
		Text: "Raise it for engines that answer slowly."},
	{Key: KnobLoadPatience, Title: "time that a load may take", Unit: hbs.UnitDuration, Default: 60, Min: 1, Max: 3600,
		Text: "After it the engine stays drained and is tried again in the next round."},
	{Key: KnobStopPatience, Title: "time that a load in progress gets to end when its instance stops", Unit: hbs.UnitDuration, Default: 5, Min: 0, Max: 300,
		Text: "Set it above the time of a load. A load that takes longer goes on without the holder of the lease, and its permits lapse."},
}

const (
	meterLoaded = "rollout_loaded"
	meterFailed = "rollout_step_failed"
	meterBusy   = "rollout_busy"
	// meterUnreported counts the times that rollout.unheard_wait expired.
	meterUnreported = "rollout_unheard"
)

// Meters documents the metrics of rollouts.
var Meters = []hbs.Meter{
	{Name: meterLoaded, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "engines whose weights were replaced", Action: "None."},
	{Name: meterFailed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "steps that failed and are tried again", Action: "The log names the engine; check it if the count keeps growing."},
	{Name: meterBusy, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "engines restored because their streams did not end in time", Action: "Raise rollout.drain_patience, or find out which callers stream for so long."},
	{Name: meterUnreported, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "engines without load reports that got an order before all instances had reported", Action: "The log names the instances. Dead ones need no action; find out why the reports of a live one do not arrive."},
}
