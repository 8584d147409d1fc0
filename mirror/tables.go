package mirror

import hbs "github.com/hornbeamstage/hornbeamstage"

// watchBacklog is the number of watch events that may wait for adoption. Beyond it
// reading from the connection to the platform blocks.
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
		Title: "pause of a watcher between two attempts", Text: "It bounds how late an instance notices that it was chosen to watch, or that the platform is available again."},
	{Key: KnobQuietLimit, Unit: hbs.UnitDuration, Default: 12, Min: 1, Max: 600,
		Title: "time without event or bookmark after which a watch is reopened", Text: "Set it above twice the platform's interval between bookmarks. Peers pass on the changes meanwhile."},
	{Key: KnobRelistInterval, Unit: hbs.UnitDuration, Default: 300, Min: 10, Max: 3600,
		Title: "time between two full listings of a watcher", Text: "A listing removes objects whose deletion was missed."},
	{Key: KnobMergeInterval, Unit: hbs.UnitDuration, Default: 0.5, Min: 0, Max: 5,
		Title: "time in which changes of one kind are merged and passed on together", Text: "The first change after an idle interval is passed on at once. Raise it when rollouts cost too many bytes or too much processor time; 0 passes on each change by itself."},
	{Key: KnobSpares, Unit: hbs.UnitCount, Default: 4, Min: 1, Max: 32,
		Title: "endpoints of other regions stored as spares for each model or service where instance.holds is region", Text: "They serve when the instance's region has none left. At most 256 in all; more of them cost bytes when weights are rolled out."},
	{Key: KnobSparesInterval, Unit: hbs.UnitDuration, Default: 30, Min: 1, Max: 3600,
		Title: "shortest time between two changes of the spares", Text: "It bounds how long the spares contain an endpoint that was removed or changed. Raise it when rollouts in other regions cost too many bytes."},
	{Key: KnobWatchers, Unit: hbs.UnitCount, Default: 2, Min: 1, Max: 8,
		Title: "instances of one domain that watch the platform", Text: "With more of them less time is lost when one fails; each costs the platform one open watch per kind."},
}

const (
	meterListFailures = "mirror_list_failures"
	meterAdopted      = "mirror_updates_from_platform"
)

// Meters documents the metrics of mirroring.
var Meters = []hbs.Meter{
	{Name: meterListFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "failed listings of a watcher",
		Action: "The platform is down or unreachable from this domain. The domain continues with the objects that it has; check the platform."},
	{Name: meterAdopted, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "updates that this watcher adopted from the platform",
		Action: "If the count does not grow while those of other instances do, this instance is not chosen or its watch is stuck."},
}
