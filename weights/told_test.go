package weights_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/order"
)

const (
	unheardWait = time.Minute
)

// blind is a domain whose engines report no load.
var blind = size{engines: 6, domains: 1, instances: 3, loads: 2, load: 2 * time.Second, outShare: 0.34, silent: true}

// exchange passes what instances tell of their work until the test ends.
func (f *fleet) exchange() {
	for f.ctx.Err() == nil {
		for i, w := range f.works {
			if data := w.Digest(1 << 10); data != nil && f.hears(i) {
				f.pass(i, data)
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func (f *fleet) pass(from int, data []byte) {
	for i, w := range f.works {
		if i != from && f.hears(i) {
			f.Expect(w.Absorb(f.instance(from), data)).To(Succeed())
		}
	}
}

func (f *fleet) hears(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unheard[i]
}

// silence makes instance i unheard.
func (f *fleet) silence(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unheard = map[int]bool{i: true}
}

// toSpare is a Placer that always chooses the spare.
type toSpare struct {
	hbs.Placer
	e hbs.Endpoint
}

func (p toSpare) Place(*hbs.Request, []hbs.EndpointID) (hbs.Placement, error) {
	return hbs.Placement{Attempt: "told", Endpoint: p.e}, nil
}

func (toSpare) Finish(*hbs.Placement, hbs.AttemptResult) {}

// stream runs a long stream of instance i on the spare.
func (f *fleet) stream(i int, deadline time.Duration) {
	e, _ := f.spareIs()
	placer := f.works[i].Placer(toSpare{e: e})
	f.wg.Go(func() {
		p, err := placer.Place(&hbs.Request{Deadline: time.Now().Add(deadline)}, nil)
		f.Expect(err).NotTo(HaveOccurred())
		transport := network.Transport(f.fabric.Network("d0"))
		defer transport.CloseIdleConnections()
		f.send(transport, &e, "told", longTokens)
		placer.Finish(&p, hbs.AttemptResult{})
	})
	time.Sleep(time.Second)
}

// other returns an instance that does not hold the lease.
func (f *fleet) other() int {
	i, _ := f.holder("d0")
	return (i + 1) % f.size.instances
}

var _ = Describe("An engine without load reports (R10)", func() {
	// out makes the spare stand by and returns how long that took.
	out := func(f *fleet) time.Duration {
		f.standBy(spare)
		return f.reach(order.RoleStandby, hbs.StateDraining, 10*time.Minute)
	}

	It("gets weights and a role when no instance has work there", func() {
		inFleet(blind, func(f *fleet) {
			f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", time.Minute))
			f.Expect(out(f)).To(BeNumerically("<", changeTime))
			f.uncut()
		})
	})

	It("is not ordered while another instance has a stream there", func() {
		inFleet(blind, func(f *fleet) {
			f.stream(f.other(), 10*time.Minute)
			f.Expect(out(f)).To(And(BeNumerically(">", 15*time.Second), BeNumerically("<", longTime)))
			f.uncut()
			f.Expect(f.answered).To(Equal(1))
		})
	})

	It("is ordered after the deadline that an instance told of before it fell silent, not earlier", func() {
		inFleet(blind, func(f *fleet) {
			i := f.other()
			f.stream(i, 40*time.Second)
			begun := time.Now()
			f.wg.Go(func() {
				time.Sleep(10 * time.Second)
				f.silence(i)
			})
			out(f)
			f.Expect(time.Since(begun)).To(And(BeNumerically(">", 39*time.Second), BeNumerically("<", 50*time.Second)))
			f.uncut()
			f.Expect(f.answered).To(Equal(1))
		})
	})

	DescribeTable("waits for an instance that was never heard", func(streams bool) {
		inFleet(blind, func(f *fleet) {
			i := f.other()
			f.silence(i)
			if streams {
				f.stream(i, unheardWait)
			}
			f.Expect(out(f)).To(BeNumerically("~", unheardWait, changeTime))
			f.uncut()
		})
	},
		Entry("dead", false),
		Entry("cut off, with a stream", true),
	)

	It("is not ordered by the next holder while an instance has a stream there", func() {
		inFleet(blind, func(f *fleet) {
			i, _ := f.holder("d0")
			f.stream(f.other(), 10*time.Minute)
			f.standBy(spare)
			time.Sleep(4 * time.Second)
			f.clients[i].Kill()
			f.ends[i]()
			f.Expect(f.reach(order.RoleStandby, hbs.StateDraining, time.Minute)).To(BeNumerically("<", lapse+longTime))
			f.uncut()
			f.Expect(f.answered).To(Equal(1))
		})
	})

	It("keeps its weights while an instance has a stream there, and gets the wanted ones after it", func() {
		inFleet(blind, func(f *fleet) {
			f.stream(f.other(), 10*time.Minute)
			f.order("v2")
			time.Sleep(10 * time.Second)
			e, _ := f.spareIs()
			f.Expect(e.Weights).To(Equal(hbs.WeightsVersion("v1")))
			f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", time.Minute))
			f.uncut()
			f.Expect(f.answered).To(Equal(1))
		})
	})
})
