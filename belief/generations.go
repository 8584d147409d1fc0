package belief

import (
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// maxPastIncarnations is the number of earlier incarnations of an endpoint that are
// stored. A delayed report of one of them is recognized as stale rather than taken
// for a new incarnation.
const maxPastIncarnations = 8

// Generations allocates generation numbers (rule 4). It is not safe for
// concurrent use.
type Generations struct {
	// last is the highest number allocated.
	last Generation
	// ended numbers may still occur in the table; free ones don't.
	ended []Generation
	free  []Generation
}

// Begin returns a number that no entry of the table uses, or 0 if all numbers are
// in use. In that case the caller sweeps the table with Ended and then calls
// Reclaim.
func (g *Generations) Begin() Generation {
	if n := len(g.free); n > 0 {
		generation := g.free[n-1]
		g.free = g.free[:n-1]
		return generation
	}
	if g.last >= MaxGenerations {
		return 0
	}
	g.last++
	return g.last
}

// End marks generation as ended.
func (g *Generations) End(generation Generation) {
	if generation != 0 {
		g.ended = append(g.ended, generation)
	}
}

// Ended reports whether generation has ended and is not reclaimed yet.
func (g *Generations) Ended(generation Generation) bool { return slices.Contains(g.ended, generation) }

// Reclaim makes the ended numbers available to Begin. It must be called only
// after a sweep of the table.
func (g *Generations) Reclaim() {
	g.free = append(g.free, g.ended...)
	g.ended = g.ended[:0]
}

// Identity tracks the incarnation and weights of one endpoint, which are reported
// by several sources, some of them with delay.
type Identity struct {
	// Incarnation and Weights are the latest known, or empty before the first
	// report.
	Incarnation hbs.Incarnation
	Weights     hbs.WeightsVersion

	// past holds earlier incarnations, the oldest first.
	past []hbs.Incarnation
}

// Observe processes a report of the endpoint's incarnation and weights, either
// of which may be empty. began reports whether a new generation began, and
// current whether the report is about the generation that is current after the
// call. A report of an earlier incarnation is ignored.
func (i *Identity) Observe(inc hbs.Incarnation, weights hbs.WeightsVersion) (began, current bool) {
	if inc != "" && slices.Contains(i.past, inc) {
		return false, false
	}
	if inc != "" && inc != i.Incarnation {
		began = i.Incarnation != ""
		i.retireCurrent()
		i.Incarnation = inc
	}
	if weights != "" && weights != i.Weights {
		began = began || i.Weights != ""
		i.Weights = weights
	}
	return began, true
}

// retireCurrent moves the current incarnation to the past ones.
func (i *Identity) retireCurrent() {
	if i.Incarnation == "" {
		return
	}
	i.past = append(i.past, i.Incarnation)
	if len(i.past) > maxPastIncarnations {
		i.past = slices.Delete(i.past, 0, 1)
	}
}
