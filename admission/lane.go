package admission

import (
	"container/heap"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// lane holds the short or the long requests of a queue (rule 2).
type lane struct {
	// share is the lane's share of the work while both lanes have waiting requests.
	share float64
	// startTag and finishTag are the tags in the fair queueing between the lanes.
	startTag, finishTag float64
	// virtualTime is the start tag of the flow served last.
	virtualTime float64
	flows       map[hbs.WorkspaceID]*flow
	pruner      pruner
	// waiting holds the flows with waiting requests.
	waiting flowHeap
	backlog float64
	// totalWeight is the sum of the weights of the waiting flows.
	totalWeight float64
	// n is the number of waiting requests.
	n int
}

// addFlow adds a flow for a workspace that has none, and removes unused flows.
func (l *lane) addFlow(id hbs.WorkspaceID, now time.Time) *flow {
	prune(&l.pruner, l.flows, func(f *flow) bool { return f.index < 0 && now.Sub(f.usedAt) > unusedAfter })
	f := &flow{workspace: id, index: -1, lengthRatio: 1, rank: rankHeavy}
	l.flows[id] = f
	return f
}

// push adds w to its flow.
func (l *lane) push(w *waiter) {
	f := w.flow
	heap.Push(&f.waiters, w)
	f.backlog += w.cost
	l.backlog += w.cost
	l.n++
	if f.index >= 0 {
		return
	}
	f.startTag = max(l.virtualTime, f.finishTag)
	l.totalWeight += f.weight
	heap.Push(&l.waiting, f)
}

// setRank sets the rank of f and restores the order of the heap.
func (l *lane) setRank(f *flow, rank int) {
	if f.rank == rank {
		return
	}
	f.rank = rank
	if f.index >= 0 {
		heap.Fix(&l.waiting, f.index)
	}
}

// workAhead returns the work that the lane serves up to and including the last
// request of f. In fair queueing this is the backlog of f divided by its share of
// the waiting weight. It is at most the backlog of the whole lane and, for light
// workspaces, at most the backlog of all flows of the same or a lower rank.
func (l *lane) workAhead(f *flow) float64 {
	ahead := min(l.backlog, f.backlog*l.totalWeight/f.weight)
	if f.rank == rankHeavy {
		return ahead
	}
	before := 0.0
	for _, o := range l.waiting {
		if o.rank <= f.rank {
			before += o.backlog
		}
	}
	return min(ahead, before)
}

// head returns the waiter to serve next, or nil if the lane is empty.
func (l *lane) head() *waiter {
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[0].waiters[0]
}

// remove removes w from the lane. It doesn't change the tags.
func (l *lane) remove(w *waiter) {
	f := w.flow
	heap.Remove(&f.waiters, w.index)
	w.index = -1
	f.backlog -= w.cost
	l.backlog -= w.cost
	l.n--
	if len(f.waiters) > 0 {
		return
	}
	heap.Remove(&l.waiting, f.index)
	f.backlog = 0
	l.totalWeight -= f.weight
	if len(l.waiting) == 0 {
		l.totalWeight, l.backlog = 0, 0
	}
}

// charge advances the tags for the served request w. The flow of w must still be
// in the heap, or w must never have been queued.
func (l *lane) charge(w *waiter) {
	f := w.flow
	start := f.startTag
	if f.index < 0 {
		start = max(l.virtualTime, f.finishTag)
	}
	l.virtualTime = start
	f.finishTag = start + w.cost/f.weight
	f.startTag = f.finishTag
	if f.index >= 0 {
		heap.Fix(&l.waiting, f.index)
	}
}

// heaviestFlow returns the flow with the largest backlog per unit of weight, and
// that ratio.
func (l *lane) heaviestFlow() (most *flow, load float64) {
	for _, f := range l.waiting {
		if v := f.backlog / f.weight; v > load {
			most, load = f, v
		}
	}
	return most, load
}
