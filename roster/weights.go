package roster

import (
	"math"
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// weightsState is what rules 5 and 6 say of an engine.
type weightsState string

const (
	// weightsCurrent is the state of an engine to which neither rule applies.
	weightsCurrent weightsState = ""
	// weightsChanging engines get no new work by rule 5.
	weightsChanging weightsState = "changing"
	// weightsOverdue engines get no new work by rule 6.
	weightsOverdue weightsState = "overdue"
	// weightsOverdueInUse engines get new work although their weights are too old,
	// since no engine of their model has better ones and they aren't barred (rule 6).
	weightsOverdueInUse weightsState = "overdue_in_use"
)

// excluded reports whether an engine in this state gets no new work.
func (s weightsState) excluded() bool { return s == weightsChanging || s == weightsOverdue }

// findWeightsStates returns the engines to which rule 5 or 6 applies. The caller
// holds mu.
func (d *Directory) findWeightsStates() map[hbs.EndpointID]weightsState {
	states := map[hbs.EndpointID]weightsState{}
	best := map[hbs.ModelName]usability{}
	now := time.Now()
	for id, e := range d.records {
		if e.Kind != hbs.KindEngine || e.State != hbs.StateLive || d.hasLeft(&e) {
			continue
		}
		if c, ok := d.changes[id]; ok && c.from == e.Weights && now.Before(c.until) {
			states[id] = weightsChanging
			continue
		}
		u := d.usability(&e)
		if u < usable {
			states[id] = weightsOverdue
		}
		best[e.Model] = max(best[e.Model], u)
	}
	for id, s := range states {
		if e := d.records[id]; s == weightsOverdue && d.usability(&e) == best[e.Model] && !d.barred(&e) {
			states[id] = weightsOverdueInUse
		}
	}
	return states
}

// usability ranks engines by their weights (rule 6): usable if they aren't too old,
// usableUntilDue if they are too old but not yet due, and else their version.
type usability int64

const (
	usable         usability = math.MaxInt64
	usableUntilDue usability = usable - 1
)

func (d *Directory) usability(e *hbs.Endpoint) usability {
	switch {
	case d.TooOld == nil || !d.TooOld(e):
		return usable
	case d.Due != nil && !d.Due(e):
		return usableUntilDue
	}
	return usability(versionOf(e))
}

func (d *Directory) barred(e *hbs.Endpoint) bool { return d.Barred != nil && d.Barred(e) }

// versionOf returns the version of an engine's weights, 0 if it is not known.
func versionOf(e *hbs.Endpoint) int64 {
	n, err := platform.ParseWeights(e.Weights)
	if err != nil {
		return 0
	}
	return n
}

// updateWeightsStates sets weights and logs what has changed. The caller holds mu.
func (d *Directory) updateWeightsStates() {
	old := d.weights
	d.weights = d.findWeightsStates()
	if d.Log == nil {
		return
	}
	for id, now := range d.weights {
		if was := old[id]; was != now {
			d.logWeightsState(id, was, now)
		}
	}
	for id, was := range old {
		if _, ok := d.weights[id]; !ok {
			d.logWeightsState(id, was, weightsCurrent)
		}
	}
}

// logWeightsState logs a new state of an engine. The caller holds mu.
func (d *Directory) logWeightsState(id hbs.EndpointID, was, now weightsState) {
	e, listed := d.records[id]
	d.Log.Info("state of weights changed", zap.String("endpoint", string(id)), zap.String("model", string(e.Model)),
		zap.String("weights", string(e.Weights)), zap.Bool("listed", listed),
		zap.String("from", string(was)), zap.String("to", string(now)), zap.Bool("new_work", listed && !now.excluded()))
}
