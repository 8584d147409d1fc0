package mirror

import hbs "github.com/hornbeamstage/hornbeamstage"

// watchBacklog is the number of events that wait between the platform's
// connection and their adoption; the connection stalls beyond it.
const watchBacklog = 256

// The knobs of mirroring.
const (
	KnobPollInterval   hbs.KnobKey = "mirror.poll_interval"
	KnobQuietLimit     hbs.KnobKey = "mirror.quiet_limit"
	KnobRelistInterval hbs.KnobKey = "mirror.relist_interval"
	KnobWatchers       hbs.KnobKey = "mirror.watchers_per_domain"
	KnobSpares         hbs.KnobKey = "mirror.spares"
	KnobSparesInterval hbs.KnobKey = "mirror.spares_interval"
	KnobMergeInterval  hbs.KnobKey = "mirror.merge_interval"
)

// Knobs documents the knobs of mirroring.
var Knobs = []hbs.Knob{
	{Key: KnobPollInterval, Unit: hbs.UnitDuration, Default: 1, Min: 0.1, Max: 60,
		Title: "pause of a watcher between two tries", Text: "It bounds how late an instance notices that it was chosen to watch, and that the platform is back."},
	{Key: KnobQuietLimit, Unit: hbs.UnitDuration, Default: 12, Min: 1, Max: 600,
		Title: "time without event or bookmark after which a watch is opened again", Text: "Above twice the platform's time between bookmarks. Peers tell the news meanwhile."},
	{Key: KnobRelistInterval, Unit: hbs.UnitDuration, Default: 300, Min: 10, Max: 3600,
		Title: "time between two full listings of a watcher", Text: "A listing removes what a lost deletion left behind."},
	{Key: KnobMergeInterval, Unit: hbs.UnitDuration, Default: 0.5, Min: 0, Max: 5,
		Title: "time in which changes of one kind are passed on together", Text: "The first change after a quiet time passes at once. Raise it when rollouts cost too many bytes or too much processor time; 0 passes each change by itself."},
	{Key: KnobSpares, Unit: hbs.UnitCount, Default: 4, Min: 1, Max: 32,
		Title: "endpoints of other regions kept for each model or service where instance.holds is region", Text: "They serve when the own region has none left. At most 256 in all; more of them cost bytes when weights are rolled out."},
	{Key: KnobSparesInterval, Unit: hbs.UnitDuration, Default: 30, Min: 1, Max: 3600,
		Title: "shortest time between two changes of the spares", Text: "It bounds how long a spare stands for an endpoint that is gone or changed. Raise it when rollouts in other regions cost too many bytes."},
	{Key: KnobWatchers, Unit: hbs.UnitCount, Default: 2, Min: 1, Max: 8,
		Title: "instances of one domain that watch the platform", Text: "More of them lose less time when one fails, and cost the platform one waiting watch each for each kind."},
}

const (
	meterListFailures = "mirror_list_failures"
	meterAdopted      = "mirror_updates_from_platform"
)

// Meters documents the metrics of mirroring.
var Meters = []hbs.Meter{
	{Name: meterListFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "listings of a watcher that failed",
		Action: "The platform is out or cut off from this domain. The domain serves on what it holds; look at the platform."},
	{Name: meterAdopted, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "updates that this watcher took from the platform",
		Action: "None while others get some: this instance is not chosen, or its watch is stuck."},
}
