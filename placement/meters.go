package placement

import (
	metrics "github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Meters lists the metrics of placement.
var Meters = []hbs.Meter{
	{Name: "placement_decisions", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts placed", Action: "None."},
	{Name: "placement_spills", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts placed outside the home set of their prompt", Action: "More than a tenth of placement_decisions for long: add endpoints."},
	{Name: "placement_full", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "decisions that found all endpoints at their limits", Action: "Growth at the daily peak is normal; growth all day means too few endpoints."},
	{Name: "placement_no_endpoint", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "decisions that found no endpoint", Action: "Check the endpoints' states and weights versions in the platform."},
	{Name: "placement_prompt_tokens", Kind: hbs.MeterCounter, Unit: hbs.UnitTokens, Title: "prompt tokens of finished attempts", Action: "None."},
	{Name: "placement_cached_tokens", Kind: hbs.MeterCounter, Unit: hbs.UnitTokens, Title: "prompt tokens that engines found cached", Action: "A falling share of placement_prompt_tokens: caches are too small or prefixes have moved to other endpoints."},
	{Name: "placement_missed_tokens", Kind: hbs.MeterCounter, Unit: hbs.UnitTokens, Title: "prompt tokens believed cached that engines did not have", Action: "A share above 5%: engines evict earlier than estimated, or cache events are lost."},
	{Name: "placement_loads", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts placed where a part of the prompt is to be loaded from the shared KV cache store or from another engine", Action: "None."},
	{Name: "placement_load_misses", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts that got less than half of the expected tokens from the shared KV cache store", Action: "Steady growth relative to placement_loads: check the store and the engines' connections to it; prompts are computed instead."},
	{Name: "placement_keeps", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "attempts whose engine is asked to put a prefix into the shared KV cache store", Action: "None."},
	{Name: "placement_beliefs", Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "prefixes believed to be cached on endpoints", Action: "Near placement.belief_entries: raise that setting."},
	{Name: "placement_ejected", Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "endpoints that get one attempt at a time because they are slow", Action: "The same endpoint for minutes: check its machine."},
	{Name: "placement_limited", Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "endpoints that name a limit of requests per second", Action: "Endpoints are in need: look for the log line what an endpoint takes changed, and at their machines. Requests go to other endpoints, or wait."},
	{Name: "placement_lives", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "restarts and changes of weights of endpoints", Action: "Many without a rollout: engines crash."},
	{Name: "load_report_errors", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "load reports that could not be read", Action: "Check the endpoints' /load; placement then counts only the outstanding work of the instance and its peers."},
	{Name: "cache_events", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "cache events applied", Action: "None."},
	{Name: "cache_event_errors", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "streams of cache events that ended or could not be opened", Action: "Look for the log line cache events interrupted, which has the endpoint and the error; beliefs of that endpoint are less exact until the stream is back."},
	{Name: "cache_event_gaps", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "gaps in streams of cache events, which were lost or skipped to stay within the byte budget", Action: "None under load. If placement_missed_tokens grows too, raise placement.event_bytes."},
}

// meters holds the metrics of one Placer.
type meters struct {
	decisions, spills, full, noEndpoint     metrics.Counter
	prompt, cached, missed                  metrics.Counter
	generations, reportErrors, events, gaps metrics.Counter
	eventErrors                             metrics.Counter
	loads, loadMisses, storeRequests        metrics.Counter
	beliefs, ejected, limited               metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return meters{
		decisions:     counter("placement_decisions"),
		spills:        counter("placement_spills"),
		full:          counter("placement_full"),
		noEndpoint:    counter("placement_no_endpoint"),
		prompt:        counter("placement_prompt_tokens"),
		cached:        counter("placement_cached_tokens"),
		missed:        counter("placement_missed_tokens"),
		generations:   counter("placement_lives"),
		loads:         counter("placement_loads"),
		loadMisses:    counter("placement_load_misses"),
		storeRequests: counter("placement_keeps"),
		reportErrors:  counter("load_report_errors"),
		events:        counter("cache_events"),
		eventErrors:   counter("cache_event_errors"),
		gaps:          counter("cache_event_gaps"),
		beliefs:       metrics.GetOrRegisterGauge("placement_beliefs", r),
		ejected:       metrics.GetOrRegisterGauge("placement_ejected", r),
		limited:       metrics.GetOrRegisterGauge("placement_limited", r),
	}
}
