package config

import hbs "github.com/hornbeamstage/hornbeamstage"

const (
	meterRevision = "config_revision"
	meterFaulty   = "config_items_left_out"
)

// Meters documents the metrics of the configuration.
var Meters = []hbs.Meter{
	{Name: meterRevision, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "revision of the configuration in force",
		Action: "Instances that stay behind the others for more than a few seconds are cut off; see hornbeamctl status."},
	{Name: meterFaulty, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "configuration items that were not understood",
		Action: "Someone wrote to the platform without hornbeamctl, or a newer program did. hornbeamctl get names the items; apply a checked file."},
}
