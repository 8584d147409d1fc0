package claim

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The keys of the knobs of claims.
const (
	KnobStepTimeout     hbs.KnobKey = "claim.patience"
	KnobCallTimeout     hbs.KnobKey = "claim.call_timeout"
	KnobHoldDuration    hbs.KnobKey = "claim.hold"
	KnobRetention       hbs.KnobKey = "claim.retention"
	KnobRecordBytes     hbs.KnobKey = "claim.record_bytes"
	KnobBeginRate       hbs.KnobKey = "claim.begin_rate"
	KnobSettleTimeout   hbs.KnobKey = "claim.settle"
	KnobCollectInterval hbs.KnobKey = "claim.collect_interval"
	KnobRemovalRate     hbs.KnobKey = "claim.collect_rate"
	KnobCollectReads    hbs.KnobKey = "claim.collect_reads"
)

// Values that are not configurable.
const (
	// removalGrace is the time after the expiry of a held or free claim before
	// it is removed, as its holder may still free it.
	removalGrace = time.Minute
	// settleQueueSize limits the claims that wait to be settled after their
	// request was answered.
	settleQueueSize = 256
	// settleWorkers is the number of goroutines that settle queued claims.
	settleWorkers = 4
	// minRetryAfter is the shortest Retry-After in refusals.
	minRetryAfter = time.Second
	// beginBurstSeconds is the burst of claim.begin_rate, in seconds at that
	// rate.
	beginBurstSeconds = 0.5
)

// Knobs documents the configurable values of claims.
var Knobs = []hbs.Knob{
	{Key: KnobStepTimeout, Title: "time limit for one step of a claim", Unit: hbs.UnitDuration, Default: 1, Min: 0.05, Max: 10,
		Text: "A request whose claim is not confirmed as created or opened by then ends in not_run. Raise it if the platform is slow and callers can wait."},
	{Key: KnobCallTimeout, Title: "time limit for one call to the platform", Unit: hbs.UnitDuration, Default: 0.25, Min: 0.01, Max: 5,
		Text: "A response that takes longer counts as lost. Keep it well below claim.patience."},
	{Key: KnobHoldDuration, Title: "time until a held claim expires", Unit: hbs.UnitDuration, Default: 5, Min: 0.5, Max: 60,
		Text: "Must exceed the usual queueing time of requests of class once. A retry after the death of the instance that holds the claim waits this long."},
	{Key: KnobRetention, Title: "time that outcomes are stored", Unit: hbs.UnitDuration, Default: 86400, Min: 600, Max: 604800,
		Text: "A key must not be retried later than this; the platform stores about rate times retention claims."},
	{Key: KnobRecordBytes, Title: "largest response stored in a record", Unit: hbs.UnitBytes, Default: 16384, Min: 0, Max: 262144,
		Text: "The outcome of larger responses is stored without header and body."},
	{Key: KnobBeginRate, Title: "requests of class once with a key begun per second and instance", Unit: hbs.UnitPerSec, Default: 10, Min: 0.1, Max: 200,
		Text: "Each costs three writes and a removal. Keep four times the sum over all instances below the platform's writes per second."},
	{Key: KnobSettleTimeout, Title: "time limit to settle a claim after its request was answered", Unit: hbs.UnitDuration, Default: 600, Min: 1, Max: 3600,
		Text: "Must exceed outages of the platform; the key of a claim that is given up stays unknown until its retention ends."},
	{Key: KnobCollectInterval, Title: "time between two garbage collections of claims", Unit: hbs.UnitDuration, Default: 300, Min: 10, Max: 86400,
		Text: "Each collection lists all claims in pages, once per failure domain."},
	{Key: KnobRemovalRate, Title: "claims removed per second and failure domain", Unit: hbs.UnitPerSec, Default: 20, Min: 0.1, Max: 200,
		Text: "Counts towards the platform's limit of writes. Must exceed the failure domain's share of the rate of keyed requests."},
	{Key: KnobCollectReads, Title: "pages of claims listed per second and failure domain", Unit: hbs.UnitPerSec, Default: 10, Min: 0.1, Max: 200,
		Text: "Each page is one read of the platform, of up to 500 claims or about 2 MiB. Raise it when claim_listings_expired grows."},
}

// The names of the metrics of claims.
const (
	meterBegun           = "claim_begun"
	meterReplayed        = "claim_replayed"
	meterOpen            = "claim_open"
	meterMismatch        = "claim_mismatch"
	meterTakenOver       = "claim_taken_over"
	meterRefusedPlatform = "claim_refused_platform"
	meterRefusedBudget   = "claim_refused_budget"
	meterLost            = "claim_lost"
	meterUnsettled       = "claim_unsettled"
	meterSettleDropped   = "claim_settle_dropped"
	meterRemoved         = "claim_removed"
	meterListingsExpired = "claim_listings_expired"
	meterWrites          = "claim_platform_writes"
	meterReads           = "claim_platform_reads"
)

// Meters documents the metrics of claims.
var Meters = []hbs.Meter{
	{Name: meterBegun, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "claims acquired by attempts", Action: "None."},
	{Name: meterReplayed, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests answered from a record", Action: "None; callers retry."},
	{Name: meterOpen, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused because their key is in use", Action: "Look for callers that send duplicates, or instances that died."},
	{Name: meterMismatch, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "keys reused with a different request", Action: "Inform the workspace; the caller is at fault."},
	{Name: meterTakenOver, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "held or free claims taken over", Action: "Look for instances that died."},
	{Name: meterRefusedPlatform, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests not run because the platform did not answer", Action: "Check the platform."},
	{Name: meterRefusedBudget, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests not run because the write budget was used up", Action: "Raise claim.begin_rate if the platform has spare capacity."},
	{Name: meterLost, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "claims taken over by another attempt between Begin and Open", Action: "Raise claim.hold if queues are long."},
	{Name: meterUnsettled, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "claims that could not be settled in time; their keys stay unknown", Action: "Check manually whether the requests ran."},
	{Name: meterSettleDropped, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "claims not settled because the queue was full or the instance had stopped", Action: "As for claim_unsettled."},
	{Name: meterRemoved, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "claims removed", Action: "None."},
	{Name: meterListingsExpired, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "pages of claims whose continue token had expired",
		Action: "A few are harmless. Growth at each collection: the platform compacts revisions faster than all claims are listed; raise claim.collect_reads."},
	{Name: meterWrites, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "writes sent to the platform", Action: "Compare with its limit."},
	{Name: meterReads, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "reads sent to the platform", Action: "Compare with its limit."},
}
