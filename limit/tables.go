package limit

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of the package.
const (
	KnobFloor   hbs.KnobKey = "limit.floor"
	KnobSilence hbs.KnobKey = "limit.silence"
	KnobBurst   hbs.KnobKey = "limit.burst"
	KnobSmall   hbs.KnobKey = "limit.small"
	KnobHold    hbs.KnobKey = "limit.hold"
	KnobAsks    hbs.KnobKey = "limit.asks"
	KnobAskWait hbs.KnobKey = "limit.ask_wait"
	KnobAskRate hbs.KnobKey = "limit.asks_per_second"
	KnobKeep    hbs.KnobKey = "limit.keep"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobFloor, Title: "part of a limit that is spread evenly", Text: "Lets an instance without demand so far admit at once. That part is lost when all of a workspace's entry is at one instance.",
		Unit: hbs.UnitShare, Default: 0.05, Min: 0, Max: 1},
	{Key: KnobSilence, Title: "time after which a peer is silent", Text: "Shares do not grow while a live peer is silent.",
		Unit: hbs.UnitDuration, Default: 3, Min: 0.1, Max: 60},
	{Key: KnobBurst, Title: "time of a share that may be used at once", Text: "A longer time lets bursts through and lets the limit be passed for as long.",
		Unit: hbs.UnitDuration, Default: 0.25, Min: 0, Max: 10},
	{Key: KnobSmall, Title: "largest limit on concurrency whose slots are lent", Text: "Such a limit is spread evenly and instances lend each other its slots. A larger one is split by demand, which costs no ask for each request.",
		Unit: hbs.UnitCount, Default: 32, Min: 0, Max: 4096},
	{Key: KnobHold, Title: "time before slots of an instance that is gone are used", Text: "Other instances have to notice changes of the roster within it. An instance that starts holds none for as long.",
		Unit: hbs.UnitDuration, Default: 3, Min: 0, Max: 60},
	{Key: KnobAsks, Title: "instances asked for a slot for one request", Text: "0 turns loans off.",
		Unit: hbs.UnitCount, Default: 2, Min: 0, Max: 16},
	{Key: KnobAskWait, Title: "time that a request waits for a slot of another instance", Text: "After it, or at the request's deadline, the request is refused.",
		Unit: hbs.UnitDuration, Default: 0.05, Min: 0.001, Max: 5},
	{Key: KnobAskRate, Title: "asks for slots a second of one instance", Text: "Bounds the bytes between instances, about 200 for each ask.",
		Unit: hbs.UnitCount, Default: 12, Min: 1, Max: 10000},
	{Key: KnobKeep, Title: "time that a borrowed slot is kept for the next request", Text: "A longer one saves asks where requests follow each other and leaves slots idle where they don't.",
		Unit: hbs.UnitDuration, Default: 0.03, Min: 0, Max: 10},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "limit_refused_rate", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused by a workspace's rate", Action: "None, unless the limit is too low for the workspace."},
	{Name: "limit_refused_concurrency", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused by a workspace's concurrency", Action: "None, unless the limit is too low for the workspace."},
	{Name: "limit_slots_borrowed", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "slots of small limits borrowed from other instances", Action: "None; follows lopsided entry and workspaces at their limits."},
	{Name: "limit_slots_lent", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "slots of small limits lent to other instances", Action: "None."},
	{Name: "limit_asks_lost", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "asks for a slot without an answer in time", Action: "Instances are down or cut off; such a slot is unused until it could be given back."},
	{Name: "limit_asks_withheld", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "asks for a slot that the budget did not allow", Action: "Small limits are used less. Raise limit.asks_per_second if there are bytes to spare."},
}
