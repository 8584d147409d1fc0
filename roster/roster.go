// Package roster maintains the roster on a platform where endpoints register
// themselves and their records are authoritative.
//
// Rules:
//
//  1. A record that can't be decoded describes no endpoint, and ends new work there
//     at once; other records are not affected.
//  2. A record that reports its endpoint as leaving, or that is removed, ends new
//     work there at once.
//  3. Records expire during an outage of the platform, and live endpoints
//     register again soon after it. So an endpoint whose record is missing
//     within RecoveryGrace after an outage stays in the roster until that time
//     has passed.
//  4. What an endpoint reports in-band overrides an older record: an endpoint
//     with other weights than its record is listed with those it reported, so
//     that it gets no work for the recorded ones, until the record changes.
//  5. An engine that an instance announces as changing to newer weights gets no
//     new work, because it would refuse it, until its record has them or
//     ChangeTimeout has passed.
//  6. An engine whose weights are too old gets no new work while another engine of
//     its model that gets work has weights that aren't. While the weights of all are too old,
//     those get work whose weights are not due yet, and while all are due those
//     with the newest ones, unless they are barred: old answers are better than none
//     where an instance can't have known better.
//  7. The roster marks the engines with older weights than the newest version,
//     and among them those that are next to change.
//  8. A store that was restored from a copy may have older records again. An
//     incarnation of an endpoint that left before the restore is leaving, unless its
//     record has more heartbeats than before or stays for copiedRecordTime: the
//     platform removes a record without heartbeats.
//  9. An endpoint that says in a response that it leaves gets no new work, whatever
//     its record says, as long as it has the same incarnation and address.
package roster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/notification"
)

// Directory implements hornbeamstage.Directory. Its fields must be set before use.
type Directory struct {
	// Self is the only instance in the roster.
	Self hbs.Instance
	// RecoveryGrace is how long records may be missing after an outage of the
	// platform.
	RecoveryGrace time.Duration
	// ChangeTimeout is the longest time that an engine may take to change its
	// weights.
	ChangeTimeout time.Duration
	// TooOld reports whether an engine's weights are too old for new work (rule 6);
	// nil means never.
	TooOld func(*hbs.Endpoint) bool
	// Due reports whether an engine's weights, which are too old, were to be replaced
	// by now; nil means always.
	Due func(*hbs.Endpoint) bool
	// Barred reports whether an engine, whose weights are due, must get no work even if no
	// other engine of its model has better ones; nil means never.
	Barred func(*hbs.Endpoint) bool
	// Rollouts returns the rollout state of the engines with older weights than the
	// newest version (rule 7); nil means that there are none.
	Rollouts func([]hbs.Endpoint) map[hbs.EndpointID]hbs.Rollout
	// Log may be nil.
	Log *zap.Logger

	once sync.Once

	mu sync.Mutex
	// records has the known endpoints, including those whose records are missing.
	records map[hbs.EndpointID]hbs.Endpoint
	// missing has the endpoints whose records are missing, with the time at which
	// they are dropped (rule 3).
	missing map[hbs.EndpointID]time.Time
	// changes has the announced changes of weights (rule 5).
	changes map[hbs.EndpointID]pendingChange
	// weights has the engines in roster to which rule 5 or 6 applies.
	weights map[hbs.EndpointID]weightsState
	// rollouts has the marks of rule 7 in roster.
	rollouts map[hbs.EndpointID]hbs.Rollout
	// recoveredAt is when the platform last became reachable after an outage.
	recoveredAt time.Time
	// departures has the endpoints that left within departureTTL (rule 8).
	departures map[hbs.EndpointID]*departure
	// leaving has the endpoints that said that they leave (rule 9).
	leaving map[hbs.EndpointID]leavingReport
	roster  *hbs.Roster
	changed notification.Signal
	// batches is the number of calls of Batch that run, unpublished is set if something
	// changed meanwhile.
	batches     int
	unpublished bool
}

// pendingChange is an announced change of an engine's weights.
type pendingChange struct {
	from  hbs.WeightsVersion
	until time.Time
}

var _ hbs.Directory = (*Directory)(nil)

func (d *Directory) init() {
	d.once.Do(func() {
		d.records = map[hbs.EndpointID]hbs.Endpoint{}
		d.missing = map[hbs.EndpointID]time.Time{}
		d.changes = map[hbs.EndpointID]pendingChange{}
		d.departures = map[hbs.EndpointID]*departure{}
		d.leaving = map[hbs.EndpointID]leavingReport{}
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
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed.Next()
}

// Endpoint returns the most recent record of an endpoint.
func (d *Directory) Endpoint(id hbs.EndpointID) (e hbs.Endpoint, ok bool) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok = d.records[id]
	return e, ok
}

// Put stores the new record of an endpoint.
func (d *Directory) Put(e hbs.Endpoint) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(e)
	d.publish()
}

