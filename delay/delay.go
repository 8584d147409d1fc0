// Package delay waits for a time that a context can cut short.
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
