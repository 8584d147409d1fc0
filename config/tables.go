package config

import hbs "github.com/hornbeamstage/hornbeamstage"

const (
	meterRevision     = "config_revision"
	meterItemsLeftOut = "config_items_left_out"
)

// Meters documents the metrics of the configuration.
var Meters = []hbs.Meter{
	{Name: meterRevision, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "Revision of the configuration in use",
		Action: "An instance that lags the others for more than a few seconds is cut off from the platform and its peers; see hornbeamctl status."},
	{Name: meterItemsLeftOut, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "Configuration items that were skipped because they are invalid",
		Action: "The items were written without hornbeamctl or by a newer version. hornbeamctl get lists them; apply a valid file."},
}