// put stores a record. The caller holds mu.
func (d *Directory) put(e hbs.Endpoint) {
	d.records[e.ID] = e
	delete(d.missing, e.ID)
	if !d.saidLeaving(&e) {
		delete(d.leaving, e.ID)
	}
	d.trackDeparture(&e, time.Now())
}

// AnnounceChange records that an engine is about to change from its current
// weights to others (rule 5). The announcement may be repeated; ChangeTimeout
// counts from the first one.
func (d *Directory) AnnounceChange(id hbs.EndpointID, from hbs.WeightsVersion) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.changes[id]; ok && c.from == from {
		return
	}
	d.changes[id] = pendingChange{from, time.Now().Add(d.ChangeTimeout)}
	d.publish()
}

// Discard handles a record that can't be decoded (rule 1). It has not expired, so rule
// 3 does not apply to it.
func (d *Directory) Discard(id hbs.EndpointID) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.records[id]; !ok {
		return
	}
	delete(d.missing, id)
	d.removeEndpoint(id)
	d.publish()
}

// Remove handles a record that was deleted.
func (d *Directory) Remove(id hbs.EndpointID) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(id, time.Now())
	d.publish()
}

// remove drops an endpoint, or marks it as missing soon after an outage (rule 3).
// The caller holds mu.
func (d *Directory) remove(id hbs.EndpointID, now time.Time) {
	if _, ok := d.records[id]; !ok {
		return
	}
	if until := d.recoveredAt.Add(d.RecoveryGrace); now.Before(until) { // rule 3
		if _, known := d.missing[id]; !known {
			d.missing[id] = until
		}
		return
	}
	d.removeEndpoint(id)
}

// removeEndpoint deletes what is known of an endpoint. The caller holds mu.
func (d *Directory) removeEndpoint(id hbs.EndpointID) {
	if e, ok := d.records[id]; ok {
		d.recordDeparture(&e, time.Now())
	}
	delete(d.records, id)
	delete(d.changes, id)
}

// Replace stores a complete list of endpoints.
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

// PlatformRecovered records that the platform is reachable again after an
// outage. It must be called before the changes made during the outage are
// applied.
func (d *Directory) PlatformRecovered() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recoveredAt = time.Now()
}

// ApplyTimeouts applies the rules that depend on time: it drops the endpoints
// whose records did not come back (rule 3) and recomputes the engines that get
// no new work and the marks (rules 5 to 7).
func (d *Directory) ApplyTimeouts() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	dropped := false
	for id, until := range d.missing {
		if now.After(until) {
			delete(d.missing, id)
			d.removeEndpoint(id)
			dropped = true
		}
	}
	if d.expireDepartures(now) {
		dropped = true
	}
	if dropped || !maps.Equal(d.weights, d.findWeightsStates()) || !maps.Equal(d.rollouts, d.findRollouts(d.roster.Endpoints)) {
		d.publish()
	}
}

// SetReportedWeights records that an endpoint reported the weights now where
// its record says was (rule 4). now may be empty if it is unknown; the call has
// no effect then.
func (d *Directory) SetReportedWeights(id hbs.EndpointID, was, now hbs.WeightsVersion) {
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

// Batch runs f and publishes one roster for all that f changes.
func (d *Directory) Batch(f func()) {
	d.init()
	d.mu.Lock()
	d.batches++
	d.mu.Unlock()
	defer d.endBatch()
	f()
}

func (d *Directory) endBatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batches--
	if d.batches == 0 && d.unpublished {
		d.publish()
	}
}

// publish builds the roster from the records, or has that done at the end of the batch. The
// caller holds mu.
func (d *Directory) publish() {
	d.unpublished = d.batches > 0
	if d.unpublished {
		return
	}
	r := &hbs.Roster{Instances: []hbs.Instance{d.Self}}
	d.updateWeightsStates()
	for id, e := range d.records {
		if d.weights[id].excluded() {
			e.State = hbs.StateDraining
		}
		if d.hasLeft(&e) {
			e.State = hbs.StateLeaving
		}
		r.Endpoints = append(r.Endpoints, e)
	}
	slices.SortFunc(r.Endpoints, func(a, b hbs.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	d.rollouts = d.findRollouts(r.Endpoints)
	for i := range r.Endpoints {
		r.Endpoints[i].Rollout = d.rollouts[r.Endpoints[i].ID]
	}
	d.roster = r
	d.changed.Send()
}

// findRollouts returns the marks of rule 7.
func (d *Directory) findRollouts(es []hbs.Endpoint) map[hbs.EndpointID]hbs.Rollout {
	if d.Rollouts == nil {
		return nil
	}
	return d.Rollouts(es)
}
