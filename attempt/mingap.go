package attempt

import "time"

const (
	// minGapWindow is the shortest time over which a stream's shortest gap is
	// determined. Most gaps include the computation of other prompts; the shortest
	// one of a window rarely does.
	minGapWindow = 300 * time.Millisecond
	// sameArrivalGap is the gap below which two events count as one arrival.
	sameArrivalGap = 2 * time.Millisecond
)

// minGap tracks the shortest gap between events of a stream in one window.
type minGap struct {
	// since is the start of the window, last the time of the latest event.
	since, last time.Time
	// gap is the shortest gap so far, 0 if there was none.
	gap time.Duration
}

// trackMinGap records the arrival of an event and reports the shortest gap at the
// end of each window.
func (r *run) trackMinGap() {
	now := time.Now()
	p := &r.minGap
	if r.OnMinGap == nil || now.Sub(p.last) < sameArrivalGap {
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
	if now.Sub(p.since) >= minGapWindow {
		r.OnMinGap(p.gap)
		p.since, p.gap = now, 0
	}
}
