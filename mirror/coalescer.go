package mirror

import (
	"slices"
	"time"
)

// maxPendingBytes is the size of the pending values above which they are emitted at
// once, and so about the largest size of one message.
const maxPendingBytes = 256 << 10

// coalescer merges updates that follow each other closely. The first update after
// an idle interval is emitted at once. Later ones are held back and emitted
// together at the end of each interval.
type coalescer struct {
	// interval 0 emits each update by itself.
	interval time.Duration
	emit     func([]Update)
	// timer runs for one interval after each emit.
	timer        *time.Timer
	timerRunning bool
	// pending has the latest update of each object, in the order in which the
	// objects first appeared.
	pending []Update
	bytes   int
}

func newCoalescer(interval time.Duration, emit func([]Update)) *coalescer {
	timer := time.NewTimer(interval)
	timer.Stop()
	return &coalescer{interval: interval, emit: emit, timer: timer}
}

// add emits u at once or holds it back until the interval ends.
func (c *coalescer) add(u Update) {
	i := slices.IndexFunc(c.pending, func(old Update) bool { return old.Name == u.Name })
	if i >= 0 {
		c.bytes -= len(c.pending[i].Value)
		c.pending[i] = u
	} else {
		c.pending = append(c.pending, u)
	}
	c.bytes += len(u.Value)
	if !c.timerRunning || c.interval == 0 || c.bytes > maxPendingBytes {
		c.flush()
	}
}

// flush emits the pending updates, if there are any, and starts an interval.
func (c *coalescer) flush() {
	if len(c.pending) == 0 {
		return
	}
	c.emit(c.pending)
	c.pending, c.bytes = nil, 0
	c.timer.Reset(c.interval)
	c.timerRunning = true
}

// timerExpired ends an interval.
func (c *coalescer) timerExpired() {
	c.timerRunning = false
	c.flush()
}
