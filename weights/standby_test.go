package weights_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/order"
)

const (
	// standbyID is the engine that the tests put on standby.
	standbyID = hbs.EndpointID("e04")
	// maxChangeTime is the longest time to change an idle engine's role: two
	// rounds, rollout.drain_grace, and one read each of its load and its state.
	maxChangeTime = 2*2*time.Second + 3*time.Second + time.Second
	// A stream of longStreamTokens takes over 20 s and less than maxLongStreamTime.
	longStreamTokens  = 1000
	maxLongStreamTime = 25 * time.Second
)

// setStandby replaces the list of engines that should be on standby.
func (f *fleet) setStandby(ids ...hbs.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.standby = ids
}

// standbyEngine returns the record and the role of engine standbyID.
func (f *fleet) standbyEngine() (e hbs.Endpoint, role order.Role) {
	for _, r := range f.Roster().Endpoints {
		if r.ID == standbyID {
			e = r
		}
	}
	s, err := f.rollouts[0].Orders.State(f.ctx, &e)
	f.Expect(err).NotTo(HaveOccurred())
	return e, s.Role
}

// awaitStandbyEngine waits until engine standbyID has the role and the state, and
// returns how long that took, at most limit.
func (f *fleet) awaitStandbyEngine(role order.Role, state hbs.EndpointState, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		if e, now := f.standbyEngine(); now == role && e.State == state {
			return time.Since(start)
		}
		time.Sleep(pollInterval)
	}
	return limit
}

// standbyRuns counts the runs of engine standbyID.
func (f *fleet) standbyRuns() int { return len(f.engines[4].Runs()) }

// startLongStream starts a long stream on engine standbyID.
func (f *fleet) startLongStream() {
	e, _ := f.standbyEngine()
	f.wg.Go(func() {
		transport := network.NewTransport(f.fabric.Network("d0"))
		defer transport.CloseIdleConnections()
		f.send(transport, &e, "long", longStreamTokens)
	})
	time.Sleep(time.Second)
}

// expectNoStreamCut checks that no stream was cut and that no engine received an
// order under an outdated fencing number.
func (f *fleet) expectNoStreamCut() {
	f.Expect(f.crashedRuns() + f.sendErrors).To(BeZero())
	f.Expect(f.staleOrders()).To(BeZero())
}

