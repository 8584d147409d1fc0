package admission

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

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
