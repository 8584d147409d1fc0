package replay

import (
	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// load is engine seconds of one model.
type load struct {
	// crest and all are offered in crests and in the whole trace, served is of
	// answers within their deadline.
	crest, all, served float64
	// crestCapacity and capacity are what the engines have.
	crestCapacity, capacity float64
}

// measureLoad compares the work that arrives with what the engines can do in
// that time when every prefix that fits is hit.
func (r *Replay) measureLoad(rep *Report, o *oracle) {
	loads := map[hbs.ModelName]*load{}
	crests := 0.0
	for _, c := range r.Trace.Header.Crests {
		crests += c.To - c.From
	}
	shapes := map[hbs.ModelName]engine.Shape{}
	for _, g := range r.Trace.Header.Fleet.Engines {
		n := float64(g.Count)
		loads[g.Model] = &load{crestCapacity: n * crests, capacity: n * r.Trace.Header.Seconds}
		shapes[g.Model] = g.Shape
	}
	good := r.goodIDs()
	for i := range r.Trace.Requests {
		q := &r.Trace.Requests[i]
		if q.Model == "" {
			continue
		}
		cost := shapes[q.Model].Cost(o.computed[q.ID], q.Output)
		loads[q.Model].add(cost, r.Trace.Header.InCrest(q.At), good[q.ID])
	}
	r.summarize(rep, loads)
	r.measureFairShare(rep, o)
}

func (l *load) add(cost float64, crest, good bool) {
	l.all += cost
	if crest {
		l.crest += cost
	}
	if good {
		l.served += cost
	}
}

func (r *Replay) summarize(rep *Report, loads map[hbs.ModelName]*load) {
	served, servable := 0.0, 0.0
	r.servable = map[hbs.ModelName]float64{}
	for m, l := range loads {
		r.servable[m] = 1
		if l.crest > l.crestCapacity {
			r.servable[m] = l.crestCapacity / l.crest
		}
		if l.crestCapacity > 0 {
			rep.EngineBusyAtCrest = max(rep.EngineBusyAtCrest, l.crest/l.crestCapacity)
		}
		rep.OfferedLoad = max(rep.OfferedLoad, l.all/l.capacity)
		served += l.served
		servable += min(l.all, l.capacity)
	}
	if servable > 0 {
		rep.GoodputOfCapacity = served / servable
	}
}

// goodIDs returns the requests that were answered within their deadline.
func (r *Replay) goodIDs() map[string]bool {
	good := map[string]bool{}
	for _, res := range r.results {
		good[res.request.ID] = good[res.request.ID] || res.good()
	}
	return good
}

// good reports whether the whole answer came within the deadline.
func (r *result) good() bool {
	return r.outcome == hbs.OutcomeAnswered && r.end.Sub(r.due) <= trace.Seconds(r.request.DeadlineSeconds)
}
