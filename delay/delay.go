// Package delay waits for a time that a context can cut short, and computes such
// times.
package delay

import (
	"context"
	"time"
)

// For waits for d, not at all when that is not positive. It returns ctx's error
// when ctx ends first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		// A timer that is due at once fires in the selecting goroutine. In a bubble
		// all of these share one context of the race detector, which crashes it
		// (docs/measurements/nodes.md, race detector).
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

// Until waits until done holds, for at most d, and reports whether it does. It
// asks at once and after each change; changed returns a channel that the next
// change closes.
func Until(ctx context.Context, d time.Duration, changed func() <-chan struct{}, done func() bool) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		// Asked for before done, so that no change in between is missed.
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

// maxDoublings keeps a doubled pause from overflowing.
const maxDoublings = 16

// Doubled returns the pause after so many failures beyond the first: the first
// one doubled that many times, up to last.
func Doubled(first, last time.Duration, more int) time.Duration {
	return min(first<<min(more, maxDoublings), last)
}
