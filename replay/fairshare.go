package replay

import (
	"maps"
	"math"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// FairShare reports what the workspaces lost whose demand is within their max-min
// fair share of the engines. It covers the time of the workspace surges, or the
// whole trace if there is none.
type FairShare struct {
	// Workspaces counts the workspaces within their share, Over those above it.
	Workspaces int `json:"workspaces"`
	Over       int `json:"over"`
	// Requests counts the model requests of the workspaces within their share,
	// Lost those not answered within their deadline, and Refused those with the
	// outcome not_run.
	Requests int `json:"requests"`
	Lost     int `json:"lost"`
	Refused  int `json:"refused"`
}

// demand is the demand of each workspace for one model, in engine seconds.
type demand map[hbs.WorkspaceID]float64

// measureFairShare computes each workspace's max-min fair share of each model's
// engines and counts the results of those whose demand is within it.
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
		if res.repeat || q.LeaveSeconds > 0 || q.Model == "" || !under[q.Workspace] || !within(spans, q.At) {
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

// surgeSpans returns the spans of the workspace surges, or the whole trace if there
// is none.
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

// underShare reports, for each workspace with model requests, whether its demand is
// within its share of every model.
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

// demands sums the demand that arrives in the spans, for the cache hits of the
// oracle.
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

// level returns the largest demand that max-min fairness grants to one workspace,
// or infinity if capacity suffices for all.
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
