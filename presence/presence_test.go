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
	// settled is the time until all that started at once have counted each other.
	settled = 10 * time.Second
	// gone is the time after which an instance that ended does not count.
	gone = 7 * time.Minute
)

// fleet is some counters on one store.
type fleet struct {
	*WithT
	store    objects.Store
	counters []*presence.Counter
	clients  []*objects.Client
	end      []context.CancelFunc
	ctx      context.Context
	wg       conc.WaitGroup
}

// in runs f against n counters in a bubble.
func in(n int, f func(fl *fleet)) {
	synctest.Test(suite, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fl := &fleet{WithT: NewWithT(t), ctx: ctx}
		defer fl.wg.Wait()
		defer cancel()
		for i := range n {
			fl.start(fmt.Sprintf("i%d", i))
		}
		time.Sleep(settled)
		f(fl)
	})
}

func (f *fleet) start(id string) {
	client := &objects.Client{Store: &f.store}
	c := &presence.Counter{Platform: client, Self: hbs.InstanceID(id), Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(f.ctx)
	f.counters, f.clients, f.end = append(f.counters, c), append(f.clients, client), append(f.end, cancel)
	f.wg.Go(func() { _ = c.Run(ctx) })
}

func (f *fleet) counts() (ns []int) {
	for _, c := range f.counters {
		ns = append(ns, c.Count())
	}
	return ns
}

var _ = Describe("Counter", func() {
	It("knows nothing before the first answer", func() {
		Expect((&presence.Counter{}).Count()).To(BeZero())
	})

	It("counts the instances that started at once", func() {
		in(5, func(f *fleet) { f.Expect(f.counts()).To(HaveEach(5)) })
	})

	It("counts one that starts later, and one that starts again only once", func() {
		in(3, func(f *fleet) {
			f.end[0]()
			f.start("i0")
			f.start("late")
			time.Sleep(time.Minute)
			f.Expect(f.counts()[1:]).To(HaveEach(4))
		})
	})

	It("forgets one that is gone, and deletes its entry", func() {
		in(3, func(f *fleet) {
			f.end[0]()
			time.Sleep(gone)
			f.Expect(f.counts()[1:]).To(HaveEach(2))
			objs, _, err := f.clients[1].List(f.ctx, presence.Kind)
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(objs).To(HaveLen(2))
		})
	})

	It("keeps its count while the store is away, and counts nobody as gone for it", func() {
		in(3, func(f *fleet) {
			for _, c := range f.clients {
				c.Replan(func(objects.Op, hbs.ObjectKind) objects.Plan { return objects.Plan{Fault: objects.FaultRefused} })
			}
			time.Sleep(gone)
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

	It("makes few calls", func() {
		in(2, func(f *fleet) {
			time.Sleep(10 * time.Minute)
			f.Expect(f.clients[0].Calls(objects.OpCreate) + f.clients[0].Calls(objects.OpUpdate)).To(BeNumerically("<=", 12))
			f.Expect(f.clients[0].Calls(objects.OpList)).To(BeNumerically("<=", 70))
		})
	})
})
