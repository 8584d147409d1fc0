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
package roster

import (
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

	once sync.Once

	mu sync.Mutex
	// records are the endpoints by id, missing those whose record lapsed (rule 3).
	records map[hbs.EndpointID]hbs.Endpoint
	missing map[hbs.EndpointID]time.Time
	// backAt is when the platform was last reached again after an absence.
	backAt  time.Time
	roster  *hbs.Roster
	changed chan struct{}
}

var _ hbs.Directory = (*Directory)(nil)

func (d *Directory) init() {
	d.once.Do(func() {
		d.records = map[hbs.EndpointID]hbs.Endpoint{}
		d.missing = map[hbs.EndpointID]time.Time{}
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
	delete(d.records, id)
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

// Expire drops the endpoints whose records did not come back in time (rule 3).
func (d *Directory) Expire() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	dropped := false
	for id, until := range d.missing {
		if now.After(until) {
			delete(d.missing, id)
			delete(d.records, id)
			dropped = true
		}
	}
	if dropped {
		d.publish()
	}
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
	for _, e := range d.records {
		r.Endpoints = append(r.Endpoints, e)
	}
	slices.SortFunc(r.Endpoints, func(a, b hbs.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	d.roster = r
	close(d.changed)
	d.changed = make(chan struct{})
}
