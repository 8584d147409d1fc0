package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// demandHalfLife is how fast work is forgotten.
	demandHalfLife = 5 * time.Second
	// demandStep is the time between two steps of forgetting.
	demandStep = 500 * time.Millisecond
	// demandLeast is the work, in output tokens, below which a workspace is
	// forgotten.
	demandLeast = 1
)

// demand is the work that each workspace asked for lately (rule 10).
type demand struct {
	// work is in output tokens; workspaces below demandLeast are not in it.
	work map[hbs.WorkspaceID]float64
	// stepped is the time of the last step of forgetting.
	stepped time.Time
}

// add counts cost for w.
func (d *demand) add(w hbs.WorkspaceID, cost float64, now time.Time) {
	if d.work == nil {
		d.work = map[hbs.WorkspaceID]float64{}
	}
	d.forget(now)
	d.work[w] += cost
}

func (d *demand) forget(now time.Time) {
	passed := now.Sub(d.stepped)
	if passed < demandStep {
		return
	}
	d.stepped = now
	keep := math.Exp2(-passed.Seconds() / demandHalfLife.Seconds())
	for w, work := range d.work {
		if work *= keep; work < demandLeast {
			delete(d.work, w)
			continue
		}
		d.work[w] = work
	}
}

// claimant is one workspace's claim to the work that is let in.
type claimant struct{ work, weight float64 }

// level returns the work for each unit of weight to which workspaces would have
// to be held so that they ask for no more than a share of it all (max-min
// fairness); it is infinite when they do without.
func (d *demand) level(share float64, weight func(hbs.WorkspaceID) float64) float64 {
	list := make([]claimant, 0, len(d.work))
	total, weights := 0.0, 0.0
	for id, work := range d.work {
		c := claimant{work, weight(id)}
		list = append(list, c)
		total += work
		weights += c.weight
	}
	allowed := share * total
	slices.SortFunc(list, func(a, b claimant) int { return cmp.Compare(a.work/a.weight, b.work/b.weight) })
	for _, c := range list {
		if level := allowed / weights; c.work/c.weight > level {
			return level
		}
		allowed -= c.work
		weights -= c.weight
	}
	return math.Inf(1)
}
