package gateway_test

import (
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/platform"
	store "github.com/hornbeamstage/hornbeamstage/standin/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

const (
	leaseName = "orders.fleet"
	// awayTime is how long the store is away before it is back from a copy.
	awayTime = time.Second
	// configTime is the time after an acknowledgement within which a change of the
	// configuration is in force.
	configTime = 2 * time.Second
	// drainTime is the time after an instance knows that an endpoint leaves within
	// which the last request may reach it.
	drainTime = 2 * time.Second
)

// writeMany changes an object of another kind n times, as engines do with their
// heartbeats.
func (f *fleet) writeMany(n int) {
	for i := range n {
		f.Expect(f.store.Put("other", "o", i)).To(Succeed())
	}
}

// expectOneHolderPerFence checks the orders of all engines: each fencing number was
// used by one instance, and no engine got a lower one after a higher one.
func (f *fleet) expectOneHolderPerFence() {
	holders := map[uint64]string{}
	for _, e := range f.engines {
		last := uint64(0)
		for _, o := range e.Orders() {
			if h, ok := holders[o.Fence]; ok {
				f.Expect(o.Holder).To(Equal(h), "fencing number %d", o.Fence)
			}
			holders[o.Fence] = o.Holder
			f.Expect(o.Fence).To(BeNumerically(">=", last), "engine %s", e.ID)
			last = o.Fence
		}
	}
}

// expectHandovers checks that orders of two holders are at least leaseTime apart, but
// for those before from.
func (f *fleet) expectHandovers(from time.Time) {
	var all []pool.Order
	for _, e := range f.engines {
		all = append(all, e.Orders()...)
	}
	slices.SortFunc(all, func(a, b pool.Order) int { return a.At.Compare(b.At) })
	for i := 1; i < len(all); i++ {
		if all[i].Holder != all[i-1].Holder && all[i].At.After(from) {
			f.Expect(all[i].At.Sub(all[i-1].At)).To(BeNumerically(">=", leaseTime))
		}
	}
}

// holder returns the instance that gave the first order.
func (f *fleet) holder() int {
	if f.engines[0].Orders()[0].Holder == "i1" {
		return 0
	}
	return 1
}

// stopHolder ends that instance, and returns it.
func (f *fleet) stopHolder() int {
	i := f.holder()
	f.cancel[i]()
	<-f.results[i]
	return i
}

// copyReleased returns a copy of the store with a lease that was just released.
func (f *fleet) copyReleased() store.Copy {
	for !strings.Contains(string(f.store.Peek(hbs.ObjectLease, leaseName)), `"released":true`) {
		time.Sleep(time.Millisecond)
	}
	return f.store.Copy()
}

var _ = Describe("a store that was restored from a copy", func() {
	// Guards against two holders with one fencing number (ONE): the number followed
	// from that of the stored lease, which was older than the last one.
	It("has leases with higher fencing numbers than before", func() {
		withFleet(func(f *fleet) {
			f.publishWeights(2)
			time.Sleep(takeoverTime)
			c := f.store.Copy()
			stopped := f.stopHolder()
			time.Sleep(takeoverTime)
			f.publishWeights(3)
			time.Sleep(takeoverTime)
			f.Expect(f.versions()).To(HaveEach(int64(3)))
			f.startInstance(stopped)
			f.store.Restore(c, awayTime, func() { f.publishWeights(3) })
			time.Sleep(awayTime)
			f.publishWeights(4)
			time.Sleep(2 * takeoverTime)
			f.Expect(f.versions()).To(HaveEach(int64(4)))
			f.expectOneHolderPerFence()
		})
	})

	// Guards against two holders at the same time (ONE): a lease that the copy didn't
	// have was created at once, with the first fencing number.
	It("has higher fencing numbers if the copy had no lease", func() {
		withFleet(func(f *fleet) {
			f.store.Remove(hbs.ObjectLease, leaseName)
			c := f.store.Copy()
			time.Sleep(takeoverTime)
			f.publishWeights(2)
			time.Sleep(takeoverTime)
			f.stopHolder()
			f.store.Restore(c, awayTime, func() { f.publishWeights(2) })
			time.Sleep(awayTime)
			f.publishWeights(3)
			time.Sleep(2 * takeoverTime)
			f.Expect(f.versions()).To(HaveEach(int64(3)))
			f.expectOneHolderPerFence()
		})
	})

	// Guards against two holders at the same time (ONE): the copy had the lease as
	// released, which another instance had taken since.
	It("has no lease that may be taken at once", func() {
		withFleet(func(f *fleet) {
			f.publishWeights(2)
			time.Sleep(takeoverTime)
			stopped := f.holder()
			f.instances[stopped].Stop()
			c := f.copyReleased()
			f.Expect(<-f.results[stopped]).To(Succeed())
			f.startInstance(stopped)
			f.publishWeights(3)
			time.Sleep(settleTime)
			restored := time.Now()
			f.store.Restore(c, 10*time.Millisecond, func() { f.publishWeights(3) })
			time.Sleep(2 * takeoverTime)
			f.Expect(f.versions()).To(HaveEach(int64(3)))
			f.expectOneHolderPerFence()
			f.expectHandovers(restored)
		})
	})

	// Guards against a confirmed change that is not in force (CONFIG): a watch went on
	// from a revision that had been given out again.
	It("is read anew, also if its revisions are beyond the ones that were read", func() {
		withFleet(func(f *fleet) {
			c := f.store.Copy()
			f.publishRoutes(2, goodKey)
			f.writeMany(3)
			time.Sleep(settleTime)
			f.store.Restore(c, awayTime, func() {
				f.publishRoutes(2, goodKey)
				f.publishRoutes(3, "second")
				f.writeMany(20)
			})
			time.Sleep(awayTime + configTime)
			for i := range f.instances {
				f.Expect(f.send(call{i: i, path: "/write/x", key: "second"}).status).To(Equal(http.StatusOK))
				f.Expect(f.send(call{i: i, path: "/write/x"}).status).To(Equal(http.StatusUnauthorized))
			}
		})
	})

	// Guards against parts that crash engines anew (BUDGET): the reports of crashes were
	// lost, and instances that start later know of none.
	It("has the quarantined parts again", func() {
		withFleet(func(f *fleet) {
			c := f.store.Copy()
			f.fail(f.engines, pool.Faults{DeadlyPart: deadlyPart, DownTime: engineDownTime})
			f.sendMixed(8*time.Second, 500*time.Millisecond, 0)
			f.Expect(f.send(promptCall(1, 0, deadlyPart)).status).To(Equal(http.StatusServiceUnavailable))
			f.store.Restore(c, awayTime, func() {
				for _, e := range f.engines {
					f.register(e)
				}
			})
			time.Sleep(awayTime + 2*time.Second)
			f.restart(1)
			time.Sleep(2 * time.Second)
			before := len(f.crashes())
			f.Expect(f.send(promptCall(1, 1, deadlyPart)).status).To(Equal(http.StatusServiceUnavailable))
			f.Expect(f.crashes()).To(HaveLen(before))
		})
	})

	// Guards against callers that are refused while endpoints run: records that the
	// copy didn't have counted as removed.
	It("keeps endpoints in use whose records are written again", func() {
		withFleet(func(f *fleet) {
			for _, e := range f.services {
				f.store.Remove(platform.KindEndpoints, string(e.ID))
			}
			c := f.store.Copy()
			for _, e := range f.services {
				f.register(e)
			}
			time.Sleep(settleTime)
			f.store.Restore(c, awayTime, func() {})
			time.AfterFunc(awayTime+1500*time.Millisecond, func() {
				for _, e := range f.services {
					f.register(e)
				}
			})
			for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
				f.Expect(f.send(call{path: "/read/x", method: http.MethodGet}).status).To(Equal(http.StatusOK))
			}
		})
	})

	// Guards against requests to an endpoint that has left (DRAIN): the copy still had
	// its record.
	DescribeTable("has records of endpoints that get no requests, as they had left", func(leave func(f *fleet, e *pool.Endpoint)) {
		withFleet(func(f *fleet) {
			c := f.store.Copy()
			gone := f.services[0]
			leave(f, gone)
			time.Sleep(drainTime)
			before := len(gone.Runs())
			f.store.Restore(c, awayTime, func() {})
			for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
				f.send(call{path: "/read/x", method: http.MethodGet})
				f.send(call{i: 1, path: "/read/x", method: http.MethodGet})
			}
			f.Expect(gone.Runs()).To(HaveLen(before))
		})
	},
		Entry("by draining", func(_ *fleet, e *pool.Endpoint) { e.Drain() }),
		Entry("as its record was removed", func(f *fleet, e *pool.Endpoint) {
			f.store.Remove(platform.KindEndpoints, string(e.ID))
		}),
		Entry("by draining, and its record was removed", func(f *fleet, e *pool.Endpoint) {
			e.Drain()
			time.Sleep(settleTime)
			f.store.Remove(platform.KindEndpoints, string(e.ID))
		}),
	)
})
