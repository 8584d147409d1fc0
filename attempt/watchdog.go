package attempt

import (
	"io"
	"sync"
	"time"
)

// watchdog closes the connection of an attempt whose endpoint sends nothing
// for too long. The connection may be replaced when a stream is resumed.
type watchdog struct {
	// nextEventTimeout bounds the time between two arrivals of data.
	nextEventTimeout time.Duration
	timer            *time.Timer

	mu sync.Mutex
	// conn is closed when the timer expires; stalled is then set.
	conn    io.Closer
	stalled bool
}

// watch starts a watchdog of conn with the timeout for the first event.
func (r *run) watch(conn io.Closer) *watchdog {
	w := &watchdog{nextEventTimeout: r.Policy.Duration(KnobStallNext, r.scope()), conn: conn}
	w.timer = time.AfterFunc(r.firstEventTimeout(), w.onTimeout)
	return w
}

// firstEventTimeout returns the longest wait for the first event.
func (r *run) firstEventTimeout() time.Duration {
	p := r.Placement
	factor := r.Policy.Number(KnobStallFactor, r.scope())
	predicted := time.Duration(factor * float64(max(p.FirstToken, p.FirstTokenP95)))
	bound := max(predicted, r.Policy.Duration(KnobStallFirst, r.scope()))
	if r.engine() && !r.Request.Stream {
		bound += time.Duration(r.Request.ExpectedTokens) * r.Policy.Duration(KnobStallToken, r.scope())
	}
	return bound
}

func (w *watchdog) onTimeout() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalled = true
	_ = w.conn.Close()
}

// switchTo makes conn the watched connection.
func (w *watchdog) switchTo(conn io.Closer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = conn
	w.timer.Reset(w.nextEventTimeout)
}

// reset restarts the timer; it is called when data arrives.
func (w *watchdog) reset() { w.timer.Reset(w.nextEventTimeout) }

func (w *watchdog) stop() { w.timer.Stop() }

func (w *watchdog) hasStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}
