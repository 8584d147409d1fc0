package peer

import (
	"slices"
	"sync"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// maxRelayBytes bounds the size of each relayList.
const maxRelayBytes = 16 << 10

// relayQueues holds the digests that a representative relays: those of its domain
// to other domains, and those of other domains to its own.
type relayQueues struct {
	dropped metrics.Counter

	mu                sync.Mutex
	toRemote, toLocal relayQueue
}

// relayQueue holds the digests to relay in one direction.
type relayQueue struct {
	// fleet are the digests with ReachFleet, only the newest for each section and
	// sender. They are few, and are sent before those of region.
	fleet, region relayList
}

// relayList is a FIFO list of digests.
type relayList struct {
	items []Relayed
	bytes int
}

// enqueue adds the parts of a heartbeat that are to be relayed. relayToRemote
// reports whether this instance relays for the sender. Sections that another
// representative has relayed only go to this instance's domain, which prevents
// loops.
func (r *relayQueues) enqueue(self, from hbs.Instance, h *Heartbeat, relayToRemote bool, reachOf func(string) hbs.Reach) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from.Domain == self.Domain {
		if !relayToRemote {
			return
		}
		for _, d := range h.Sections {
			if reach := reachOf(d.Name); isRelayed(reach) {
				r.add(&r.toRemote, Relayed{d, from, reach})
			}
		}
		return
	}
	for _, d := range h.Sections {
		if reach := reachOf(d.Name); isRelayed(reach) {
			r.add(&r.toLocal, Relayed{d, from, reach})
		}
	}
	for _, item := range h.Relayed {
		if item.From.Domain != self.Domain {
			r.add(&r.toLocal, item)
		}
	}
}

// isRelayed reports whether representatives relay sections of reach r.
func isRelayed(r hbs.Reach) bool { return r == hbs.ReachRegion || r == hbs.ReachFleet }

// add appends item to its list, and drops the oldest items while the list is over
// its limit.
func (r *relayQueues) add(q *relayQueue, item Relayed) {
	l := &q.region
	if item.Reach == hbs.ReachFleet {
		l = &q.fleet
		if l.replace(item) {
			return
		}
	}
	l.items = append(l.items, item)
	l.bytes += item.size()
	for l.bytes > maxRelayBytes && len(l.items) > 1 {
		l.pop()
		r.dropped.Inc(1)
	}
}

// replace overwrites the queued digest of the same section and sender, if there
// is one.
func (l *relayList) replace(item Relayed) bool {
	i := slices.IndexFunc(l.items, func(old Relayed) bool { return old.From.ID == item.From.ID && old.Name == item.Name })
	if i < 0 {
		return false
	}
	l.bytes += item.size() - l.items[i].size()
	l.items[i] = item
	return true
}

func (l *relayList) pop() Relayed {
	item := l.items[0]
	l.bytes -= item.size()
	l.items = l.items[1:]
	return item
}

// drain removes the first items, at most budget bytes in total, and returns items
// with these appended and the budget that is left.
func (l *relayList) drain(items []Relayed, budget int) (_ []Relayed, left int) {
	for len(l.items) > 0 && l.items[0].size() <= budget {
		item := l.pop()
		budget -= item.size()
		items = append(items, item)
	}
	return items, budget
}

// drain removes items from the queue, at most budget bytes in total.
func (r *relayQueues) drain(q *relayQueue, budget int) (items []Relayed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	items, budget = q.fleet.drain(nil, budget)
	items, _ = q.region.drain(items, budget)
	return items
}

// discard empties both queues, for an instance that is not a representative.
func (r *relayQueues) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toRemote, r.toLocal = relayQueue{}, relayQueue{}
}

// instanceRecordBytes is the approximate encoded size of an hbs.Instance.
const instanceRecordBytes = 96

func (r *Relayed) size() int { return instanceRecordBytes + len(r.Name) + len(r.Data) }
