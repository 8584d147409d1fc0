package admission

import (
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
