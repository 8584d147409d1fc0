package converge

import (
	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

const meterPrefix = "converge_orders_"

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: meterPrefix + string(platform.OrderAccepted), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders of weights that engines accepted", Action: "None."},
	{Name: meterPrefix + string(platform.OrderAlreadyLoaded), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders of weights that engines had already", Action: "None; the engines' records were out of date."},
	{Name: meterPrefix + string(platform.OrderBusy), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders refused because another is in progress or was accepted meanwhile", Action: "The report is read again. If it grows, look for another sender of orders."},
	{Name: meterPrefix + string(platform.OrderStale), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders refused for an old fencing number", Action: "Two instances held the lease; the engine was safe. Look for pauses of this process."},
	{Name: meterPrefix + string(platform.OrderRefused), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders that engines can't carry out", Action: "Check the version that the platform specifies."},
	{Name: meterPrefix + string(platform.OrderUnknown), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "orders without an answer", Action: "The engine may carry them out later; the report is read again before the next."},
}
