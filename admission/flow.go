package admission

import (
	"container/heap"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// decision is the end of a wait.
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

// waiter is one request on its way through the queue.
type waiter struct {
	req  *hbs.Request
	long bool
	// cost is in output tokens, at least 1; service the predicted time from
	// placement to the end, 0 when not known.
	cost    float64
	service time.Duration
	seq     uint64
	urgency int
	flow    *flow
	// index in the flow's heap, -1 when not queued.
	index int
	// decided gets one decision; it has room for it.
	decided chan decision
}

func (w *waiter) before(o *waiter) bool {
	if w.urgency != o.urgency {
		return w.urgency < o.urgency
	}
	return w.seq < o.seq
}

// flow is the requests of one workspace in one class (rule 3).
type flow struct {
	workspace hbs.WorkspaceID
	// weight is positive.
	weight float64
	// start is the flow's tag while it waits, finish the tag after the last one
	// served.
	start, finish float64
	// backlog is the cost of what waits.
	backlog float64
	waiters waiterHeap
	// index in the lane's heap, -1 when the flow does not wait.
	index int
	// rank orders flows before their tags (rule 10).
	rank int
	// ratio is the mean of the counted over the expected length of answers.
	ratio float64
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

// last returns the waiter that would be served last.
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

// Less implements heap.Interface. Equal tags are ordered by name, so that the
// order does not hang on that of arrival.
func (h flowHeap) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank < h[j].rank
	}
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
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

// lane is one class of a queue (rule 2).
type lane struct {
	// share is the lane's part of the work when both lanes wait.
	share float64
	// start and finish are the lane's tags between the lanes, as a flow's.
	start, finish float64
	// v is the start tag of the flow served last.
	v       float64
	flows   map[hbs.WorkspaceID]*flow
	waiting flowHeap
	backlog float64
	// weights is the sum of the weights of the flows that wait.
	weights float64
	n       int
}

func (l *lane) push(w *waiter) {
	f := w.flow
	heap.Push(&f.waiters, w)
	f.backlog += w.cost
	l.backlog += w.cost
	l.n++
	if f.index >= 0 {
		return
	}
	f.start = max(l.v, f.finish)
	l.weights += f.weight
	heap.Push(&l.waiting, f)
}

// mark sets the rank of f.
func (l *lane) mark(f *flow, rank int) {
	if f.rank == rank {
		return
	}
	f.rank = rank
	if f.index >= 0 {
		heap.Fix(&l.waiting, f.index)
	}
}

// ahead returns the work to be done before a waiter that comes last in f, itself
// included, at the fair share of the rate that its backlog counts against.
func (l *lane) ahead(f *flow) float64 {
	ahead := min(l.backlog, f.backlog*l.weights/f.weight)
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

// head returns the waiter to serve next, nil when none waits.
func (l *lane) head() *waiter {
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[0].waiters[0]
}

// remove takes w out without serving it.
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
	l.weights -= f.weight
	if len(l.waiting) == 0 {
		l.weights, l.backlog = 0, 0
	}
}

// charge moves the tags for a served w. It is called while w's flow still has
// its place in the heap, or for a flow that never waited.
func (l *lane) charge(w *waiter) {
	f := w.flow
	start := f.start
	if f.index < 0 {
		start = max(l.v, f.finish)
	}
	l.v = start
	f.finish = start + w.cost/f.weight
	f.start = f.finish
	if f.index >= 0 {
		heap.Fix(&l.waiting, f.index)
	}
}

// heaviest returns the flow with the most waiting work for its weight.
func (l *lane) heaviest() (most *flow, load float64) {
	for _, f := range l.waiting {
		if v := f.backlog / f.weight; v > load {
			most, load = f, v
		}
	}
	return most, load
}
