package presence_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/presence"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
	platformstandin "github.com/hornbeamstage/hornbeamstage/standin/platform"
)

var suite *testing.T

func TestPresence(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "presence")
}

const (
	// startupTime is enough for instances that start together to count each other.
	startupTime = 10 * time.Second
	// expiryTime is enough for the entry of a stopped instance to expire.
	expiryTime = 7 * time.Minute
)

// fleet is a set of counters that share a store.
type fleet struct {
	*WithT
	store    objects.Store
	counters []*presence.Counter
	clients  []*objects.Client
	cancels  []context.CancelFunc
	ctx      context.Context
	wg       conc.WaitGroup
}

// withFleet runs f with n counters in a synctest bubble, after startupTime.
func withFleet(n int, f func(fl *fleet)) {
	synctest.Test(suite, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fl := &fleet{WithT: NewWithT(t), ctx: ctx}
		defer fl.wg.Wait()
		defer cancel()
		for i := range n {
			fl.start(fmt.Sprintf("i%d", i))
		}
		time.Sleep(startupTime)
		f(fl)
	})
}

// withRestorableFleet is like withFleet, with a store that can be restored. f gets a copy
// of it from before the counters began.
func withRestorableFleet(n int, f func(fl *fleet, s *platformstandin.Platform, copied platformstandin.Copy)) {
	synctest.Test(suite, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fl := &fleet{WithT: NewWithT(t), ctx: ctx}
		defer fl.wg.Wait()
		defer cancel()
		fabric := &memnet.Fabric{}
		address := netip.MustParseAddrPort("10.0.0.1:80")
		s := &platformstandin.Platform{Address: address, Network: fabric.Network("a")}
		copied := s.Copy()
		fl.wg.Go(func() { _ = s.Run(ctx) })
		for i := range n {
			client := &platform.Client{
				Address: address, Network: fabric.Network("a"), Timeout: time.Second, Form: platform.FormObjects, WatchWait: time.Second,
				ReadsPerSecond: 100, WritesPerSecond: 100, Policy: knob.NewFixed(platform.Knobs), Metrics: metrics.NewRegistry(),
			}
			fl.wg.Go(func() { _ = client.Run(ctx) })
			c := fl.newCounter(fmt.Sprintf("i%d", i), client)
			client.OnRestore = c.Wake
			fl.run(c)
		}
		time.Sleep(startupTime)
		f(fl, s, copied)
	})
}

func (f *fleet) start(id string) {
	client := &objects.Client{Store: &f.store}
	f.clients = append(f.clients, client)
	f.run(f.newCounter(id, client))
}

func (f *fleet) newCounter(id string, client hbs.Platform) *presence.Counter {
	return &presence.Counter{Platform: client, Self: hbs.InstanceID(id), Log: zap.NewNop()}
}

func (f *fleet) run(c *presence.Counter) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.counters, f.cancels = append(f.counters, c), append(f.cancels, cancel)
	f.wg.Go(func() { _ = c.Run(ctx) })
}

// firstOf returns the instances that take themselves for one of the first n for key.
func (f *fleet) firstOf(n int, key string) (first []hbs.InstanceID) {
	for _, c := range f.counters {
		if c.IsAmongFirst(n, key) {
			first = append(first, c.Self)
		}
	}
	return first
}

func (f *fleet) counts() (ns []int) {
	for _, c := range f.counters {
		ns = append(ns, c.Count())
	}
	return ns
}

