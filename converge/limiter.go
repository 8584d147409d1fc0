package converge

import (
	"math"
	"time"
)

// loadLimiter adapts the number of engines that change at once to the throughput
// of the source that they load from. When more engines load than the source can
// serve, each load takes longer and no more of them finish in a given time, while
// the engines that wait for it serve no requests.
//
//	P1. The limit starts at a share of the engines.
//	P2. After as many unslowed loads as the limit allows, each about as long as the
//	    shortest one, the limit rises by one.
//	P3. A load that takes much longer lowers the limit by one.
//	P4. Draining engines don't load yet. So more engines may change than may load:
//	    by Little's law, as many more as keep the loading slots full, but at most
//	    as many draining as loading, since a draining engine serves ever fewer
//	    requests.
type loadLimiter struct {
	// maxLoads is how many engines may load at once; 0 before the first call of
	// maxChanges.
	maxLoads int
	// shortest is the shortest load so far, 0 before the first.
	shortest time.Duration
	// unslowed counts the unslowed loads since maxLoads last changed or a load was
	// slowed.
	unslowed int
	// meanDrain and meanLoad are exponentially weighted moving averages.
	meanDrain, meanLoad time.Duration
}

const (
	// initialShare is the share of the engines that may load at first.
	initialShare = 0.15
	// minLoads lets one engine load while another drains.
	minLoads = 2
	// A load is unslowed if it takes less than unslowedRatio times the shortest one,
	// and slowed if it takes more than slowedRatio times the shortest one.
	unslowedRatio = 1.25
	slowedRatio   = 1.5
	// meanWeight is the weight of a new sample in the moving averages.
	meanWeight = 0.25
	// maxDrainRatio bounds the ratio of draining to loading engines.
	maxDrainRatio = 1.0
)

// maxChanges returns how many of the given number of engines may change at once.
func (l *loadLimiter) maxChanges(engines int) int {
	if l.maxLoads == 0 {
		l.maxLoads = max(int(math.Ceil(initialShare*float64(engines))), minLoads)
	}
	drainRatio := maxDrainRatio
	if l.meanLoad > 0 {
		drainRatio = min(float64(l.meanDrain)/float64(l.meanLoad), maxDrainRatio)
	}
	return int(math.Ceil(float64(l.maxLoads) * (1 + drainRatio)))
}

// record adds the times of one change; a load of 0 means that it was not observed.
func (l *loadLimiter) record(drain, load time.Duration) {
	if load <= 0 {
		return
	}
	if l.meanLoad == 0 {
		l.meanDrain, l.meanLoad, l.shortest = drain, load, load
	}
	l.meanDrain += time.Duration(meanWeight * float64(drain-l.meanDrain))
	l.meanLoad += time.Duration(meanWeight * float64(load-l.meanLoad))
	l.shortest = min(l.shortest, load)
	switch ratio := float64(load) / float64(l.shortest); {
	case ratio > slowedRatio:
		l.maxLoads, l.unslowed = max(l.maxLoads-1, minLoads), 0
	case ratio < unslowedRatio:
		l.unslowed++
	}
	if l.unslowed >= l.maxLoads {
		l.maxLoads, l.unslowed = l.maxLoads+1, 0
	}
}
