package mirror

import (
	"slices"
	"time"
)

// burstBytes is about how much one message of a burst carries.
const burstBytes = 256 << 10

// burst merges updates that come shortly after each other. The first one after
// a quiet time passes at once; those that follow are passed together, once in
// each interval.
type burst struct {
	interval time.Duration
	pass     func([]Update)
	// timer runs from the last pass for one interval.
	timer   *time.Timer
	running bool
	// pending has one update for each object, in the order of the first ones.
	pending []Update
	bytes   int
}

func newBurst(interval time.Duration, pass func([]Update)) *burst {
	timer := time.NewTimer(interval)
	timer.Stop()
	return &burst{interval: interval, pass: pass, timer: timer}
}

// add passes u now or later.
func (b *burst) add(u Update) {
	i := slices.IndexFunc(b.pending, func(old Update) bool { return old.Name == u.Name })
	if i >= 0 {
		b.bytes -= len(b.pending[i].Value)
		b.pending[i] = u
	} else {
		b.pending = append(b.pending, u)
	}
	b.bytes += len(u.Value)
	if !b.running || b.interval == 0 || b.bytes > burstBytes {
		b.flush()
	}
}

// flush passes what is pending and starts an interval.
func (b *burst) flush() {
	if len(b.pending) == 0 {
		return
	}
	b.pass(b.pending)
	b.pending, b.bytes = nil, 0
	b.timer.Reset(b.interval)
	b.running = true
}

// over ends an interval.
func (b *burst) over() {
	b.running = false
	b.flush()
}
