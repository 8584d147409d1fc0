package admission

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// minRetryAfter is the smallest retry delay returned with a refusal.
const minRetryAfter = time.Second

// The knobs of the package.
const (
	KnobQueueLimit   hbs.KnobKey = "admission.queue_limit"
	KnobMaxWait      hbs.KnobKey = "admission.max_wait"
	KnobTick         hbs.KnobKey = "admission.tick"
	KnobPromptWeight hbs.KnobKey = "admission.prompt_weight"
	KnobLongTokens   hbs.KnobKey = "admission.long_tokens"
	KnobLongShare    hbs.KnobKey = "admission.long_share"
	KnobLongSlots    hbs.KnobKey = "admission.long_slots"
)

// Knobs documents the configurable values of the package.
var Knobs = []hbs.Knob{
	{Key: KnobQueueLimit, Title: "maximum number of requests waiting for one model", Text: "Applies to each instance. A longer queue is useful only with deadlines that allow the wait.",
		Unit: hbs.UnitCount, Default: 10000, Min: 0, Max: 100000},
	{Key: KnobMaxWait, Title: "maximum wait in the queue", Text: "Also limits requests without a deadline.",
		Unit: hbs.UnitDuration, Default: 30, Min: 0.1, Max: 600},
	{Key: KnobTick, Title: "time between two retries of the queue", Text: "Capacity freed by attempts of other instances is used within this time.",
		Unit: hbs.UnitDuration, Default: 0.02, Min: 0.001, Max: 1},
	{Key: KnobPromptWeight, Title: "cost of a prompt token in output tokens", Text: "Prompt tokens are cheaper: they are computed in batches, and most of them are cached.",
		Unit: hbs.UnitCount, Default: 0.02, Min: 0, Max: 1},
	{Key: KnobLongTokens, Title: "work above which a request counts as long", Text: "In output tokens, including the weighted prompt tokens.",
		Unit: hbs.UnitTokens, Default: 600, Min: 1, Max: 1e6},
	{Key: KnobLongShare, Title: "share of long work while short work waits", Text: "Prevents starvation of long work.",
		Unit: hbs.UnitShare, Default: 0.2, Min: 0.01, Max: 0.99},
	{Key: KnobLongSlots, Title: "maximum share of an endpoint's slots for long work", Text: "Lower it when short work waits behind long prefills.",
		Unit: hbs.UnitShare, Default: 0.25, Min: 0, Max: 1},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "admission_queued", Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "requests waiting", Action: "Growth means that the endpoints are full; add endpoints or lower the limits of workspaces."},
	{Name: "admission_waited", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests that waited before they were placed", Action: "None; compare with the total number of requests."},
	{Name: "admission_refused_early", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused on arrival because their deadline could not be met", Action: "Overload; callers received a retry delay."},
	{Name: "admission_refused_late", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused on placement because the endpoint was predicted to be too slow", Action: "Overload, or slow endpoints."},
	{Name: "admission_given_up", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused in the queue because their deadline could no longer be met or the maximum wait was reached", Action: "Overload."},
	{Name: "admission_expired", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests whose deadline passed in the queue", Action: "Deadlines are shorter than the service time; check the callers."},
	{Name: "admission_pushed_out", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused because the queue was full", Action: "Overload by the workspace with the largest backlog; check its limits."},
}
