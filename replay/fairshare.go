package replay

import (
	"maps"
	"math"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// FairShare tells what the workspaces lost that ask for no more than their fair
// share of the engines. It looks at the time of the surges, or at the whole
// trace when there is none.
type FairShare struct {
	// Workspaces counts those under their share, Over those above.
	Workspaces int `json:"workspaces"`
	Over       int `json:"over"`
	// Requests counts the model requests of the workspaces under their share,
	// Lost those without an answer within their deadline, Refused those of them
	// that were told not_run.
	Requests int `json:"requests"`
	Lost     int `json:"lost"`
	Refused  int `json:"refused"`
}

// demand is engine seconds that workspaces ask of one model.
type demand map[hbs.WorkspaceID]float64

// measureFairShare splits each model's engines among the workspaces by max-min
// fairness and judges those that ask for no more than their part.
func (r *Replay) measureFairShare(rep *Report, o *oracle) {
	spans := r.surgeSpans()
	under := r.underShare(spans, o)
	for _, ok := range under {
		if ok {
			rep.FairShare.Workspaces++
		} else {
			rep.FairShare.Over++
		}
	}
	for _, res := range r.results {
		q := res.request
		if res.again || q.LeaveSeconds > 0 || q.Model == "" || !under[q.Workspace] || !within(spans, q.At) {
			continue
		}
		rep.FairShare.Requests++
		if !res.good() {
			rep.FairShare.Lost++
		}
		if res.outcome == hbs.OutcomeNotRun {
			rep.FairShare.Refused++
		}
	}
}

// surgeSpans are the times in which a workspace surges.
func (r *Replay) surgeSpans() (spans []trace.Crest) {
	for i := range r.Faults {
		if f := &r.Faults[i]; f.Kind == FaultWorkspaceSurge {
			from, to := f.span(r.Trace.Header.Seconds)
			spans = append(spans, trace.Crest{From: from, To: to})
		}
	}
	if len(spans) == 0 {
		return []trace.Crest{{From: 0, To: r.Trace.Header.Seconds}}
	}
	return spans
}

func within(spans []trace.Crest, at float64) bool {
	return slices.ContainsFunc(spans, func(s trace.Crest) bool { return at >= s.From && at < s.To })
}

// underShare tells of each workspace with model requests whether it asks for no
// more than its share of every model.
func (r *Replay) underShare(spans []trace.Crest, o *oracle) map[hbs.WorkspaceID]bool {
	seconds := 0.0
	for _, s := range spans {
		seconds += s.To - s.From
	}
	demands := r.demands(spans, o)
	under := map[hbs.WorkspaceID]bool{}
	for _, g := range r.Trace.Header.Fleet.Engines {
		level := demands[g.Model].level(float64(g.Count) * seconds)
		for id, d := range demands[g.Model] {
			known, ok := under[id]
			under[id] = d <= level && (known || !ok)
		}
	}
	return under
}

// demands sums what arrives in the spans, as if every prefix that fits were hit.
func (r *Replay) demands(spans []trace.Crest, o *oracle) map[hbs.ModelName]demand {
	demands := map[hbs.ModelName]demand{}
	shapes := map[hbs.ModelName]engine.Shape{}
	for _, g := range r.Trace.Header.Fleet.Engines {
		demands[g.Model] = demand{}
		shapes[g.Model] = g.Shape
	}
	for i := range r.Trace.Requests {
		q := &r.Trace.Requests[i]
		if q.Model != "" && within(spans, q.At) {
			demands[q.Model][q.Workspace] += shapes[q.Model].Cost(o.computed[q.ID], q.Output)
		}
	}
	return demands
}

// level is the most that one workspace gets of capacity by max-min fairness.
func (d demand) level(capacity float64) (level float64) {
	left := len(d)
	for _, asked := range slices.Sorted(maps.Values(d)) {
		level = capacity / float64(left)
		if asked > level {
			return level
		}
		capacity -= asked
		left--
	}
	return math.Inf(1)
}
