package converge

import (
	"math"
	"slices"
	"time"
)

// loadLimiter adapts the number of engines that change at once to the throughput
// of the source that they load from. When more engines load than the source can
// serve, each load takes longer and no more of them finish in a given time, while
// the engines that wait for it serve no requests.
//
//	P1. The limit starts at a share of the engines.
//	P2. Loads are judged by the median of a group of as many as the limit allows, and
//	    with drainedDelay added. A single time says little: it begins with a report
//	    that shows an engine as drained, which is read at intervals and is already old.
//	P3. A group about as fast as the reference raises the limit, at most to the share
//	    of the engines that may change. A slowed group lowers it by as much as it is
//	    slower, since loads that share a source take longer in proportion to their
//	    number. The loads that began under the higher limit are not judged again.
//	P4. The reference is the fastest group. A slower group replaces it if it loaded
//	    under the same or a lower limit: then its loads are not slower for their
//	    number, so that the limit rises again.
//	P5. Draining engines don't load yet. So more engines may change than may load:
//	    by Little's law, as many more as keep the loading slots full, but at most
//	    as many draining as loading, since a draining engine serves ever fewer
//	    requests.
//	P6. Whatever the limit is, as many engines may change as have to for the change to
//	    end in time, but not while loads are slowed: then more of them at once don't
//	    end sooner.
type loadLimiter struct {
	// maxLoads is how many engines may load at once; 0 before the first call of
	// maxChanges.
	maxLoads int
	// loads has the times of the current group; before it, skip loads are not judged.
	loads     []time.Duration
	skip      int
	reference loadGroup
	// meanDrain and meanLoad are exponentially weighted moving averages.
	meanDrain, meanLoad time.Duration
}

// loadGroup is a group of successive loads.
type loadGroup struct {
	// median is 0 before the first group.
	median time.Duration
	// maxLoads is the limit under which they loaded.
	maxLoads int
}

const (
	// initialShare is the share of the engines that may load at first.
	initialShare = 0.15
	// minLoads lets one engine load while another drains.
	minLoads = 2
	// minGroup is the least number of loads in a group, enough for its median to
	// disregard single ones.
	minGroup = 3
	// drainedDelay is about the longest time after which a report shows that an engine
	// has drained: reports are about as old as the interval at which they are read.
	drainedDelay = 2 * drainPollInterval
	// Loads are unslowed if they take less than unslowedRatio times as long as those of
	// the reference, and slowed if they take more than slowedRatio times as long.
	unslowedRatio = 1.1
	slowedRatio   = 1.25
	// raiseShare is the share of the limit by which it rises, by at least one.
	raiseShare = 0.125
	// startDelay is how long after one change has ended the next one begins.
	startDelay = pollInterval + announceDelay
	// meanWeight is the weight of a new sample in the moving averages.
	meanWeight = 0.25
	// maxDrainRatio bounds the ratio of draining to loading engines.
	maxDrainRatio = 1.0
)

// maxChanges returns how many of the given number of engines may change at once.
func (l *loadLimiter) maxChanges(engines int) int {
	if l.maxLoads == 0 {
		l.maxLoads = int(math.Ceil(initialShare * float64(engines)))
	}
	l.maxLoads = max(min(l.maxLoads, maxChanging(engines)), minLoads)
	drainRatio := maxDrainRatio
	if l.meanLoad > 0 {
		drainRatio = min(float64(l.meanDrain)/float64(l.meanLoad), maxDrainRatio)
	}
	return int(math.Ceil(float64(l.maxLoads) * (1 + drainRatio)))
}

// inTime returns how many engines must change at once for each to end its change in
// time, 0 while loads are slowed (P6). left has the time for each, positive and in
// ascending order.
func (l *loadLimiter) inTime(left []time.Duration) (n int) {
	if l.ratio(l.meanLoad) > slowedRatio {
		return 0
	}
	for i, t := range left {
		changes := time.Duration(i+1) * (startDelay + l.meanDrain + l.meanLoad)
		n = max(n, int(math.Ceil(float64(changes)/float64(t))))
	}
	return n
}

// record adds the times of one change; a load of 0 means that it was not observed.
func (l *loadLimiter) record(drain, load time.Duration) {
	if load <= 0 {
		return
	}
	if l.meanLoad == 0 {
		l.meanDrain, l.meanLoad = drain, load
	}
	l.meanDrain += time.Duration(meanWeight * float64(drain-l.meanDrain))
	l.meanLoad += time.Duration(meanWeight * float64(load-l.meanLoad))
	if l.skip > 0 {
		l.skip--
		return
	}
	l.loads = append(l.loads, load)
	if len(l.loads) >= max(l.maxLoads, minGroup) {
		slices.Sort(l.loads)
		l.judge(loadGroup{l.loads[len(l.loads)/2], l.maxLoads})
		l.loads = l.loads[:0]
	}
}

// ratio returns how much longer a load takes than those of the reference, 1 before the
// first group.
func (l *loadLimiter) ratio(load time.Duration) float64 {
	if l.reference.median == 0 {
		return 1
	}
	return float64(load+drainedDelay) / float64(l.reference.median+drainedDelay)
}

// judge adapts the limit to a group of loads (P3, P4).
func (l *loadLimiter) judge(g loadGroup) {
	switch ratio := l.ratio(g.median); {
	case ratio > slowedRatio:
		l.skip = l.maxLoads
		l.maxLoads = max(int(float64(l.maxLoads)/ratio), minLoads)
	case ratio < unslowedRatio:
		l.maxLoads += max(int(raiseShare*float64(l.maxLoads)), 1)
	}
	if l.reference.median == 0 || g.median < l.reference.median || g.maxLoads <= l.reference.maxLoads {
		l.reference = g
	}
}
