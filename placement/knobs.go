package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Keys of the knobs of placement.
const (
	keyScope           hbs.KnobKey = "placement.scope"
	keyLimitShare      hbs.KnobKey = "placement.limit_share"
	keyHomeLimitShare  hbs.KnobKey = "placement.home_limit_share"
	keyStallCost       hbs.KnobKey = "placement.stall_cost"
	keyPrefillCap      hbs.KnobKey = "placement.prefill_cap"
	keySpreadCost      hbs.KnobKey = "placement.spread_cost"
	keyStoreSpreadCost hbs.KnobKey = "placement.kept_spread_cost"
	keyBatchCost       hbs.KnobKey = "placement.batch_cost"
	keyImportRate      hbs.KnobKey = "placement.import_rate"
	keyStoreGain       hbs.KnobKey = "placement.keep_gain"
	keyDueCost         hbs.KnobKey = "placement.due_cost"
	keyOldCost         hbs.KnobKey = "placement.old_cost"
	keyHop             hbs.KnobKey = "placement.hop"
	keyBeliefs         hbs.KnobKey = "placement.belief_entries"
	keyReportInterval  hbs.KnobKey = "placement.report_interval"
	keyReportRate      hbs.KnobKey = "placement.reports_per_second"
	keyEventBytes      hbs.KnobKey = "placement.event_bytes"
)

// Knobs lists the configurable values of placement.
var Knobs = []hbs.Knob{
	{
		Key: keyScope, Unit: hbs.UnitCount, Default: 1, Min: 0, Max: 2,
		Title: "endpoints that an instance uses",
		Text:  "0: those of the instance's failure domain; 1: all of the region; 2: those of the home domain to which the prompt's first level is hashed. Endpoints of a domain without live instances are always used.",
	},
	{
		Key: keyLimitShare, Unit: hbs.UnitShare, Default: 1.5, Min: 0.1, Max: 4,
		Title: "outstanding requests of an endpoint, as a share of its slots",
		Text:  "Further requests wait in the router, which decides their order. Raise it when engines are idle between requests.",
	},
	{
		Key: keyHomeLimitShare, Unit: hbs.UnitShare, Default: 4, Min: 0.1, Max: 8,
		Title: "as placement.limit_share, for endpoints in the home set of the whole prompt",
		Text:  "A short wait at the endpoint that has the prefix cached is cheaper than computing it elsewhere. Requests of workspaces below their fair share have this limit at every endpoint.",
	},
	{
		Key: keyStallCost, Unit: hbs.UnitShare, Default: 0.3, Min: 0, Max: 4,
		Title: "cost of computing a prompt for each request that runs on the same endpoint, as a share of the computation",
		Text:  "Prompt computation delays the tokens of all streams in the batch. Raise it when prefixes are recomputed under load.",
	},
	{
		Key: keyPrefillCap, Unit: hbs.UnitDuration, Default: 1.0, Min: 0.05, Max: 60,
		Title: "prompt computation that may wait at one endpoint",
		Text:  "A request that would exceed it waits in the router, unless no prompt waits at the endpoint. Lower it when short requests wait behind long ones.",
	},
	{
		Key: keySpreadCost, Unit: hbs.UnitShare, Default: 10, Min: 0, Max: 100,
		Title: "cost of computing a prefix outside its home set, as a multiple of the computation",
		Text:  "Raise it when the same prefixes are computed on many endpoints; lower it when endpoints are unevenly loaded.",
	},
	{
		Key: keyStoreSpreadCost, Unit: hbs.UnitShare, Default: 3, Min: 0, Max: 100,
		Title: "as placement.spread_cost, for endpoints that can load prefixes from the shared KV cache store or from each other",
		Text:  "With the store the cost lies between placement.spread_cost and this value, in proportion to the share of the expected tokens that the store delivers. Where engines load from each other it is this value.",
	},
	{
		Key: keyBatchCost, Unit: hbs.UnitDuration, Default: 0.2, Min: 0, Max: 5,
		Title: "cost of joining a full batch",
		Text:  "Raise it to even out the batches, which shortens the time between tokens.",
	},
	{
		Key: keyDueCost, Unit: hbs.UnitShare, Default: 0.1, Min: 0, Max: 100,
		Title: "cost of an answer on an engine that is next to change its weights, as a share of the time that the answer takes",
		Text:  "The engine changes its weights only when its running answers have ended. Raise it when changes wait for long answers.",
	},
	{
		Key: keyOldCost, Unit: hbs.UnitDuration, Default: 0.03, Min: 0, Max: 10,
		Title: "cost of an answer on an engine with older weights than the newest ones",
		Text:  "How much later an answer with the newest weights may come and still be preferred.",
	},
	{
		Key: keyImportRate, Unit: hbs.UnitTokens, Default: 100_000, Min: 1, Max: 1e9,
		Title: "tokens that an engine loads from the shared KV cache store each second",
		Text:  "Used to predict the time to load a stored prefix instead of computing it. 1 turns the use of the store off.",
	},
	{
		Key: keyStoreGain, Unit: hbs.UnitTokens, Default: 128, Min: 1, Max: 1e9,
		Title: "least number of tokens that storing a prefix adds to what the shared KV cache store has of the prompt",
		Text:  "Raise it when the store is short of space or its network is busy; smaller differences are computed again.",
	},
	{
		Key: keyHop, Unit: hbs.UnitDuration, Default: 0.001, Min: 0, Max: 1,
		Title: "cost of an endpoint in another failure domain",
		Text:  "The round trip between domains of one region.",
	},
	{
		Key: keyBeliefs, Unit: hbs.UnitCount, Default: 1 << 20, Min: 1 << 10, Max: 1 << 23,
		Title: "entries of the table of prefixes believed to be cached on endpoints",
		Text:  "8 bytes each. Read at start only. Raise it when placement_beliefs stays near it.",
	},
	{
		Key: keyReportInterval, Unit: hbs.UnitDuration, Default: 0.5, Min: 0.05, Max: 60,
		Title: "least time between two reads of an endpoint's load report",
		Text:  "Read at start only.",
	},
	{
		Key: keyReportRate, Unit: hbs.UnitCount, Default: 4, Min: 0.1, Max: 1000,
		Title: "load reports that an instance reads each second",
		Text:  "Read at start only. A report is about 350 bytes. With more endpoints than placement.report_interval allows at this rate, each is read less often.",
	},
	{
		Key: keyEventBytes, Unit: hbs.UnitBytes, Default: 1024, Min: 256, Max: 1 << 24,
		Title: "size of the cache events that an instance reads each second",
		Text:  "Read at start only. Shared equally by the endpoints that the instance reads. The rest is skipped and counted in cache_event_gaps; placement then relies on the cached tokens that answers report.",
	},
}

