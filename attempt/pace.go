package attempt

import "time"

const (
	// paceWindow is the least time that a stream's pace is taken over. Most of
	// its gaps hold the computation of other prompts, the shortest one seldom.
	paceWindow = 300 * time.Millisecond
	// paceLeast is the gap below which two events count as having come together.
	paceLeast = 2 * time.Millisecond
)

// pace is the shortest gap between events of a stream since a time.
type pace struct {
	since, last time.Time
	// gap is 0 when there was none.
	gap time.Duration
}

// paced takes an event and tells the pace at the end of each window.
func (r *run) paced() {
	now := time.Now()
	p := &r.pace
	if r.Paced == nil || now.Sub(p.last) < paceLeast {
		return
	}
	if p.last.IsZero() {
		p.since, p.last = now, now
		return
	}
	if gap := now.Sub(p.last); p.gap == 0 || gap < p.gap {
		p.gap = gap
	}
	p.last = now
	if now.Sub(p.since) >= paceWindow {
		r.Paced(p.gap)
		p.since, p.gap = now, 0
	}
}
