package order

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of orders.
const (
	KnobReadBack hbs.KnobKey = "order.read_back_interval"
	KnobTimeout  hbs.KnobKey = "order.state_timeout"
)

// Knobs documents the configurable values of orders.
var Knobs = []hbs.Knob{
	{Key: KnobReadBack, Title: "time between two reads of an engine's state after an order", Unit: hbs.UnitDuration, Default: 0.1, Min: 0.01, Max: 10,
		Text: "A rollout loses half of this for each engine."},
	{Key: KnobTimeout, Title: "time for one read of an engine's state", Unit: hbs.UnitDuration, Default: 1, Min: 0.05, Max: 10,
		Text: "Raise it for engines that answer slowly while they load."},
}

const (
	meterGiven    = "order_given"
	meterRepeated = "order_repeated"
	meterHeldBack = "order_held_back"
	meterStale    = "order_stale"
	meterFailed   = "order_failed"
)

// Meters documents the metrics of orders.
var Meters = []hbs.Meter{
	{Name: meterGiven, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders given", Action: "None."},
	{Name: meterRepeated, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders given again because the state was not the wanted one", Action: "Look at the engine: it crashes, or somebody else gives it orders."},
	{Name: meterHeldBack, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders not written because the lease had run out", Action: "Look for pauses of the process; nothing was sent."},
	{Name: meterStale, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders refused by an engine for an old fencing number", Action: "Two holders; the engine was safe. Look for pauses of this process."},
	{Name: meterFailed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders without a good answer", Action: "The state is read back and the order repeated; look at the engine if it grows."},
}
