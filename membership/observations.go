package membership

import (
	"slices"
	"sync"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/notification"
)

// maxReplaced is how many replaced incarnations of an endpoint are remembered.
// Answers of still older incarnations are not expected any more.
const maxReplaced = 8

// observations records what attempts and probes showed about the endpoints.
type observations struct {
	mu      sync.Mutex
	byID    map[hbs.EndpointID]*observation
	version uint64
	changed notification.Signal
}

// observation is what attempts and probes showed about one endpoint.
type observation struct {
	suspect bool
	// weights were reported by an answer while the list's record had revision; a
	// newer record overrides them.
	weights  hbs.WeightsVersion
	revision hbs.Revision
	// incarnation is the current one, replaced has the most recent earlier ones.
	incarnation hbs.Incarnation
	replaced    []hbs.Incarnation
}

func newObservations() *observations {
	return &observations{byID: map[hbs.EndpointID]*observation{}}
}

// Changed returns a channel that is closed on the next change.
func (o *observations) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed.Next()
}

// Version returns the number of changes so far.
func (o *observations) Version() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// markSuspect marks the endpoint suspect and reports whether it was not before.
func (o *observations) markSuspect(id hbs.EndpointID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	ob := o.get(id)
	if ob.suspect {
		return false
	}
	ob.suspect = true
	o.notify()
	return true
}

// clearSuspect removes the mark.
func (o *observations) clearSuspect(id hbs.EndpointID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ob := o.get(id); ob.suspect {
		ob.suspect = false
		o.notify()
	}
}

// recordAnswer applies what the endpoint reported about itself (rule 4).
func (o *observations) recordAnswer(id hbs.EndpointID, inc hbs.Incarnation, weights hbs.WeightsVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ob := o.get(id)
	if inc != "" && slices.Contains(ob.replaced, inc) {
		return
	}
	changed := false
	if inc != "" && inc != ob.incarnation {
		ob.setIncarnation(inc)
		changed = true
	}
	if weights != "" && weights != ob.weights {
		ob.weights = weights
		changed = true
	}
	if changed {
		o.notify()
	}
}

// setIncarnation makes inc current and remembers the one it replaces.
func (ob *observation) setIncarnation(inc hbs.Incarnation) {
	if ob.incarnation != "" {
		ob.replaced = append(ob.replaced, ob.incarnation)
		ob.replaced = ob.replaced[max(0, len(ob.replaced)-maxReplaced):]
	}
	ob.incarnation = inc
}

// apply returns the list's record with the observations merged in.
func (o *observations) apply(l mirror.Record[hbs.Endpoint]) hbs.Endpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := l.Value
	ob := o.get(e.ID)
	if l.Revision > ob.revision {
		ob.revision = l.Revision
		ob.weights = ""
		ob.updateFromList(e.Incarnation)
	}
	if ob.incarnation != "" {
		e.Incarnation = ob.incarnation
	}
	if ob.weights != "" {
		e.Weights = ob.weights
	}
	if ob.suspect && e.State == hbs.StateLive {
		e.State = hbs.StateSuspect
	}
	return e
}

// updateFromList applies the incarnation of a newer record. An outdated list may
// name one that was replaced already.
func (ob *observation) updateFromList(inc hbs.Incarnation) {
	if inc == "" || inc == ob.incarnation || slices.Contains(ob.replaced, inc) {
		return
	}
	ob.setIncarnation(inc)
}

// suspectIDs returns the suspect endpoints, sorted.
func (o *observations) suspectIDs() []hbs.EndpointID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []hbs.EndpointID
	for id, ob := range o.byID {
		if ob.suspect {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// retain removes all endpoints that are not in es. apply has added those of es, so
// equal sizes mean that there is nothing to remove.
func (o *observations) retain(es []hbs.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.byID) == len(es) {
		return
	}
	retained := make(map[hbs.EndpointID]*observation, len(es))
	for i := range es {
		if ob := o.byID[es[i].ID]; ob != nil {
			retained[es[i].ID] = ob
		}
	}
	o.byID = retained
}

// get returns the endpoint's observation, adding an empty one if there is none. The
// caller holds mu.
func (o *observations) get(id hbs.EndpointID) *observation {
	ob := o.byID[id]
	if ob == nil {
		ob = &observation{}
		o.byID[id] = ob
	}
	return ob
}

// notify signals a change. The caller holds mu.
func (o *observations) notify() {
	o.version++
	o.changed.Send()
}
