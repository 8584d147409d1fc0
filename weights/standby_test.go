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
	spare = hbs.EndpointID("e04")
	// changeTime is the longest time for a change of an idle engine's role: two
	// rounds, the drain's grace, a look at its load, and a read of its state.
	changeTime = 2*2*time.Second + 3*time.Second + time.Second
	// longTokens is a stream of over 20 s, longTime about as long.
	longTokens = 1000
	longTime   = 25 * time.Second
)

// standBy edits the list of engines that stand by.
func (f *fleet) standBy(ids ...hbs.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.standby = ids
}

// spareIs returns the spare's record and role.
func (f *fleet) spareIs() (e hbs.Endpoint, role order.Role) {
	for _, r := range f.Roster().Endpoints {
		if r.ID == spare {
			e = r
		}
	}
	s, err := f.rollouts[0].Orders.State(f.ctx, &e)
	f.Expect(err).NotTo(HaveOccurred())
	return e, s.Role
}

// reach waits until the spare has the role and the state, and returns how long.
func (f *fleet) reach(role order.Role, state hbs.EndpointState, limit time.Duration) time.Duration {
	begun := time.Now()
	for time.Since(begun) < limit {
		if e, now := f.spareIs(); now == role && e.State == state {
			return time.Since(begun)
		}
		time.Sleep(glance)
	}
	return limit
}

// runs counts the spare's runs.
func (f *fleet) runs() int { return len(f.engines[4].Runs()) }

// long starts a long stream on the spare.
func (f *fleet) long() {
	e, _ := f.spareIs()
	f.wg.Go(func() {
		transport := network.Transport(f.fabric.Network("d0"))
		defer transport.CloseIdleConnections()
		f.send(transport, &e, "long", longTokens)
	})
	time.Sleep(time.Second)
}

func (f *fleet) uncut() {
	f.Expect(f.cutRuns() + f.cut).To(BeZero())
	f.Expect(f.stale()).To(BeZero())
}

var _ = Describe("Standby (R9)", func() {
	It("drains an engine, gives it no work and cuts no stream, and takes it back", func() {
		var figures string
		inFleet(tambuli, func(f *fleet) {
			quit := f.callers(12)
			f.long()
			f.standBy(spare)
			out := f.reach(order.RoleStandby, hbs.StateDraining, time.Minute)
			f.Expect(out).To(BeNumerically("<", longTime))
			before := f.runs()
			time.Sleep(time.Minute)
			f.Expect(f.runs()).To(Equal(before))
			f.standBy()
			back := f.reach(order.RoleServe, hbs.StateLive, time.Minute)
			f.Expect(back).To(BeNumerically("<", changeTime))
			time.Sleep(5 * time.Second)
			f.Expect(f.runs()).To(BeNumerically(">", before))
			quit()
			f.uncut()
			figures = fmt.Sprintf("out after %v with a stream of %d tokens, back after %v", out, longTokens, back)
		})
		AddReportEntry(figures)
	})

	It("gives no order when the wish is withdrawn while a stream goes on", func() {
		inFleet(tambuli, func(f *fleet) {
			f.long()
			f.standBy(spare)
			time.Sleep(changeTime)
			f.standBy()
			f.Expect(f.reach(order.RoleServe, hbs.StateLive, time.Minute)).To(BeNumerically("<", changeTime))
			f.Expect(f.engines[4].Orders()).To(BeEmpty())
			time.Sleep(longTime)
			f.uncut()
		})
	})

	DescribeTable("ends as the last of two racing edits says", func(last []hbs.EndpointID, role order.Role, state hbs.EndpointState) {
		inFleet(tambuli, func(f *fleet) {
			quit := f.callers(12)
			for range 20 {
				f.standBy(spare)
				time.Sleep(700 * time.Millisecond)
				f.standBy()
				time.Sleep(1100 * time.Millisecond)
			}
			f.standBy(last...)
			f.Expect(f.reach(role, state, time.Minute)).To(BeNumerically("<", time.Minute))
			quit()
			f.uncut()
		})
	},
		Entry("stand by", []hbs.EndpointID{spare}, order.RoleStandby, hbs.StateDraining),
		Entry("serve", nil, order.RoleServe, hbs.StateLive),
	)

	DescribeTable("is finished by the next holder", func(to []hbs.EndpointID, after time.Duration, role order.Role, state hbs.EndpointState) {
		inFleet(tambuli, func(f *fleet) {
			quit := f.callers(12)
			if to == nil {
				f.standBy(spare)
				f.Expect(f.reach(order.RoleStandby, hbs.StateDraining, time.Minute)).To(BeNumerically("<", time.Minute))
			}
			f.standBy(to...)
			time.Sleep(after)
			i, _ := f.holder("d0")
			f.clients[i].Kill()
			f.ends[i]()
			f.Expect(f.reach(role, state, time.Minute)).To(BeNumerically("<", lapse+changeTime))
			quit()
			f.uncut()
		})
	},
		Entry("out, its holder dies in the drain", []hbs.EndpointID{spare}, 3*time.Second, order.RoleStandby, hbs.StateDraining),
		Entry("back, its holder dies at once", nil, time.Duration(0), order.RoleServe, hbs.StateLive),
		Entry("back, its holder dies before the engine is restored", nil, 1500*time.Millisecond, order.RoleServe, hbs.StateLive),
	)

	It("gets the wanted weights while it stands by, and its record says so", func() {
		inFleet(tambuli, func(f *fleet) {
			f.standBy(spare)
			f.reach(order.RoleStandby, hbs.StateDraining, time.Minute)
			f.order("v2")
			time.Sleep(2 * time.Minute)
			e, role := f.spareIs()
			f.Expect(role).To(Equal(order.RoleStandby))
			f.Expect(e.State).To(Equal(hbs.StateDraining))
			f.Expect(e.Weights).To(Equal(hbs.WeightsVersion("v2")))
			live, done := f.count()
			f.Expect(live).To(Equal(11))
			f.Expect(done).To(Equal(11))
			f.uncut()
		})
	})

	It("leaves an engine serving through a rollout when all others but one stand by (R2)", func() {
		inFleet(alone, func(f *fleet) {
			f.standBy("e00", "e01", "e02", "e03")
			time.Sleep(time.Minute)
			f.order("v2")
			least, limit := alone.engines, time.Now().Add(time.Minute)
			for ; time.Now().Before(limit); time.Sleep(glance) {
				live, _ := f.count()
				least = min(least, live)
			}
			_, done := f.count()
			f.Expect(done).To(Equal(2))
			f.Expect(least).To(Equal(1))
		})
	})

	DescribeTable("counts engines that the roster leaves out in the share that may be out (R2)", func(elsewhere int, standby []hbs.EndpointID, least int) {
		inFleet(alone.out(0.17), func(f *fleet) {
			f.elsewhere = elsewhere
			f.standBy(standby...)
			took := f.rollOut(10 * time.Minute)
			f.Expect(f.least).To(Equal(least), "took %v", took)
		})
	},
		Entry("none", 0, nil, 5),
		Entry("12", 12, nil, 3),
		Entry("12, of which 6 stand by", 12, []hbs.EndpointID{"x0", "x1", "x2", "x3", "x4", "x5"}, 4),
	)
})
