package hornbeamstage

// MeterKind is the kind of a metric.
type MeterKind string

// The kinds of metric.
const (
	MeterCounter   MeterKind = "counter"
	MeterGauge     MeterKind = "gauge"
	MeterHistogram MeterKind = "histogram"
)

// Meter documents one metric. Each part's folder declares its own; the
// operators' page is made from them.
type Meter struct {
	// Name is in snake case and unique, such as "placement_spills".
	Name string
	Kind MeterKind
	Unit Unit
	// Title is a phrase; Action tells an operator what to do when it grows.
	Title, Action string
}
