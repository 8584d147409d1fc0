package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// demandHalfLife is the half-life of the recorded demand.
	demandHalfLife = 5 * time.Second
	// demandDecayInterval is the minimum time between two decay steps.
	demandDecayInterval = 500 * time.Millisecond
	// minDemand is the demand, in output tokens, below which the entry of a
	// workspace is deleted.
	minDemand = 1
)

// demand tracks the recent work requested by each workspace, with exponential
// decay (rule 10).
type demand struct {
	// work is in output tokens. Decay deletes entries below minDemand.
	work map[hbs.WorkspaceID]float64
	// decayedAt is the time of the last decay step.
	decayedAt time.Time
}

// add adds cost to the demand of w.
func (d *demand) add(w hbs.WorkspaceID, cost float64, now time.Time) {
	if d.work == nil {
		d.work = map[hbs.WorkspaceID]float64{}
	}
	d.decay(now)
	d.work[w] += cost
}

// decay applies the decay since the last step, at most once in
// demandDecayInterval.
func (d *demand) decay(now time.Time) {
	passed := now.Sub(d.decayedAt)
	if passed < demandDecayInterval {
		return
	}
	d.decayedAt = now
	factor := math.Exp2(-passed.Seconds() / demandHalfLife.Seconds())
	for w, work := range d.work {
		if work *= factor; work < minDemand {
			delete(d.work, w)
			continue
		}
		d.work[w] = work
	}
}

// workspaceDemand is the demand and the weight of one workspace.
type workspaceDemand struct{ work, weight float64 }

// fairLevel returns the max-min fair level: the work per unit of weight at which
// every workspace must be capped for the total to be the given share of the
// demand. It is infinite if no cap is needed.
func (d *demand) fairLevel(share float64, weight func(hbs.WorkspaceID) float64) float64 {
	list := make([]workspaceDemand, 0, len(d.work))
	total, weights := 0.0, 0.0
	for id, work := range d.work {
		c := workspaceDemand{work, weight(id)}
		list = append(list, c)
		total += work
		weights += c.weight
	}
	allowed := share * total
	slices.SortFunc(list, func(a, b workspaceDemand) int { return cmp.Compare(a.work/a.weight, b.work/b.weight) })
	for _, c := range list {
		if level := allowed / weights; c.work/c.weight > level {
			return level
		}
		allowed -= c.work
		weights -= c.weight
	}
	return math.Inf(1)
}