var _ = Describe("Counter", func() {
	It("returns 0 before the first successful read", func() {
		Expect((&presence.Counter{}).Count()).To(BeZero())
	})

	It("counts instances that start together", func() {
		withFleet(5, func(f *fleet) { f.Expect(f.counts()).To(HaveEach(5)) })
	})

	It("divides work between instances that start together, once all know each other", func() {
		withFleet(30, func(f *fleet) {
			f.Expect(f.firstOf(8, "e")).To(HaveLen(8))
		})
	})

	It("divides no work while instances that start together may not know each other", func() {
		synctest.Test(suite, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := &fleet{WithT: NewWithT(t), ctx: ctx}
			defer f.wg.Wait()
			defer cancel()
			for i := range 30 {
				f.start(fmt.Sprintf("i%d", i))
				synctest.Wait()
				f.Expect(f.firstOf(8, "e")).To(BeEmpty())
			}
		})
	})

	It("divides work at once after a restart of all instances", func() {
		withFleet(30, func(f *fleet) {
			before := f.firstOf(8, "e")
			for _, cancel := range f.cancels {
				cancel()
			}
			f.counters, f.cancels = nil, nil
			for i := range 30 {
				f.start(fmt.Sprintf("i%d", i))
			}
			synctest.Wait()
			f.Expect(f.firstOf(8, "e")).To(Equal(before))
		})
	})

	It("divides work by the last listing while the store is away", func() {
		withFleet(30, func(f *fleet) {
			before := f.firstOf(8, "e")
			for _, c := range f.clients {
				c.Replan(func(objects.Op, hbs.ObjectKind) objects.Plan { return objects.Plan{Fault: objects.FaultRefused} })
			}
			time.Sleep(expiryTime)
			f.Expect(f.firstOf(8, "e")).To(Equal(before))
		})
	})

	It("counts an instance that starts later, and counts one that restarts only once", func() {
		withFleet(3, func(f *fleet) {
			f.cancels[0]()
			f.start("i0")
			f.start("late")
			time.Sleep(time.Minute)
			f.Expect(f.counts()[1:]).To(HaveEach(4))
		})
	})

	It("stops counting an instance that stopped, and deletes its entry", func() {
		withFleet(3, func(f *fleet) {
			f.cancels[0]()
			time.Sleep(expiryTime)
			f.Expect(f.counts()[1:]).To(HaveEach(2))
			objs, _, err := f.clients[1].List(f.ctx, presence.Kind)
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(objs).To(HaveLen(2))
		})
	})

	It("keeps its count during an outage of the store, and expires no entry because of it", func() {
		withFleet(3, func(f *fleet) {
			for _, c := range f.clients {
				c.Replan(func(objects.Op, hbs.ObjectKind) objects.Plan { return objects.Plan{Fault: objects.FaultRefused} })
			}
			time.Sleep(expiryTime)
			f.Expect(f.counts()).To(HaveEach(3))
			for _, c := range f.clients {
				c.Replan(nil)
			}
			for range 60 {
				time.Sleep(time.Second)
				f.Expect(f.counts()).To(HaveEach(3))
			}
		})
	})

	// Guards against instances that take too large a part of what all may send (BUDGET,
	// LIMIT): the entries of the others were lost.
	It("keeps its count after the store was restored from a copy, and the entries are written again", func() {
		withRestorableFleet(4, func(f *fleet, s *platformstandin.Platform, copied platformstandin.Copy) {
			s.Restore(copied, time.Second, func() {})
			for range 120 {
				f.Expect(f.counts()).To(HaveEach(4))
				time.Sleep(500 * time.Millisecond)
			}
			f.Expect(s.PeekAll(presence.Kind)).To(HaveLen(4))
			others, ok := f.counters[0].Others()
			f.Expect(ok).To(BeTrue())
			f.Expect(others).To(HaveLen(3))
		})
	})

	It("stops counting instances that ended before the store was restored", func() {
		withRestorableFleet(4, func(f *fleet, s *platformstandin.Platform, copied platformstandin.Copy) {
			f.cancels[0]()
			s.Restore(copied, time.Second, func() {})
			time.Sleep(expiryTime)
			f.Expect(f.counts()[1:]).To(HaveEach(3))
		})
	})

	It("limits its calls to the store", func() {
		withFleet(2, func(f *fleet) {
			time.Sleep(10 * time.Minute)
			f.Expect(f.clients[0].Calls(objects.OpCreate) + f.clients[0].Calls(objects.OpUpdate)).To(BeNumerically("<=", 12))
			f.Expect(f.clients[0].Calls(objects.OpList)).To(BeNumerically("<=", 70))
		})
	})
})
