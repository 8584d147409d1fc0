package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The knobs of placement.
const (
	keyScope       hbs.KnobKey = "placement.scope"
	keyLimitShare  hbs.KnobKey = "placement.limit_share"
	keyHomeShare   hbs.KnobKey = "placement.home_limit_share"
	keyStallCost   hbs.KnobKey = "placement.stall_cost"
	keyPrefillCap  hbs.KnobKey = "placement.prefill_cap"
	keySpreadCost  hbs.KnobKey = "placement.spread_cost"
	keyKeptSpread  hbs.KnobKey = "placement.kept_spread_cost"
	keyBatchCost   hbs.KnobKey = "placement.batch_cost"
	keyImportRate  hbs.KnobKey = "placement.import_rate"
	keyKeepGain    hbs.KnobKey = "placement.keep_gain"
	keyDueCost     hbs.KnobKey = "placement.due_cost"
	keyOldCost     hbs.KnobKey = "placement.old_cost"
	keyHop         hbs.KnobKey = "placement.hop"
	keyBeliefs     hbs.KnobKey = "placement.belief_entries"
	keyReportEvery hbs.KnobKey = "placement.report_interval"
	keyReportRate  hbs.KnobKey = "placement.reports_per_second"
	keyEventBytes  hbs.KnobKey = "placement.event_bytes"
)

// Knobs are the configurable values of placement.
var Knobs = []hbs.Knob{
	{
		Key: keyScope, Unit: hbs.UnitCount, Default: 1, Min: 0, Max: 2,
		Title: "endpoints that an instance places on",
		Text:  "0: those of the own failure domain; 1: all of the region; 2: those of the home domain of the prompt's first level. Endpoints of a domain without live instances are always used.",
	},
	{
		Key: keyLimitShare, Unit: hbs.UnitShare, Default: 1.5, Min: 0.1, Max: 4,
		Title: "outstanding requests of an endpoint, as a share of its slots",
		Text:  "Beyond it the router's queue decides the order. Raise it when engines run dry between requests.",
	},
	{
		Key: keyHomeShare, Unit: hbs.UnitShare, Default: 4, Min: 0.1, Max: 8,
		Title: "as placement.limit_share, for an endpoint in the set of the whole prompt",
		Text:  "A short wait at the endpoint that has the prefix is cheaper than computing it elsewhere. Requests of workspaces under their fair share have this share at every endpoint.",
	},
	{
		Key: keyStallCost, Unit: hbs.UnitShare, Default: 0.3, Min: 0, Max: 4,
		Title: "cost of computing a prompt for each request that runs beside it, as a share of the computation",
		Text:  "Prompt computation delays the tokens of all streams of the batch. Raise it when prefixes are recomputed under load.",
	},
	{
		Key: keyPrefillCap, Unit: hbs.UnitDuration, Default: 1.0, Min: 0.05, Max: 60,
		Title: "prompt computation that may wait at one endpoint",
		Text:  "A request that would raise it further waits in the router unless the endpoint has none. Lower it when short requests wait behind long ones.",
	},
	{
		Key: keySpreadCost, Unit: hbs.UnitShare, Default: 10, Min: 0, Max: 100,
		Title: "cost of computing a prefix outside its set, as a share of the computation",
		Text:  "Raise it when the same prefixes are computed on many endpoints; lower it when endpoints are unevenly loaded.",
	},
	{
		Key: keyKeptSpread, Unit: hbs.UnitShare, Default: 3, Min: 0, Max: 100,
		Title: "as placement.spread_cost, for endpoints that load from the store of kept KV cache",
		Text:  "As much of it counts as the store gives of what is expected from it; the rest is placement.spread_cost.",
	},
	{
		Key: keyBatchCost, Unit: hbs.UnitDuration, Default: 0.2, Min: 0, Max: 5,
		Title: "cost of joining a full batch",
		Text:  "Raise it to even out the batches, which shortens the time between tokens.",
	},
	{
		Key: keyDueCost, Unit: hbs.UnitShare, Default: 0.1, Min: 0, Max: 100,
		Title: "cost of an answer at an engine that is about to change its weights, in the time that the answer takes",
		Text:  "The engine changes only when its answers have ended. Raise it when changes wait for long answers.",
	},
	{
		Key: keyOldCost, Unit: hbs.UnitDuration, Default: 0.03, Min: 0, Max: 10,
		Title: "cost of an answer at an engine with older weights than the newest ones",
		Text:  "How much later an answer may come that has the newest weights.",
	},
	{
		Key: keyImportRate, Unit: hbs.UnitTokens, Default: 100_000, Min: 1, Max: 1e9,
		Title: "tokens of kept KV cache that an engine imports each second",
		Text:  "The load of a kept prefix in place of its computation is weighed with it. 1 keeps the store of kept KV cache from being used.",
	},
	{
		Key: keyKeepGain, Unit: hbs.UnitTokens, Default: 128, Min: 1, Max: 1e9,
		Title: "tokens by which a prefix put into the store of kept KV cache exceeds what is kept of the prompt",
		Text:  "Raise it when the store is short of room or its network busy; shorter differences are computed again.",
	},
	{
		Key: keyHop, Unit: hbs.UnitDuration, Default: 0.001, Min: 0, Max: 1,
		Title: "cost of an endpoint in another failure domain",
		Text:  "The round trip between domains of one region.",
	},
	{
		Key: keyBeliefs, Unit: hbs.UnitCount, Default: 1 << 20, Min: 1 << 10, Max: 1 << 23,
		Title: "entries of the belief table",
		Text:  "8 bytes each, read at start only. Raise it when placement_beliefs stays near it.",
	},
	{
		Key: keyReportEvery, Unit: hbs.UnitDuration, Default: 0.5, Min: 0.05, Max: 60,
		Title: "least time between two load reports of one endpoint",
		Text:  "Read at start only.",
	},
	{
		Key: keyReportRate, Unit: hbs.UnitCount, Default: 4, Min: 0.1, Max: 1000,
		Title: "load reports that an instance reads each second",
		Text:  "Read at start only. One costs about 350 bytes. With more endpoints than placement.report_interval allows at this rate, each is read less often.",
	},
	{
		Key: keyEventBytes, Unit: hbs.UnitBytes, Default: 1024, Min: 256, Max: 1 << 24,
		Title: "cache events read each second",
		Text:  "Read at start only. Shared equally by the endpoints that the instance reads. The rest is skipped, which shows in cache_event_gaps; placement then relies on the answers' own counts.",
	},
}

