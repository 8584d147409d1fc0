package notification_test

import (
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamstage/hornbeamstage/notification"
)

func TestNotification(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "notification")
}

var _ = Describe("a signal", func() {
	// Guards against a Send that doesn't wake everyone who waits.
	It("notifies all that took a channel since the last Send", func() {
		var s notification.Signal
		first, second := s.Next(), s.Next()
		Expect(first).NotTo(BeClosed())
		s.Send()
		Expect(first).To(BeClosed())
		Expect(second).To(BeClosed())
	})

	// Guards against a wait that ends at once because of an earlier change.
	It("doesn't report a change to a channel that is taken after it", func() {
		var s notification.Signal
		s.Send()
		Expect(s.Next()).NotTo(BeClosed())
		s.Send()
		Expect(s.Next()).NotTo(BeClosed())
	})

	// Guards against a channel that is closed twice, which panics.
	It("may be sent several times with nobody waiting", func() {
		var s notification.Signal
		taken := s.Next()
		s.Send()
		s.Send()
		Expect(taken).To(BeClosed())
	})
})

// counter is a state with a signal, both guarded by mu.
type counter struct {
	mu      sync.Mutex
	n       int
	changed notification.Signal
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	c.changed.Send()
}

func (c *counter) read() (n int, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n, c.changed.Next()
}

// Guards against a change that is missed between reading the state and waiting.
func TestNoChangeIsMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readers, changes = 8, 1000
		var c counter
		var done conc.WaitGroup
		for range readers {
			done.Go(func() {
				for n, changed := c.read(); n < changes; n, changed = c.read() {
					<-changed
				}
			})
		}
		for range changes {
			c.add()
		}
		done.Wait() // In a bubble, a reader that waits for ever fails the test.
	})
}