var _ = Describe("Standby (R9)", func() {
	It("drains an engine without cutting a stream, sends it no work, and restores it", func() {
		var figures string
		inFleet(tambuli, func(f *fleet) {
			stopCallers := f.startCallers(12)
			f.startLongStream()
			f.setStandby(standbyID)
			drainedAfter := f.awaitStandbyEngine(order.RoleStandby, hbs.StateDraining, time.Minute)
			f.Expect(drainedAfter).To(BeNumerically("<", maxLongStreamTime))
			before := f.standbyRuns()
			time.Sleep(time.Minute)
			f.Expect(f.standbyRuns()).To(Equal(before))
			f.setStandby()
			servingAfter := f.awaitStandbyEngine(order.RoleServe, hbs.StateLive, time.Minute)
			f.Expect(servingAfter).To(BeNumerically("<", maxChangeTime))
			time.Sleep(5 * time.Second)
			f.Expect(f.standbyRuns()).To(BeNumerically(">", before))
			stopCallers()
			f.expectNoStreamCut()
			figures = fmt.Sprintf("on standby after %v with a stream of %d tokens, live again after %v", drainedAfter, longStreamTokens, servingAfter)
		})
		AddReportEntry(figures)
	})

	It("sends no order when standby is withdrawn while a stream is running", func() {
		inFleet(tambuli, func(f *fleet) {
			f.startLongStream()
			f.setStandby(standbyID)
			time.Sleep(maxChangeTime)
			f.setStandby()
			f.Expect(f.awaitStandbyEngine(order.RoleServe, hbs.StateLive, time.Minute)).To(BeNumerically("<", maxChangeTime))
			f.Expect(f.engines[4].Orders()).To(BeEmpty())
			time.Sleep(maxLongStreamTime)
			f.expectNoStreamCut()
		})
	})

	DescribeTable("reaches the state of the last edit after many edits in quick succession", func(last []hbs.EndpointID, role order.Role, state hbs.EndpointState) {
		inFleet(tambuli, func(f *fleet) {
			stopCallers := f.startCallers(12)
			for range 20 {
				f.setStandby(standbyID)
				time.Sleep(700 * time.Millisecond)
				f.setStandby()
				time.Sleep(1100 * time.Millisecond)
			}
			f.setStandby(last...)
			f.Expect(f.awaitStandbyEngine(role, state, time.Minute)).To(BeNumerically("<", time.Minute))
			stopCallers()
			f.expectNoStreamCut()
		})
	},
		Entry("standby", []hbs.EndpointID{standbyID}, order.RoleStandby, hbs.StateDraining),
		Entry("serve", nil, order.RoleServe, hbs.StateLive),
	)

	DescribeTable("is completed by the next holder of the lease", func(to []hbs.EndpointID, after time.Duration, role order.Role, state hbs.EndpointState) {
		inFleet(tambuli, func(f *fleet) {
			stopCallers := f.startCallers(12)
			if to == nil {
				f.setStandby(standbyID)
				f.Expect(f.awaitStandbyEngine(order.RoleStandby, hbs.StateDraining, time.Minute)).To(BeNumerically("<", time.Minute))
			}
			f.setStandby(to...)
			time.Sleep(after)
			i, _ := f.holder("d0")
			f.clients[i].Kill()
			f.cancels[i]()
			f.Expect(f.awaitStandbyEngine(role, state, time.Minute)).To(BeNumerically("<", maxGrantAfterCrash+maxChangeTime))
			stopCallers()
			f.expectNoStreamCut()
		})
	},
		Entry("to standby, the holder dies during the drain", []hbs.EndpointID{standbyID}, 3*time.Second, order.RoleStandby, hbs.StateDraining),
		Entry("back to serving, the holder dies at once", nil, time.Duration(0), order.RoleServe, hbs.StateLive),
		Entry("back to serving, the holder dies before the engine is restored", nil, 1500*time.Millisecond, order.RoleServe, hbs.StateLive),
	)

	It("replaces the weights of an engine on standby and updates its record", func() {
		inFleet(tambuli, func(f *fleet) {
			f.setStandby(standbyID)
			f.awaitStandbyEngine(order.RoleStandby, hbs.StateDraining, time.Minute)
			f.setDesired("v2")
			time.Sleep(2 * time.Minute)
			e, role := f.standbyEngine()
			f.Expect(role).To(Equal(order.RoleStandby))
			f.Expect(e.State).To(Equal(hbs.StateDraining))
			f.Expect(e.Weights).To(Equal(hbs.WeightsVersion("v2")))
			live, done := f.countLive()
			f.Expect(live).To(Equal(11))
			f.Expect(done).To(Equal(11))
			f.expectNoStreamCut()
		})
	})

	It("keeps one engine serving during a rollout when only two are not on standby (R2)", func() {
		inFleet(singleDomain, func(f *fleet) {
			f.setStandby("e00", "e01", "e02", "e03")
			time.Sleep(time.Minute)
			f.setDesired("v2")
			minLive, limit := singleDomain.engines, time.Now().Add(time.Minute)
			for ; time.Now().Before(limit); time.Sleep(pollInterval) {
				live, _ := f.countLive()
				minLive = min(minLive, live)
			}
			_, done := f.countLive()
			f.Expect(done).To(Equal(2))
			f.Expect(minLive).To(Equal(1))
		})
	})

	DescribeTable("includes engines that the roster does not list in the share that may be drained (R2)", func(unlisted int, standby []hbs.EndpointID, minLive int) {
		inFleet(singleDomain.withOutShare(0.17), func(f *fleet) {
			f.unlisted = unlisted
			f.setStandby(standby...)
			took := f.rollOut(10 * time.Minute)
			f.Expect(f.minLive).To(Equal(minLive), "took %v", took)
		})
	},
		Entry("none", 0, nil, 5),
		Entry("12", 12, nil, 3),
		Entry("12, of which 6 are on standby", 12, []hbs.EndpointID{"x0", "x1", "x2", "x3", "x4", "x5"}, 4),
	)
})
