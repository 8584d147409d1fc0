package dispatch

import hbs "github.com/hornbeamstage/hornbeamstage"

const meterOverdue = "dispatch_overdue"

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: meterOverdue, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts that still ran two seconds after their deadline or after their caller had left", Action: "A fault of this program: the attempt holds its place at the endpoint, and the process does not stop in time. Report the lines \"attempt does not end\"; they name the endpoint."},
}
