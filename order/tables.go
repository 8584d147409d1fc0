package order

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of the package.
const (
	KnobReadBack hbs.KnobKey = "order.read_back_interval"
	KnobTimeout  hbs.KnobKey = "order.state_timeout"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobReadBack, Title: "time between two reads of an engine's state after an order", Unit: hbs.UnitDuration, Default: 0.1, Min: 0.01, Max: 10,
		Text: "Delays a rollout by half of this time per engine on average."},
	{Key: KnobTimeout, Title: "timeout of one read of an engine's state", Unit: hbs.UnitDuration, Default: 1, Min: 0.05, Max: 10,
		Text: "Raise it for engines that respond slowly while they load."},
}

const (
	meterGiven    = "order_given"
	meterRepeated = "order_repeated"
	meterHeldBack = "order_held_back"
	meterStale    = "order_stale"
	meterFailed   = "order_failed"
)

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: meterGiven, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts to send an order", Action: "None."},
	{Name: meterRepeated, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders sent again because the engine was not in the desired state", Action: "Check the engine: it crashes, or receives orders from another sender."},
	{Name: meterHeldBack, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders not sent because the lease had expired", Action: "Look for pauses of the process. The order did not reach the engine."},
	{Name: meterStale, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders refused by an engine because of a stale fencing number", Action: "Two instances sent orders and the engine rejected the older lease. Look for pauses of this process."},
	{Name: meterFailed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders that failed because the engine did not respond, returned an error or refused them as expired", Action: "The state is read back and the order sent again. Check the engine if the counter keeps growing."},
}
