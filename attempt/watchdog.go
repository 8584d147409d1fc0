package attempt

import (
	"io"
	"sync"
	"time"
)

// watchdog closes the connection of an attempt whose endpoint sends nothing
// for too long. The connection may be replaced when a stream is resumed.
type watchdog struct {
	// later bounds the time between two events.
	later time.Duration
	timer *time.Timer

	mu sync.Mutex
	// conn is closed when the time is over; stalled tells that it was.
	conn    io.Closer
	stalled bool
}

// watch starts the watchdog with the bound of the first event.
func (r *run) watch(conn io.Closer) *watchdog {
	w := &watchdog{later: r.Policy.Duration(KnobStallNext, r.scope()), conn: conn}
	w.timer = time.AfterFunc(r.firstBound(), w.expire)
	return w
}

// firstBound returns the longest wait for the first event.
func (r *run) firstBound() time.Duration {
	p := r.Placement
	factor := r.Policy.Number(KnobStallFactor, r.scope())
	predicted := time.Duration(factor * float64(max(p.FirstToken, p.Tail)))
	bound := max(predicted, r.Policy.Duration(KnobStallFirst, r.scope()))
	if r.engine() && !r.Request.Stream {
		bound += time.Duration(r.Request.ExpectedTokens) * r.Policy.Duration(KnobStallToken, r.scope())
	}
	return bound
}

func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalled = true
	_ = w.conn.Close()
}

// use watches conn from now on.
func (w *watchdog) use(conn io.Closer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = conn
	w.timer.Reset(w.later)
}

// fed tells that something arrived.
func (w *watchdog) fed() { w.timer.Reset(w.later) }

func (w *watchdog) stop() { w.timer.Stop() }

func (w *watchdog) hasStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}
