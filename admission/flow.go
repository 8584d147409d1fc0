package admission

import (
	"container/heap"
	"maps"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// decision is the outcome of a wait: a placement, or a refusal if not nil.
type decision struct {
	placement hbs.Placement
	refusal   *hbs.Refusal
}

func (d *decision) err() error {
	if d.refusal == nil {
		return nil
	}
	return d.refusal
}

// waiter is the state of one request in a queue.
type waiter struct {
	req  *hbs.Request
	long bool
	// cost is in output tokens, at least 1. serviceTime is the predicted time from
	// placement to the end, 0 when not known.
	cost        float64
	serviceTime time.Duration
	// seq is the sequence number of the arrival.
	seq     uint64
	urgency int
	flow    *flow
	// index is the position in the flow's heap, -1 when not queued.
	index int
	// decided receives exactly one decision. It is buffered, so that the sender
	// doesn't block.
	decided chan decision
}

// before reports whether w is served before o in the same flow (rule 4).
func (w *waiter) before(o *waiter) bool {
	if w.urgency != o.urgency {
		return w.urgency < o.urgency
	}
	return w.seq < o.seq
}

// flow holds the waiting requests of one workspace in one lane (rule 3).
type flow struct {
	workspace hbs.WorkspaceID
	// weight is positive.
	weight float64
	// startTag orders the flow while it has waiting requests. finishTag is the tag
	// after the last request served.
	startTag, finishTag float64
	// backlog is the total cost of the waiting requests.
	backlog float64
	waiters waiterHeap
	// index is the position in the lane's heap, -1 when no request waits.
	index int
	// rank takes precedence over the tags (rule 10).
	rank int
	// lengthRatio is the moving average of actual over expected output tokens.
	lengthRatio float64
	// usedAt is the time of the last request.
	usedAt time.Time
}

type waiterHeap []*waiter

// Len implements heap.Interface.
func (h waiterHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waiterHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

// last returns the waiter that would be served last, which is always a leaf of
// the heap.
func (h waiterHeap) last() *waiter {
	w := h[0]
	for _, o := range h[len(h)/2:] {
		if w.before(o) {
			w = o
		}
	}
	return w
}

type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface. Flows with equal tags are ordered by name, so
// that the order doesn't depend on the order of arrival.
func (h flowHeap) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank < h[j].rank
	}
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].workspace < h[j].workspace
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

// lane holds the short or the long requests of a queue (rule 2).
type lane struct {
	// share is the lane's share of the work while both lanes have waiting requests.
	share float64
	// startTag and finishTag are the tags in the fair queueing between the lanes.
	startTag, finishTag float64
	// virtualTime is the start tag of the flow served last.
	virtualTime float64
	flows       map[hbs.WorkspaceID]*flow
	// pruneAt is the number of flows at which the unused ones are removed.
	pruneAt int
	// waiting holds the flows with waiting requests.
	waiting flowHeap
	backlog float64
	// totalWeight is the sum of the weights of the waiting flows.
	totalWeight float64
	// n is the number of waiting requests.
	n int
}

// addFlow adds a flow for a workspace that has none. It removes unused flows each
// time that their number has doubled.
func (l *lane) addFlow(id hbs.WorkspaceID, now time.Time) *flow {
	if len(l.flows) >= l.pruneAt {
		maps.DeleteFunc(l.flows, func(_ hbs.WorkspaceID, f *flow) bool {
			return f.index < 0 && now.Sub(f.usedAt) > unusedAfter
		})
		l.pruneAt = max(minPruneAt, 2*len(l.flows))
	}
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