// tuning is a snapshot of the knobs for one model or service. Costs and times
// are in seconds or, like shares, without a unit.
type tuning struct {
	readAt         time.Time
	scope          Scope
	limitShare     float64
	homeLimitShare float64
	stallCost      float64
	prefillCap     float64
	spreadCost     float64
	// storeSpreadCost replaces spreadCost where evicted prefixes are loaded
	// again.
	storeSpreadCost float64
	batchCost       float64
	dueCost         float64
	oldCost         float64
	hop             float64
	// importRate is the rate of loads from the shared KV cache store,
	// transferRate that of loads from other engines, in tokens per second.
	// transferRate is 0 where engines cannot load from each other.
	importRate, transferRate float64
	// hasStore reports whether there is a shared KV cache store.
	hasStore bool
	// minStoreGain is the least number of tokens that storing a prefix must
	// add.
	minStoreGain int
}

// tuningTTL is how long a snapshot is used, and so the longest time until a
// changed knob takes effect.
const tuningTTL = time.Second

// scopes are the scopes by their number in the knob placement.scope.
var scopes = []Scope{ScopeDomain, ScopeRegion, ScopeHome}

func (p *Placer) refreshTuning(g *group, now time.Time) {
	if !g.tuning.readAt.IsZero() && now.Sub(g.tuning.readAt) < tuningTTL {
		return
	}
	at := hbs.Scope{Model: g.key.model, Service: g.key.service, Domain: p.Self.Domain}
	g.tuning = tuning{
		readAt:          now,
		scope:           p.scope(at),
		limitShare:      p.Policy.Number(keyLimitShare, at),
		homeLimitShare:  p.Policy.Number(keyHomeLimitShare, at),
		stallCost:       p.Policy.Number(keyStallCost, at),
		prefillCap:      p.Policy.Duration(keyPrefillCap, at).Seconds(),
		spreadCost:      p.Policy.Number(keySpreadCost, at),
		storeSpreadCost: p.Policy.Number(keyStoreSpreadCost, at),
		batchCost:       p.Policy.Duration(keyBatchCost, at).Seconds(),
		dueCost:         p.Policy.Number(keyDueCost, at),
		oldCost:         p.Policy.Duration(keyOldCost, at).Seconds(),
		importRate:      max(1, p.Policy.Number(keyImportRate, at)),
		minStoreGain:    int(p.Policy.Number(keyStoreGain, at)),
		hop:             p.Policy.Duration(keyHop, at).Seconds(),
		hasStore:        p.HasStore == nil || p.HasStore(),
	}
	if p.TransferRate != nil {
		g.tuning.transferRate = p.TransferRate(g.key.service)
	}
}

func (p *Placer) scope(at hbs.Scope) Scope {
	if p.Scope != "" {
		return p.Scope
	}
	i := int(p.Policy.Number(keyScope, at))
	return scopes[min(max(i, 0), len(scopes)-1)]
}
