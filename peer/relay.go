package peer

import (
	"slices"
	"sync"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// relayBytes bounds the sections that wait in each direction.
const relayBytes = 16 << 10

// relays holds what a representative passes on: sections of its own domain for
// other domains, and those of other domains for its own.
type relays struct {
	dropped metrics.Counter

	mu              sync.Mutex
	outward, inward relayQueue
}

// relayQueue is what waits to be passed on in one direction.
type relayQueue struct {
	// fleet are the digests for the fleet, the newest of each section and sender.
	// They are few and go before those for the region.
	fleet, region relayList
}

// relayList holds digests in the order in which they are passed on.
type relayList struct {
	items []Relayed
	bytes int
}

// take keeps the parts of a heartbeat that travel on. A section that came
// through a representative goes inward only, so none runs in a circle. Outward
// go the sections of instances that this one relays for.
func (r *relays) take(self, from hbs.Instance, h *Heartbeat, outward bool, reachOf func(string) hbs.Reach) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from.Domain == self.Domain {
		if !outward {
			return
		}
		for _, d := range h.Sections {
			if reach := reachOf(d.Name); travels(reach) {
				r.add(&r.outward, Relayed{d, from, reach})
			}
		}
		return
	}
	for _, d := range h.Sections {
		if reach := reachOf(d.Name); travels(reach) {
			r.add(&r.inward, Relayed{d, from, reach})
		}
	}
	for _, item := range h.Relayed {
		if item.From.Domain != self.Domain {
			r.add(&r.inward, item)
		}
	}
}

// travels reports whether representatives pass sections of the reach on.
func travels(r hbs.Reach) bool { return r == hbs.ReachRegion || r == hbs.ReachFleet }

// add drops the oldest items when a list is over its bound.
func (r *relays) add(q *relayQueue, item Relayed) {
	l := &q.region
	if item.Reach == hbs.ReachFleet {
		l = &q.fleet
		if l.replace(item) {
			return
		}
	}
	l.items = append(l.items, item)
	l.bytes += item.size()
	for l.bytes > relayBytes && len(l.items) > 1 {
		l.pop()
		r.dropped.Inc(1)
	}
}

// replace puts item in the place of its section's and sender's last digest, if that
// still waits.
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

// drain removes items of at most budget bytes and returns what is left of it.
func (l *relayList) drain(items []Relayed, budget int) (_ []Relayed, left int) {
	for len(l.items) > 0 && l.items[0].size() <= budget {
		item := l.pop()
		budget -= item.size()
		items = append(items, item)
	}
	return items, budget
}

// drain removes items of at most budget bytes from the queue.
func (r *relays) drain(q *relayQueue, budget int) (items []Relayed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	items, budget = q.fleet.drain(nil, budget)
	items, _ = q.region.drain(items, budget)
	return items
}

// discard empties both queues of an instance that is no representative.
func (r *relays) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outward, r.inward = relayQueue{}, relayQueue{}
}

// instanceBytes is about the encoded size of an instance's record.
const instanceBytes = 96

func (r *Relayed) size() int { return instanceBytes + len(r.Name) + len(r.Data) }