// tuning is a snapshot of the knobs for one model or service.
type tuning struct {
	at         time.Time
	scope      Scope
	limitShare float64
	homeShare  float64
	stallCost  float64
	prefillCap float64
	spreadCost float64
	// keptSpreadCost is spreadCost where lost prefixes are loaded again.
	keptSpreadCost float64
	batchCost      float64
	dueCost        float64
	oldCost        float64
	hop            float64
	// importRate is in tokens a second, as is transferRate, that between engines; 0
	// where they can't load from each other.
	importRate, transferRate float64
	// keeps tells that there is a store of kept KV cache.
	keeps bool
	// keepGain is in tokens.
	keepGain int
}

// tuningTTL is how long a snapshot is used; a changed knob is in force after it.
const tuningTTL = time.Second

var scopes = []Scope{ScopeDomain, ScopeRegion, ScopeHome}

func (f *Fleet) tune(g *group, now time.Time) {
	if !g.tuning.at.IsZero() && now.Sub(g.tuning.at) < tuningTTL {
		return
	}
	at := hbs.Scope{Model: g.key.model, Service: g.key.service, Domain: f.Self.Domain}
	g.tuning = tuning{
		at:             now,
		scope:          f.scope(at),
		limitShare:     f.Policy.Number(keyLimitShare, at),
		homeShare:      f.Policy.Number(keyHomeShare, at),
		stallCost:      f.Policy.Number(keyStallCost, at),
		prefillCap:     f.Policy.Duration(keyPrefillCap, at).Seconds(),
		spreadCost:     f.Policy.Number(keySpreadCost, at),
		keptSpreadCost: f.Policy.Number(keyKeptSpread, at),
		batchCost:      f.Policy.Duration(keyBatchCost, at).Seconds(),
		dueCost:        f.Policy.Number(keyDueCost, at),
		oldCost:        f.Policy.Duration(keyOldCost, at).Seconds(),
		importRate:     max(1, f.Policy.Number(keyImportRate, at)),
		keepGain:       int(f.Policy.Number(keyKeepGain, at)),
		hop:            f.Policy.Duration(keyHop, at).Seconds(),
		keeps:          f.Keeps == nil || f.Keeps(),
	}
	if f.Transfer != nil {
		g.tuning.transferRate = f.Transfer(g.key.service)
	}
}

func (f *Fleet) scope(at hbs.Scope) Scope {
	if f.Scope != "" {
		return f.Scope
	}
	i := int(f.Policy.Number(keyScope, at))
	return scopes[min(max(i, 0), len(scopes)-1)]
}
