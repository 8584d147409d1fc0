package roster

import (
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// departureTTL is how long it is known that an endpoint left; longer than copies of
	// the store are old.
	departureTTL = 2 * time.Minute
	// copiedRecordTime is how long the record of an endpoint that had left may stay in a
	// restored store without heartbeats.
	copiedRecordTime = 20 * time.Second
)

// leavingReport is the record of an endpoint when it said that it leaves, and the time.
type leavingReport struct {
	record hbs.Endpoint
	at     time.Time
}

// saidLeaving reports whether this incarnation of e said that it leaves. The caller holds
// mu.
func (d *Directory) saidLeaving(e *hbs.Endpoint) bool {
	r, ok := d.leaving[e.ID]
	return ok && r.record.SameIncarnation(e)
}

// ReportLeaving records that an endpoint, as it was in the roster then, said in a response
// that it leaves (rule 9).
func (d *Directory) ReportLeaving(e *hbs.Endpoint) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	now, ok := d.records[e.ID]
	if !ok || !now.SameIncarnation(e) || d.saidLeaving(e) {
		return
	}
	d.leaving[e.ID] = leavingReport{now, time.Now()}
	if d.Log != nil {
		d.Log.Info("endpoint says that it leaves", zap.String("endpoint", string(e.ID)), zap.String("service", string(e.Service)),
			zap.String("incarnation", string(e.Incarnation)), zap.String("state", string(now.State)))
	}
	d.publish()
}

// hasLeft reports whether an endpoint gets no new work whatever its record says (rules 8
// and 9). The caller holds mu.
func (d *Directory) hasLeft(e *hbs.Endpoint) bool {
	return d.copied(e.ID) || d.saidLeaving(e)
}

// departure is what is known of an endpoint that left (rule 8).
type departure struct {
	incarnation hbs.Incarnation
	heartbeats  float64
	// restores is the number of restores of the store at the last record before.
	restores uint64
	at       time.Time
	// copiedAt is when a record of before was found in a restored store; zero if none
	// was.
	copiedAt time.Time
}

// recordDeparture records that e left. The caller holds mu.
func (d *Directory) recordDeparture(e *hbs.Endpoint, now time.Time) {
	if d.copied(e.ID) {
		return
	}
	d.departures[e.ID] = &departure{incarnation: e.Incarnation, heartbeats: e.Heartbeats, restores: e.Revision.Restores(), at: now}
}

// trackDeparture updates what is known of departures by a new record. The caller holds
// mu.
func (d *Directory) trackDeparture(e *hbs.Endpoint, now time.Time) {
	if e.State == hbs.StateLeaving {
		d.recordDeparture(e, now)
		return
	}
	known := d.departures[e.ID]
	if known == nil {
		return
	}
	if known.incarnation != e.Incarnation || e.Revision.Restores() == known.restores || e.Heartbeats > known.heartbeats {
		delete(d.departures, e.ID)
		return
	}
	if known.copiedAt.IsZero() {
		known.copiedAt = now
		d.logCopied(e, known, now)
	}
}

// copied reports whether the record of an endpoint is a copy of one from before it left.
// The caller holds mu.
func (d *Directory) copied(id hbs.EndpointID) bool {
	known := d.departures[id]
	return known != nil && !known.copiedAt.IsZero()
}

// expireDepartures forgets old departures. It reports whether records are used again
// therefore. The caller holds mu.
func (d *Directory) expireDepartures(now time.Time) (changed bool) {
	for id, r := range d.leaving {
		if _, listed := d.records[id]; !listed && now.Sub(r.at) > departureTTL {
			delete(d.leaving, id)
		}
	}
	for id, known := range d.departures {
		if known.copiedAt.IsZero() && now.Sub(known.at) > departureTTL {
			delete(d.departures, id)
		}
		if !known.copiedAt.IsZero() && now.Sub(known.copiedAt) > copiedRecordTime {
			delete(d.departures, id)
			changed = true
		}
	}
	return changed
}

func (d *Directory) logCopied(e *hbs.Endpoint, known *departure, now time.Time) {
	if d.Log == nil {
		return
	}
	d.Log.Info("record of an endpoint that had left", zap.String("endpoint", string(e.ID)), zap.String("incarnation", string(e.Incarnation)),
		zap.Float64("heartbeats", e.Heartbeats), zap.Float64("heartbeats_before", known.heartbeats), zap.Duration("left", now.Sub(known.at)))
}
