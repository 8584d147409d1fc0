package delay_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/delay"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		for _, d := range []time.Duration{-time.Second, 0} {
			g.Expect(delay.For(t.Context(), d)).To(Succeed())
			g.Expect(delay.For(ended, d)).To(MatchError(context.Canceled))
		}
		g.Expect(delay.For(ended, time.Second)).To(MatchError(context.Canceled))
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(delay.For(t.Context(), time.Second)).To(Succeed())
		g.Expect(time.Since(start)).To(Equal(time.Second))
	})
}

// counter is a counter that signals its changes as Until expects.
type counter struct {
	mu      sync.Mutex
	n       int
	changes chan struct{}
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	close(c.changes)
	c.changes = make(chan struct{})
}

func (c *counter) changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes
}

func (c *counter) isTwo() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n == 2
}

func TestUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start, c := time.Now(), &counter{changes: make(chan struct{})}
		g.Expect(delay.Until(t.Context(), time.Second, c.changed, c.isTwo)).To(BeFalse())
		g.Expect(time.Since(start)).To(Equal(time.Second))
		go func() {
			for range 2 {
				time.Sleep(time.Second)
				c.add()
			}
		}()
		g.Expect(delay.Until(t.Context(), time.Minute, c.changed, c.isTwo)).To(BeTrue())
		g.Expect(time.Since(start)).To(Equal(3 * time.Second))
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		g.Expect(delay.Until(ended, time.Minute, c.changed, func() bool { return false })).To(BeFalse())
	})
}

func TestDoubled(t *testing.T) {
	g := NewWithT(t)
	for doublings, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second} {
		g.Expect(delay.Backoff(time.Second, 5*time.Second, doublings)).To(Equal(want))
	}
	g.Expect(delay.Backoff(time.Second, time.Minute, 1000)).To(Equal(time.Minute))
}
