package release

import hbs "github.com/hornbeamstage/hornbeamstage"

// source tells from where an instance knows the version of a resumed stream.
type source string

const (
	// sourceOwn is the instance's own memory.
	sourceOwn source = "own"
	// sourceStored is what an instance stored for the stream.
	sourceStored source = "stored"
	// sourceRecord is a settled record.
	sourceRecord source = "record"
	sourceNone   source = "none"
)

const (
	meterResumedPrefix = "release_resumed_"
	meterGone          = "release_gone"
	meterWrites        = "release_stream_writes"
	meterRecords       = "release_record_writes"
)

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: meterResumedPrefix + string(sourceOwn), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "resumed streams whose software version the instance knew itself", Action: "None."},
	{Name: meterResumedPrefix + string(sourceStored), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "resumed streams whose software version an instance had stored", Action: "None: several versions serve, or did so a moment ago."},
	{Name: meterResumedPrefix + string(sourceRecord), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "resumed streams that go on at the one version that can have begun them", Action: "None."},
	{Name: meterResumedPrefix + string(sourceNone), Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "resumed streams that were refused because their software version is not known", Action: "Expected while the store is away, and right after a release while instances crash. Otherwise look for streams not stored in the log."},
	{Name: meterGone, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "resumed streams that were refused because their software version has left", Action: "None: nothing can go on with them. Slower releases break fewer streams."},
	{Name: meterWrites, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "writes of the versions of streams", Action: "They occur only for some seconds after a release. If they go on, look at record of software versions written in the log."},
	{Name: meterRecords, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "writes of the records of software versions", Action: "A few for each release. More mean that two versions have turns; see docs/design/releases.md."},
}
