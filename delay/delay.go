// Package delay provides waits that end early when a context ends, and the delays
// of exponential backoff.
package delay

import (
	"context"
	"time"
)

// For waits for d, or returns immediately if d is not positive. It returns ctx's
// error if ctx has ended by then.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		// A timer that is already due fires in the goroutine that selects on it. In
		// a synctest bubble all such timers share one race detector context, which
		// crashes the race detector (docs/measurements/nodes.md, race detector).
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Until waits until done returns true, for at most d or until ctx ends, and reports
// whether done returned true. It calls done immediately and after each change.
// changed returns a channel that is closed by the next change.
func Until(ctx context.Context, d time.Duration, changed func() <-chan struct{}, done func() bool) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		// Get the channel before calling done, so that no change in between is missed.
		next := changed()
		if done() {
			return true
		}
		select {
		case <-next:
		case <-t.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// maxDoublings bounds the shift in Backoff, so that it doesn't overflow.
const maxDoublings = 16

// Backoff returns the delay of an exponential backoff: initial doubled the given
// number of times, but at most limit. After the first failure doublings is 0.
func Backoff(initial, limit time.Duration, doublings int) time.Duration {
	return min(initial<<min(doublings, maxDoublings), limit)
}
