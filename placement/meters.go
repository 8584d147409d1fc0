package placement

import (
	metrics "github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Meters are the metrics of placement.
var Meters = []hbs.Meter{
	{Name: "placement_decisions", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts placed", Action: "None."},
	{Name: "placement_spills", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts placed outside the set of their prefix", Action: "A share above a tenth for long: endpoints are short; add some."},
	{Name: "placement_full", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "decisions that found all endpoints at their limit", Action: "Grows at the crest of a swing; growing all day means too few endpoints."},
	{Name: "placement_no_endpoint", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "decisions that found no endpoint", Action: "Check the endpoints' states and weights versions in the platform."},
	{Name: "placement_prompt_tokens", Kind: hbs.MeterCounter, Unit: hbs.UnitTokens, Title: "prompt tokens of finished attempts", Action: "None."},
	{Name: "placement_cached_tokens", Kind: hbs.MeterCounter, Unit: hbs.UnitTokens, Title: "prompt tokens that engines found cached", Action: "A falling share: caches are too small or prefixes moved."},
	{Name: "placement_missed_tokens", Kind: hbs.MeterCounter, Unit: hbs.UnitTokens, Title: "prompt tokens believed cached that were not", Action: "A share above 5%: engines evict sooner than learned or events are lost."},
	{Name: "placement_loads", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts placed where a part of the prompt is to be loaded from the store of kept KV cache", Action: "None."},
	{Name: "placement_load_misses", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts to which the store of kept KV cache gave less than half of what was expected", Action: "Steady growth against placement_loads: check the store and the engines' way to it; prompts are computed instead."},
	{Name: "placement_keeps", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts that put a prefix into the store of kept KV cache", Action: "None."},
	{Name: "placement_beliefs", Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "entries of the belief table in use", Action: "Near placement.belief_entries: raise that."},
	{Name: "placement_ejected", Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "endpoints that get only probes because they are slow", Action: "The same endpoint for minutes: have its machine looked at."},
	{Name: "placement_lives", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "restarts and new weights of endpoints noticed", Action: "Many without a rollout: engines crash."},
	{Name: "load_report_errors", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "load reports that could not be read", Action: "Check the endpoints' /load; placement goes on with its own counts."},
	{Name: "cache_events", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "cache events applied", Action: "None."},
	{Name: "cache_event_gaps", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "gaps in streams of cache events, lost or skipped for the byte budget", Action: "None under load. If placement_missed_tokens grows too, raise placement.event_bytes."},
}

// meters holds the metrics of one Fleet.
type meters struct {
	decisions, spills, full, noEndpoint metrics.Counter
	prompt, cached, missed              metrics.Counter
	lives, reportErrors, events, gaps   metrics.Counter
	loads, loadMisses, keeps            metrics.Counter
	beliefs, ejected                    metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return meters{
		decisions:    counter("placement_decisions"),
		spills:       counter("placement_spills"),
		full:         counter("placement_full"),
		noEndpoint:   counter("placement_no_endpoint"),
		prompt:       counter("placement_prompt_tokens"),
		cached:       counter("placement_cached_tokens"),
		missed:       counter("placement_missed_tokens"),
		lives:        counter("placement_lives"),
		loads:        counter("placement_loads"),
		loadMisses:   counter("placement_load_misses"),
		keeps:        counter("placement_keeps"),
		reportErrors: counter("load_report_errors"),
		events:       counter("cache_events"),
		gaps:         counter("cache_event_gaps"),
		beliefs:      metrics.GetOrRegisterGauge("placement_beliefs", r),
		ejected:      metrics.GetOrRegisterGauge("placement_ejected", r),
	}
}
