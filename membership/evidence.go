package membership

import (
	"slices"
	"sync"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// pastIncarnations is how many replaced incarnations of an endpoint are kept;
// answers of older lives are long gone.
const pastIncarnations = 8

// evidence is what attempts and probes told of the endpoints.
type evidence struct {
	mu      sync.Mutex
	byID    map[hbs.EndpointID]*finding
	version uint64
	changed chan struct{}
}

// finding is what is known in-band of one endpoint.
type finding struct {
	suspect bool
	// weights were told by an answer while the list's record had revision; a
	// newer record replaces them.
	weights  hbs.WeightsVersion
	revision hbs.Revision
	// current is the incarnation in force, past those that it replaced.
	current hbs.Incarnation
	past    []hbs.Incarnation
}

func newEvidence() *evidence {
	return &evidence{byID: map[hbs.EndpointID]*finding{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (v *evidence) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Version counts the changes.
func (v *evidence) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

// suspect marks the endpoint and reports whether that is news.
func (v *evidence) suspect(id hbs.EndpointID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.finding(id)
	if f.suspect {
		return false
	}
	f.suspect = true
	v.notify()
	return true
}

// clear takes the mark back.
func (v *evidence) clear(id hbs.EndpointID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if f := v.finding(id); f.suspect {
		f.suspect = false
		v.notify()
	}
}

// answered takes in what the endpoint said of itself (rule 4).
func (v *evidence) answered(id hbs.EndpointID, inc hbs.Incarnation, weights hbs.WeightsVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.finding(id)
	if inc != "" && slices.Contains(f.past, inc) {
		return
	}
	changed := false
	if inc != "" && inc != f.current {
		f.replace(inc)
		changed = true
	}
	if weights != "" && weights != f.weights {
		f.weights = weights
		changed = true
	}
	if changed {
		v.notify()
	}
}

// replace puts inc in force.
func (f *finding) replace(inc hbs.Incarnation) {
	if f.current != "" {
		f.past = append(f.past, f.current)
		f.past = f.past[max(0, len(f.past)-pastIncarnations):]
	}
	f.current = inc
}

// apply returns the list's record with the evidence in it.
func (v *evidence) apply(l mirror.Record[hbs.Endpoint]) hbs.Endpoint {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := l.Value
	f := v.finding(e.ID)
	if l.Revision > f.revision {
		f.revision = l.Revision
		f.weights = ""
		f.relist(e.Incarnation)
	}
	if f.current != "" {
		e.Incarnation = f.current
	}
	if f.weights != "" {
		e.Weights = f.weights
	}
	if f.suspect && e.State == hbs.StateLive {
		e.State = hbs.StateSuspect
	}
	return e
}

// relist takes in the incarnation of a newer record. A list that lags may name
// one that was replaced already.
func (f *finding) relist(inc hbs.Incarnation) {
	if inc == "" || inc == f.current || slices.Contains(f.past, inc) {
		return
	}
	f.replace(inc)
}

// suspects returns the marked endpoints, sorted.
func (v *evidence) suspects() []hbs.EndpointID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []hbs.EndpointID
	for id, f := range v.byID {
		if f.suspect {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// keepOnly forgets endpoints that left the list.
func (v *evidence) keepOnly(es []hbs.Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.byID) == len(es) {
		return
	}
	kept := make(map[hbs.EndpointID]*finding, len(es))
	for i := range es {
		if f := v.byID[es[i].ID]; f != nil {
			kept[es[i].ID] = f
		}
	}
	v.byID = kept
}

func (v *evidence) finding(id hbs.EndpointID) *finding {
	f := v.byID[id]
	if f == nil {
		f = &finding{}
		v.byID[id] = f
	}
	return f
}

func (v *evidence) notify() {
	v.version++
	close(v.changed)
	v.changed = make(chan struct{})
}
