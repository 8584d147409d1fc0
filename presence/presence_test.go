package presence_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/presence"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
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

func (f *fleet) start(id string) {
	client := &objects.Client{Store: &f.store}
	c := &presence.Counter{Platform: client, Self: hbs.InstanceID(id), Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(f.ctx)
	f.counters, f.clients, f.cancels = append(f.counters, c), append(f.clients, client), append(f.cancels, cancel)
	f.wg.Go(func() { _ = c.Run(ctx) })
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

	It("limits its calls to the store", func() {
		withFleet(2, func(f *fleet) {
			time.Sleep(10 * time.Minute)
			f.Expect(f.clients[0].Calls(objects.OpCreate) + f.clients[0].Calls(objects.OpUpdate)).To(BeNumerically("<=", 12))
			f.Expect(f.clients[0].Calls(objects.OpList)).To(BeNumerically("<=", 70))
		})
	})
})
