package limit

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of the package.
const (
	KnobFloor           hbs.KnobKey = "limit.floor"
	KnobSilence         hbs.KnobKey = "limit.silence"
	KnobBurst           hbs.KnobKey = "limit.burst"
	KnobMaxLentLimit    hbs.KnobKey = "limit.small"
	KnobReassignDelay   hbs.KnobKey = "limit.hold"
	KnobLoanAttempts    hbs.KnobKey = "limit.asks"
	KnobLoanWait        hbs.KnobKey = "limit.ask_wait"
	KnobLoanRequestRate hbs.KnobKey = "limit.asks_per_second"
	KnobIdleSlotTime    hbs.KnobKey = "limit.keep"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobFloor, Title: "part of a limit that is divided evenly", Text: "Lets an instance without demand so far admit requests at once. That part is unused when all requests of a workspace arrive at one instance.",
		Unit: hbs.UnitShare, Default: 0.05, Min: 0, Max: 1},
	{Key: KnobSilence, Title: "time without digests after which a peer is silent", Text: "Shares do not grow while a live peer is silent.",
		Unit: hbs.UnitDuration, Default: 3, Min: 0.1, Max: 60},
	{Key: KnobBurst, Title: "burst, as a time at the rate of the share", Text: "A longer time admits larger bursts, and the limit may be exceeded for as long.",
		Unit: hbs.UnitDuration, Default: 0.25, Min: 0, Max: 10},
	{Key: KnobMaxLentLimit, Title: "largest limit on concurrency whose slots are lent", Text: "Such a limit is divided evenly, and instances lend each other its slots. A larger one is split by demand, which needs no message for each request.",
		Unit: hbs.UnitCount, Default: 32, Min: 0, Max: 4096},
	{Key: KnobReassignDelay, Title: "time before other instances use the slots of an instance that left", Text: "All instances have to learn of a change of the roster within it. An instance that starts has no slots for as long.",
		Unit: hbs.UnitDuration, Default: 3, Min: 0, Max: 60},
	{Key: KnobLoanAttempts, Title: "most instances asked for a slot for one request", Text: "0 turns loans off.",
		Unit: hbs.UnitCount, Default: 2, Min: 0, Max: 16},
	{Key: KnobLoanWait, Title: "longest wait of a request for a slot of another instance", Text: "After it, or at the request's deadline, the request is refused.",
		Unit: hbs.UnitDuration, Default: 0.05, Min: 0.001, Max: 5},
	{Key: KnobLoanRequestRate, Title: "loan requests per second of one instance", Text: "Bounds the traffic between instances, about 200 bytes for each loan request.",
		Unit: hbs.UnitCount, Default: 12, Min: 1, Max: 10000},
	{Key: KnobIdleSlotTime, Title: "time that an idle borrowed slot is kept for the next request", Text: "A longer time saves loan requests when requests follow each other closely, and leaves slots idle when they don't.",
		Unit: hbs.UnitDuration, Default: 0.03, Min: 0, Max: 10},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "limit_refused_rate", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused by a workspace's rate", Action: "None, unless the limit is too low for the workspace."},
	{Name: "limit_refused_concurrency", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused by a workspace's concurrency", Action: "None, unless the limit is too low for the workspace."},
	{Name: "limit_slots_borrowed", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "slots of small limits borrowed from other instances", Action: "None; rises with uneven traffic and with workspaces at their limits."},
	{Name: "limit_slots_lent", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "slots of small limits lent to other instances", Action: "None."},
	{Name: "limit_asks_lost", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "loan requests without a response in time", Action: "Instances are down or partitioned; such a slot is unused until it is returned."},
	{Name: "limit_asks_withheld", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "loan requests not sent because of the budget", Action: "Small limits are used less. Raise limit.asks_per_second if there is bandwidth to spare."},
}
