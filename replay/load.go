package replay

import (
	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// load is the load on the engines of one model, in engine seconds.
type load struct {
	// crest and all are the load offered in crests and in the whole trace. served
	// is the part of all that was answered within the deadline.
	crest, all, served float64
	// crestCapacity and capacity are what the engines can serve in those times.
	crestCapacity, capacity float64
}

// measureLoad compares the offered load, for the cache hits of the oracle, with the
// capacity of the engines.
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
	r.reportLoad(rep, loads)
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

func (r *Replay) reportLoad(rep *Report, loads map[hbs.ModelName]*load) {
	served, servable := 0.0, 0.0
	r.servableShare = map[hbs.ModelName]float64{}
	for m, l := range loads {
		r.servableShare[m] = 1
		if l.crest > l.crestCapacity {
			r.servableShare[m] = l.crestCapacity / l.crest
		}
		if l.crestCapacity > 0 {
			rep.OfferedLoadAtCrest = max(rep.OfferedLoadAtCrest, l.crest/l.crestCapacity)
		}
		rep.OfferedLoad = max(rep.OfferedLoad, l.all/l.capacity)
		served += l.served
		servable += min(l.all, l.capacity)
	}
	if servable > 0 {
		rep.GoodputOfCapacity = served / servable
	}
}

// goodIDs returns the ids of the requests that were answered within their deadline.
func (r *Replay) goodIDs() map[string]bool {
	good := map[string]bool{}
	for _, res := range r.results {
		good[res.request.ID] = good[res.request.ID] || res.good()
	}
	return good
}

// good reports whether the whole answer arrived within the deadline.
func (r *result) good() bool {
	return r.outcome == hbs.OutcomeAnswered && r.end.Sub(r.sent) <= trace.Seconds(r.request.DeadlineSeconds)
}
