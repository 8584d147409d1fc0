package claim

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The knobs of claims.
const (
	KnobPatience    hbs.KnobKey = "claim.patience"
	KnobCallTimeout hbs.KnobKey = "claim.call_timeout"
	KnobHold        hbs.KnobKey = "claim.hold"
	KnobRetention   hbs.KnobKey = "claim.retention"
	KnobRecordBytes hbs.KnobKey = "claim.record_bytes"
	KnobBeginRate   hbs.KnobKey = "claim.begin_rate"
	KnobSettle      hbs.KnobKey = "claim.settle"
	KnobCollect     hbs.KnobKey = "claim.collect_interval"
	KnobCollectRate hbs.KnobKey = "claim.collect_rate"

	KnobCollectReads hbs.KnobKey = "claim.collect_reads"
)

// Bounds that are not configurable.
const (
	// removeAfterLapse keeps a lapsed claim while its holder may still free it.
	removeAfterLapse = time.Minute
	// settleQueue bounds the claims that wait to be settled after their request
	// was answered.
	settleQueue = 256
	// settleWorkers settle them side by side.
	settleWorkers = 4
	// retryFloor is the shortest Retry-After.
	retryFloor = time.Second
	// beginBurst is how many keyed requests may begin at once, in seconds of the rate.
	beginBurst = 0.5
)

// Knobs documents the configurable values of claims.
var Knobs = []hbs.Knob{
	{Key: KnobPatience, Title: "time to settle one step of a claim", Unit: hbs.UnitDuration, Default: 1, Min: 0.05, Max: 10,
		Text: "A step that can't be settled by then ends in not_run. Raise it when the platform is slow and callers can wait."},
	{Key: KnobCallTimeout, Title: "time for one call to the platform", Unit: hbs.UnitDuration, Default: 0.25, Min: 0.01, Max: 5,
		Text: "An answer that takes longer counts as lost. Keep it well below claim.patience."},
	{Key: KnobHold, Title: "time that a claim is held before dispatch", Unit: hbs.UnitDuration, Default: 5, Min: 0.5, Max: 60,
		Text: "Longer than once requests usually wait in a queue; a retry after a router's death waits this long."},
	{Key: KnobRetention, Title: "time that outcomes are kept", Unit: hbs.UnitDuration, Default: 86400, Min: 600, Max: 604800,
		Text: "A key must not be retried later than this; the platform keeps rate times retention claims."},
	{Key: KnobRecordBytes, Title: "largest answer kept in a record", Unit: hbs.UnitBytes, Default: 16384, Min: 0, Max: 262144,
		Text: "The outcome of larger answers is kept without header and body."},
	{Key: KnobBeginRate, Title: "keyed once requests begun per second and instance", Unit: hbs.UnitPerSec, Default: 10, Min: 0.1, Max: 200,
		Text: "Each costs three writes and a removal. Keep four times the sum over all instances below the platform's writes per second."},
	{Key: KnobSettle, Title: "time to settle a claim after its request was answered", Unit: hbs.UnitDuration, Default: 600, Min: 1, Max: 3600,
		Text: "Covers outages of the platform; a claim given up stays unknown until its retention ends."},
	{Key: KnobCollect, Title: "time between two collections of claims", Unit: hbs.UnitDuration, Default: 300, Min: 10, Max: 86400,
		Text: "Each collection lists all claims in pages, once per failure domain."},
	{Key: KnobCollectRate, Title: "claims removed per second and domain", Unit: hbs.UnitPerSec, Default: 20, Min: 0.1, Max: 200,
		Text: "Part of the platform's write budget. Must exceed the domain's share of keyed requests."},
	{Key: KnobCollectReads, Title: "pages of claims listed per second and domain", Unit: hbs.UnitPerSec, Default: 10, Min: 0.1, Max: 200,
		Text: "Each page is one read of the platform, of up to 500 claims or about 2 MiB. Raise it when claim_listings_expired grows."},
}

// The names of the metrics of claims.
const (
	meterBegun     = "claim_begun"
	meterReplayed  = "claim_replayed"
	meterOpen      = "claim_open"
	meterMismatch  = "claim_mismatch"
	meterTaken     = "claim_taken_over"
	meterRefused   = "claim_refused_platform"
	meterBudget    = "claim_refused_budget"
	meterLost      = "claim_lost"
	meterUnsettled = "claim_unsettled"
	meterDropped   = "claim_settle_dropped"
	meterRemoved   = "claim_removed"
	meterExpired   = "claim_listings_expired"
	meterWrites    = "claim_platform_writes"
	meterReads     = "claim_platform_reads"
)

// Meters documents the metrics of claims.
var Meters = []hbs.Meter{
	{Name: meterBegun, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts that came to hold a claim", Action: "None."},
	{Name: meterReplayed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests answered from a record", Action: "None; callers retry."},
	{Name: meterOpen, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused because their key is in use", Action: "Look for callers that send duplicates, or routers that died."},
	{Name: meterMismatch, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "keys reused with another request", Action: "Tell the workspace; it is a fault of the caller."},
	{Name: meterTaken, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "held or free claims taken over", Action: "Look for routers that died."},
	{Name: meterRefused, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests not run because the platform did not answer", Action: "Look at the platform."},
	{Name: meterBudget, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests not run because the write budget was used up", Action: "Raise claim.begin_rate if the platform has room."},
	{Name: meterLost, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "claims lost between Begin and Open", Action: "Raise claim.hold if queues are long."},
	{Name: meterUnsettled, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "claims given up unsettled; their keys stay unknown", Action: "Check by hand what became of the requests."},
	{Name: meterDropped, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "claims not settled because the queue was full", Action: "As for claim_unsettled."},
	{Name: meterRemoved, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "claims removed", Action: "None."},
	{Name: meterExpired, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "pages of claims whose token was too old",
		Action: "A few are harmless. Growth at each collection: the platform forgets revisions faster than all claims are listed; raise claim.collect_reads."},
	{Name: meterWrites, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "writes sent to the platform", Action: "Compare with its limit."},
	{Name: meterReads, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "reads sent to the platform", Action: "Compare with its limit."},
}
