// Package roster keeps the endpoints that a platform lists, where endpoints
// register themselves and a record is the platform's word.
//
// Rules:
//
//  1. A record that can't be decoded names no endpoint; the others hold.
//  2. A record that says that the endpoint leaves, or that is removed, ends new
//     work there at once.
//  3. Records lapse while the platform is away, and those of endpoints that live
//     are back soon after its return. So an endpoint whose record is missing
//     within ReturnTime after a time without the platform stays until that time
//     is over.
//  4. What an endpoint says in-band goes before an older record: an endpoint with
//     other weights than its record gets no work that names weights until the
//     record changes.
//  5. An engine that an instance says it brings to newer weights gets no new work
//     until its record has them, for at most ChangeTime: it would refuse it.
//  6. Engines with weights that are too old get no new work, unless no engine of
//     their model has newer ones.
//  7. Engines with older weights than the newest ones are marked, and those that
//     are next to change them.
package roster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Directory implements hornbeamstage.Directory. Its fields are set before use.
type Directory struct {
	// Self is listed as the one instance.
	Self hbs.Instance
	// ReturnTime is how long records may be missing after the platform is back.
	ReturnTime time.Duration
	// ChangeTime is how long an engine may take to change its weights.
	ChangeTime time.Duration
	// TooOld reports whether an engine's weights are too old for new work (rule 6);
	// nil if none are.
	TooOld func(*hbs.Endpoint) bool
	// Lagging returns the engines with older weights than the newest ones (rule 7);
	// nil if none have.
	Lagging func([]hbs.Endpoint) map[hbs.EndpointID]hbs.Rollout

	once sync.Once

	mu sync.Mutex
	// records are the endpoints by id, missing those whose record lapsed (rule 3).
	records map[hbs.EndpointID]hbs.Endpoint
	missing map[hbs.EndpointID]time.Time
	// changes are the engines that change their weights (rule 5).
	changes map[hbs.EndpointID]change
	// out are the engines that get no new work in roster, by rules 5 and 6.
	out map[hbs.EndpointID]bool
	// lagging are those of rule 7.
	lagging map[hbs.EndpointID]hbs.Rollout
	// backAt is when the platform was last reached again after an absence.
	backAt  time.Time
	roster  *hbs.Roster
	changed chan struct{}
}

// change is the way of an engine to other weights.
type change struct {
	from  hbs.WeightsVersion
	until time.Time
}

var _ hbs.Directory = (*Directory)(nil)

func (d *Directory) init() {
	d.once.Do(func() {
		d.records = map[hbs.EndpointID]hbs.Endpoint{}
		d.missing = map[hbs.EndpointID]time.Time{}
		d.changes = map[hbs.EndpointID]change{}
		d.changed = make(chan struct{})
		d.roster = &hbs.Roster{Instances: []hbs.Instance{d.Self}}
	})
}

// Roster implements hornbeamstage.Directory.
func (d *Directory) Roster() *hbs.Roster {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster
}

// Changed implements hornbeamstage.Directory.
func (d *Directory) Changed() <-chan struct{} {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Endpoint returns the newest record of an endpoint.
func (d *Directory) Endpoint(id hbs.EndpointID) (e hbs.Endpoint, ok bool) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok = d.records[id]
	return e, ok
}

// Put takes the newest record of an endpoint.
func (d *Directory) Put(e hbs.Endpoint) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(e)
	d.publish()
}

func (d *Directory) put(e hbs.Endpoint) {
	d.records[e.ID] = e
	delete(d.missing, e.ID)
}

// Changing takes the word that an engine is being brought from the weights that
// it has to others (rule 5). It is said again and again and counts from the first.
func (d *Directory) Changing(id hbs.EndpointID, from hbs.WeightsVersion) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.changes[id]; ok && c.from == from {
		return
	}
	d.changes[id] = change{from, time.Now().Add(d.ChangeTime)}
	d.publish()
}

// Remove takes the word that an endpoint's record is gone, or names none.
func (d *Directory) Remove(id hbs.EndpointID) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(id, time.Now())
	d.publish()
}

func (d *Directory) remove(id hbs.EndpointID, now time.Time) {
	if _, ok := d.records[id]; !ok {
		return
	}
	if until := d.backAt.Add(d.ReturnTime); now.Before(until) { // rule 3
		if _, known := d.missing[id]; !known {
			d.missing[id] = until
		}
		return
	}
	d.drop(id)
}

// drop forgets an endpoint. The caller holds mu.
func (d *Directory) drop(id hbs.EndpointID) {
	delete(d.records, id)
	delete(d.changes, id)
}

// Replace takes a whole listing.
func (d *Directory) Replace(all []hbs.Endpoint) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	listed := map[hbs.EndpointID]bool{}
	for _, e := range all {
		listed[e.ID] = true
		d.put(e)
	}
	for id := range d.records {
		if !listed[id] {
			d.remove(id, now)
		}
	}
	d.publish()
}

// Returned tells that the platform is reached again after an absence. It is
// called before the news of the absence is taken.
func (d *Directory) Returned() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backAt = time.Now()
}

// Expire applies the rules that hang on time: it drops the endpoints whose
// records did not come back (rule 3) and looks anew for engines that get no new
// work (rules 5 and 6).
func (d *Directory) Expire() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	dropped := false
	for id, until := range d.missing {
		if now.After(until) {
			delete(d.missing, id)
			d.drop(id)
			dropped = true
		}
	}
	if dropped || !maps.Equal(d.out, d.outOfUse()) || !maps.Equal(d.lagging, d.lag(d.roster.Endpoints)) {
		d.publish()
	}
}

// outOfUse returns the engines that get no new work by rules 5 and 6. The caller
// holds mu.
func (d *Directory) outOfUse() map[hbs.EndpointID]bool {
	out, old := map[hbs.EndpointID]bool{}, map[hbs.EndpointID]bool{}
	newer := map[hbs.ModelName]bool{}
	now := time.Now()
	for id, e := range d.records {
		switch c, ok := d.changes[id]; {
		case e.Kind != hbs.KindEngine || e.State != hbs.StateLive:
		case ok && c.from == e.Weights && now.Before(c.until):
			out[id] = true
		case d.TooOld != nil && d.TooOld(&e):
			old[id] = true
		default:
			newer[e.Model] = true
		}
	}
	for id := range old {
		if newer[d.records[id].Model] {
			out[id] = true
		}
	}
	return out
}

// Misplaced takes the word of an endpoint that it has other weights than its
// record says (rule 4). The new ones may be empty where they are not known.
func (d *Directory) Misplaced(id hbs.EndpointID, was, now hbs.WeightsVersion) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.records[id]
	if !ok || e.Weights != was || now == "" || now == was {
		return
	}
	e.Weights = now
	d.records[id] = e
	d.publish()
}

// publish makes the records the roster. The caller holds mu.
func (d *Directory) publish() {
	r := &hbs.Roster{Instances: []hbs.Instance{d.Self}}
	d.out = d.outOfUse()
	for id, e := range d.records {
		if d.out[id] {
			e.State = hbs.StateDraining
		}
		r.Endpoints = append(r.Endpoints, e)
	}
	slices.SortFunc(r.Endpoints, func(a, b hbs.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	d.lagging = d.lag(r.Endpoints)
	for i := range r.Endpoints {
		r.Endpoints[i].Rollout = d.lagging[r.Endpoints[i].ID]
	}
	d.roster = r
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Directory) lag(es []hbs.Endpoint) map[hbs.EndpointID]hbs.Rollout {
	if d.Lagging == nil {
		return nil
	}
	return d.Lagging(es)
}
