package engine

import "time"

// faults are guarded by the engine's mutex.
type faults struct {
	slowFactor float64
	slowUntil  time.Time
	lateBy     time.Duration
	lateUntil  time.Time
	crossed    int
	broken     int
	failUntil  time.Time
	lostEvents float64
	loadLag    time.Duration
}

func (f *faults) slowed(d time.Duration, now time.Time) time.Duration {
	if now.Before(f.slowUntil) {
		return time.Duration(float64(d) * f.slowFactor)
	}
	return d
}

// Crash ends the incarnation at once. The engine comes back empty after down.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case e.restart <- down:
	default:
	}
}

// Slow multiplies the time of every step by factor for d.
func (e *Engine) Slow(factor float64, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slowFactor = factor
	e.faults.slowUntil = time.Now().Add(d)
}

// Late holds answers back by late for d.
func (e *Engine) Late(late, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.lateBy = late
	e.faults.lateUntil = time.Now().Add(d)
}

// Cross makes the next n answers those of other attempts.
func (e *Engine) Cross(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crossed = n
}

// Break cuts the connection of the next n streams in the middle.
func (e *Engine) Break(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.broken = n
}

// Fail answers everything with 500 for d.
func (e *Engine) Fail(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.failUntil = time.Now().Add(d)
}

// LoseEvents drops a share of the cache events from now on.
func (e *Engine) LoseEvents(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.lostEvents = share
}

// DelayLoad adds to the lag of load reports from now on.
func (e *Engine) DelayLoad(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.loadLag = lag
}
