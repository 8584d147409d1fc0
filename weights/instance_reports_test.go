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
	// reportWait is rollout.unheard_wait in these tests.
	reportWait = time.Minute
)

// withoutReports is a fleet whose engines report no load.
var withoutReports = fleetConfig{engines: 6, domains: 1, instances: 3, maxLoads: 2, loadTime: 2 * time.Second, outShare: 0.34, noLoadReports: true}

// exchangeDigests passes the instances' digests of their work to each other until
// the test ends.
func (f *fleet) exchangeDigests() {
	for f.ctx.Err() == nil {
		for i, t := range f.drainTrackers {
			if data := t.Digest(1 << 10); data != nil && f.connected(i) {
				f.deliver(i, data)
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func (f *fleet) deliver(from int, data []byte) {
	for i, t := range f.drainTrackers {
		if i != from && f.connected(i) {
			f.Expect(t.Merge(f.instance(from), data)).To(Succeed())
		}
	}
}

func (f *fleet) connected(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.partitioned[i]
}

// partition cuts instance i, and no other, off from the exchange of digests.
func (f *fleet) partition(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = map[int]bool{i: true}
}

// fixedPlacer is a Placer that always chooses e.
type fixedPlacer struct {
	hbs.Placer
	e hbs.Endpoint
}

func (p fixedPlacer) Place(*hbs.Request, []hbs.EndpointID) (hbs.Placement, error) {
	return hbs.Placement{Attempt: "long", Endpoint: p.e}, nil
}

func (fixedPlacer) Finish(*hbs.Placement, hbs.AttemptResult) {}

// startStream starts a long stream of instance i on engine standbyID.
func (f *fleet) startStream(i int, deadline time.Duration) {
	e, _ := f.standbyEngine()
	placer := f.drainTrackers[i].Placer(fixedPlacer{e: e})
	f.wg.Go(func() {
		p, err := placer.Place(&hbs.Request{Deadline: time.Now().Add(deadline)}, nil)
		f.Expect(err).NotTo(HaveOccurred())
		transport := network.NewTransport(f.fabric.Network("d0"))
		defer transport.CloseIdleConnections()
		f.send(transport, &e, "long", longStreamTokens)
		placer.Finish(&p, hbs.AttemptResult{})
	})
	time.Sleep(time.Second)
}

// nonHolder returns an instance that does not hold the lease.
func (f *fleet) nonHolder() int {
	holder, _ := f.holder("d0")
	return (holder + 1) % f.cfg.instances
}

var _ = Describe("An engine without load reports (R10)", func() {
	// standByTime puts engine standbyID on standby and returns how long that took.
	standByTime := func(f *fleet) time.Duration {
		f.setStandby(standbyID)
		return f.awaitStandbyEngine(order.RoleStandby, hbs.StateDraining, 10*time.Minute)
	}

	It("gets weights and a role without delay when no instance has work there", func() {
		inFleet(withoutReports, func(f *fleet) {
			f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", time.Minute))
			f.Expect(standByTime(f)).To(BeNumerically("<", maxChangeTime))
			f.expectNoStreamCut()
		})
	})

	It("gets no order while another instance has a stream there", func() {
		inFleet(withoutReports, func(f *fleet) {
			f.startStream(f.nonHolder(), 10*time.Minute)
			f.Expect(standByTime(f)).To(And(BeNumerically(">", 15*time.Second), BeNumerically("<", maxLongStreamTime)))
			f.expectNoStreamCut()
			f.Expect(f.answered).To(Equal(1))
		})
	})

	It("gets an order only after the last deadline that an instance reported before it was partitioned", func() {
		inFleet(withoutReports, func(f *fleet) {
			i := f.nonHolder()
			f.startStream(i, 40*time.Second)
			start := time.Now()
			f.wg.Go(func() {
				time.Sleep(10 * time.Second)
				f.partition(i)
			})
			standByTime(f)
			f.Expect(time.Since(start)).To(And(BeNumerically(">", 39*time.Second), BeNumerically("<", 50*time.Second)))
			f.expectNoStreamCut()
			f.Expect(f.answered).To(Equal(1))
		})
	})

	DescribeTable("gets an order after rollout.unheard_wait when an instance never reported", func(streams bool) {
		inFleet(withoutReports, func(f *fleet) {
			i := f.nonHolder()
			f.partition(i)
			if streams {
				f.startStream(i, reportWait)
			}
			f.Expect(standByTime(f)).To(BeNumerically("~", reportWait, maxChangeTime))
			f.expectNoStreamCut()
		})
	},
		Entry("dead", false),
		Entry("partitioned, with a stream", true),
	)

	It("gets no order from the next holder while an instance has a stream there", func() {
		inFleet(withoutReports, func(f *fleet) {
			i, _ := f.holder("d0")
			f.startStream(f.nonHolder(), 10*time.Minute)
			f.setStandby(standbyID)
			time.Sleep(4 * time.Second)
			f.clients[i].Kill()
			f.cancels[i]()
			f.Expect(f.awaitStandbyEngine(order.RoleStandby, hbs.StateDraining, time.Minute)).To(BeNumerically("<", maxGrantAfterCrash+maxLongStreamTime))
			f.expectNoStreamCut()
			f.Expect(f.answered).To(Equal(1))
		})
	})

	It("keeps its weights while an instance has a stream there, and gets the desired ones afterwards", func() {
		inFleet(withoutReports, func(f *fleet) {
			f.startStream(f.nonHolder(), 10*time.Minute)
			f.setDesired("v2")
			time.Sleep(10 * time.Second)
			e, _ := f.standbyEngine()
			f.Expect(e.Weights).To(Equal(hbs.WeightsVersion("v1")))
			f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", time.Minute))
			f.expectNoStreamCut()
			f.Expect(f.answered).To(Equal(1))
		})
	})
})
