package admission

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// minRetryAfter is the least time that a refused caller is told to wait.
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
	{Key: KnobQueueLimit, Title: "requests that wait for one model", Text: "Of one instance. A longer queue only makes sense with deadlines that allow it.",
		Unit: hbs.UnitCount, Default: 10000, Min: 0, Max: 100000},
	{Key: KnobMaxWait, Title: "longest wait in the queue", Text: "Also bounds requests without a deadline.",
		Unit: hbs.UnitDuration, Default: 30, Min: 0.1, Max: 600},
	{Key: KnobTick, Title: "time between two tries of the queue", Text: "Room that the peers' attempts leave is noticed within this time.",
		Unit: hbs.UnitDuration, Default: 0.02, Min: 0.001, Max: 1},
	{Key: KnobPromptWeight, Title: "cost of a prompt token in output tokens", Text: "A prompt token is computed in bulk, most of them are cached.",
		Unit: hbs.UnitCount, Default: 0.02, Min: 0, Max: 1},
	{Key: KnobLongTokens, Title: "work that counts as long", Text: "In output tokens, the prompt's share included.",
		Unit: hbs.UnitTokens, Default: 600, Min: 1, Max: 1e6},
	{Key: KnobLongShare, Title: "share of long work while short work waits", Text: "Keeps long work from starving.",
		Unit: hbs.UnitShare, Default: 0.2, Min: 0.01, Max: 0.99},
	{Key: KnobLongSlots, Title: "share of an endpoint's slots that long work may take", Text: "Lower it when short work waits behind long prefills.",
		Unit: hbs.UnitShare, Default: 0.25, Min: 0, Max: 1},
}

// Meters documents the metrics of the package.
var Meters = []hbs.Meter{
	{Name: "admission_queued", Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "requests waiting", Action: "Growth means that the endpoints are full; add some or lower the limits of workspaces."},
	{Name: "admission_waited", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests that waited before they were placed", Action: "None; compare with all requests."},
	{Name: "admission_refused_early", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused on arrival because their deadline could not be met", Action: "Overload; callers were told when to come back."},
	{Name: "admission_refused_late", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused on placement because the endpoint was predicted to be too slow", Action: "Overload, or slow endpoints."},
	{Name: "admission_given_up", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused in the queue when their deadline came out of reach", Action: "Overload."},
	{Name: "admission_expired", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests whose deadline passed in the queue", Action: "Deadlines shorter than the service itself; look at the callers."},
	{Name: "admission_pushed_out", Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests refused because the queue was full", Action: "Overload by the workspace that waits most; look at its limits."},
}
