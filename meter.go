package hornbeamstage

// MeterKind is the kind of a metric.
type MeterKind string

// The kinds of metric.
const (
	MeterCounter   MeterKind = "counter"
	MeterGauge     MeterKind = "gauge"
	MeterHistogram MeterKind = "histogram"
)

// Meter documents one metric. Each package declares its own metrics;
// package catalog collects them and generates the documentation for operators.
type Meter struct {
	// Name is in snake case and unique, such as "placement_spills".
	Name string
	Kind MeterKind
	Unit Unit
	// Title is a short phrase. Action says what an operator should do when the value
	// grows.
	Title, Action string
}

// OutcomeMeters returns a counter for each outcome and each reason. The names are
// the given prefixes followed by the outcome or reason.
func OutcomeMeters(outcomePrefix, reasonPrefix string) []Meter {
	var meters []Meter
	for _, o := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUnknown, OutcomeFailed} {
		meters = append(meters, Meter{Name: outcomePrefix + string(o), Kind: MeterCounter, Unit: UnitCount,
			Title: "Requests with the outcome " + string(o), Action: "Check the counters by reason."})
	}
	for _, info := range Reasons {
		meters = append(meters, Meter{Name: reasonPrefix + string(info.Reason), Kind: MeterCounter, Unit: UnitCount,
			Title: "Requests refused or failed: " + info.Title, Action: info.Text})
	}
	return meters
}
