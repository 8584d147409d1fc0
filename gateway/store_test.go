package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// watchedKinds is the number of object kinds of which an instance has to know that it
// has the newest; it misses the store soon.
const watchedKinds = 3

// logCount returns the number of log lines with the message.
func (f *fleet) logCount(message string) int { return f.logs.FilterMessage(message).Len() }

var _ = Describe("routes and keys in the store", func() {
	It("take effect within the required time and are never replaced by older ones", func() {
		withFleet(func(f *fleet) {
			f.publishRoutes(7, "second")
			time.Sleep(settleTime)
			f.Expect(f.send(call{path: "/write/x"}).status).To(Equal(http.StatusUnauthorized))
			f.Expect(f.send(call{path: "/write/x", key: "second"}).status).To(Equal(http.StatusOK))
			f.publishRoutes(6, goodKey)
			time.Sleep(settleTime)
			f.Expect(f.send(call{path: "/write/x"}).status).To(Equal(http.StatusUnauthorized))
		})
	})

	It("stay in use if a newer version can't be decoded", func() {
		withFleet(func(f *fleet) {
			f.Expect(f.store.Put(platform.KindConfig, platform.ConfigName, map[string]any{"version": 9, "routes": []any{map[string]any{"kind": "odd"}}})).To(Succeed())
			time.Sleep(settleTime)
			f.Expect(f.send(call{path: "/write/x"}).status).To(Equal(http.StatusOK))
			f.Expect(f.logCount("route table not adopted")).To(Equal(2))
		})
	})

	It("are listed again after the store has compacted its history", func() {
		withFleet(func(f *fleet) {
			f.store.Compact()
			f.publishRoutes(2, "second")
			f.store.Compact()
			time.Sleep(3 * time.Second)
			f.Expect(f.send(call{path: "/write/x", key: "second"}).status).To(Equal(http.StatusOK))
		})
	})

	It("are used during an outage until keys may have been revoked meanwhile, and again after it", func() {
		withFleet(func(f *fleet) {
			f.store.Outage(20 * time.Second)
			time.Sleep(revokeTime / 2)
			f.Expect(f.send(call{path: "/write/x"}).status).To(Equal(http.StatusOK))
			time.Sleep(revokeTime)
			a := f.send(call{path: "/write/x"})
			f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			f.Expect(a.header.Get("X-Outcome")).To(Equal("not_run"))
			time.Sleep(20 * time.Second)
			f.Expect(f.send(call{path: "/write/x"}).status).To(Equal(http.StatusOK))
			f.Expect(f.logCount("store lost")).To(BeNumerically(">", 0))
			f.Expect(f.logCount("store regained")).To(Equal(f.logCount("store lost")))
		})
	})

	It("count as stale after a suspension that the monotonic clock doesn't include", func() {
		withFleet(func(f *fleet) {
			f.suspend(2 * revokeTime)
			f.Expect(f.send(call{path: "/write/x"}).status).To(Equal(http.StatusServiceUnavailable))
			time.Sleep(5 * time.Second)
			f.Expect(f.send(call{path: "/write/x"}).status).To(Equal(http.StatusOK))
		})
	})

	It("don't cause a 404 or 401 if they are unknown to an instance that may have stale ones", func() {
		withFleet(func(f *fleet) {
			f.store.Outage(time.Minute)
			time.Sleep(10 * time.Second)
			f.Expect(f.send(call{path: "/new/x"}).status).To(Equal(http.StatusServiceUnavailable))
			f.Expect(f.send(call{path: "/write/x", key: "new"}).status).To(Equal(http.StatusServiceUnavailable))
		})
	})
})

var _ = Describe("endpoint records that expired during an outage of the store", func() {
	It("leave their endpoints in use for the time in which they may be registered again", func() {
		withFleet(func(f *fleet) {
			f.store.Outage(4500 * time.Millisecond)
			for _, e := range f.services {
				f.store.Remove(platform.KindEndpoints, string(e.ID))
			}
			for f.logCount("store regained") < watchedKinds*len(f.instances) {
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			a := f.send(call{path: "/write/x"})
			f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			f.register(f.services[0])
			time.Sleep(3 * time.Second)
			for range 4 {
				f.Expect(f.send(call{path: "/write/y"}).status).To(Equal(http.StatusOK))
			}
			f.Expect(f.services[1].Runs()).To(HaveLen(5 - len(f.services[0].Runs())))
			f.Expect(len(f.services[1].Runs())).To(BeNumerically("<=", 1), "its record was not registered again")
		})
	})
})

// versions returns the weights version of each engine.
func (f *fleet) versions() (vs []int64) {
	for _, e := range f.engines {
		vs = append(vs, e.Weights())
	}
	return vs
}

// fences returns the fencing number of each lease holder that gave orders.
func (f *fleet) fences() map[string]uint64 {
	hs := map[string]uint64{}
	for _, e := range f.engines {
		for _, o := range e.Orders() {
			hs[o.Holder] = o.Fence
		}
	}
	return hs
}

var _ = Describe("weights versions that the platform publishes", func() {
	It("are ordered by one lease holder, for some of the engines at a time, without refused requests", func() {
		withFleet(func(f *fleet) {
			f.publishWeights(2)
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				a := f.send(streamCall(1))
				f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			}
			f.Expect(f.versions()).To(HaveEach(int64(2)))
			f.Expect(f.fences()).To(HaveLen(1))
		})
	})

	It("are skipped for the newest one if several are published", func() {
		withFleet(func(f *fleet) {
			for v := 2; v <= 5; v++ {
				f.publishWeights(v)
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(convergeTime)
			f.Expect(f.versions()).To(HaveEach(int64(5)))
		})
	})

	It("are loaded by the engines with the oldest weights before others load a second version", func() {
		withFleet(func(f *fleet) {
			f.publishWeights(2)
			time.Sleep(500 * time.Millisecond)
			f.publishWeights(3)
			time.Sleep(convergeTime)
			f.Expect(f.versions()).To(HaveEach(int64(3)))
			second, last := time.Time{}, time.Time{}
			for _, e := range f.engines {
				orders := e.Orders()
				if len(orders) > 1 && (second.IsZero() || orders[1].At.Before(second)) {
					second = orders[1].At
				}
				if orders[0].At.After(last) {
					last = orders[0].At
				}
			}
			f.Expect(second.IsZero()).To(BeFalse(), "no engine loaded two versions")
			f.Expect(last).To(BeTemporally("<=", second))
		})
	})

	It("are loaded by all other engines if some refuse orders", func() {
		withFleet(func(f *fleet) {
			f.fail(f.engines[:2], pool.Faults{Busy: true})
			f.publishWeights(2)
			time.Sleep(convergeTime)
			f.Expect(f.versions()).To(Equal([]int64{1, 1, 2, 2}))
			f.fail(f.engines[:2], pool.Faults{})
			time.Sleep(convergeTime)
			f.Expect(f.versions()).To(HaveEach(int64(2)))
		})
	})

	It("are ordered only once from engines whose responses to orders are lost", func() {
		withFleet(func(f *fleet) {
			f.fail(f.engines, pool.Faults{DropOrderAnswer: true})
			f.publishWeights(2)
			time.Sleep(convergeTime)
			f.Expect(f.versions()).To(HaveEach(int64(2)))
			for _, e := range f.engines {
				f.Expect(e.Orders()).To(HaveLen(1))
			}
		})
	})

	It("are ordered if responses to successful writes of the store are lost", func() {
		withFleet(func(f *fleet) {
			f.store.LoseAnswers(0.5, convergeTime)
			f.publishWeights(2)
			time.Sleep(convergeTime + takeoverTime)
			f.Expect(f.versions()).To(HaveEach(int64(2)))
		})
	})

	It("are ordered by another lease holder, with another fencing number, if the first one dies", func() {
		withFleet(func(f *fleet) {
			f.publishWeights(2)
			time.Sleep(convergeTime)
			first := f.fences()
			f.Expect(first).To(HaveLen(1))
			dead := 0
			if _, ok := first["i2"]; ok {
				dead = 1
			}
			f.cancel[dead]()
			<-f.results[dead]
			f.publishWeights(3)
			time.Sleep(takeoverTime + convergeTime)
			f.Expect(f.versions()).To(HaveEach(int64(3)))
			all := f.fences()
			f.Expect(all).To(HaveLen(2))
			f.Expect(all["i1"]).NotTo(Equal(all["i2"]))
		})
	})

	// The holder stops while it still serves long requests, soon after an order.
	It("are ordered by another lease holder soon after the stop signal for the first one", func() {
		withFleet(func(f *fleet) {
			f.publishWeights(2)
			time.Sleep(convergeTime)
			stopping := 0
			if _, ok := f.fences()["i2"]; ok {
				stopping = 1
			}
			f.publishWeights(3)
			time.Sleep(settleTime)
			ordered := time.Now()
			f.instances[stopping].Stop()
			time.Sleep(handOverTime)
			f.Expect(f.fences()).To(HaveLen(2))
			time.Sleep(convergeTime)
			f.Expect(f.versions()).To(HaveEach(int64(3)))
			for _, e := range f.engines {
				for _, o := range e.Orders() {
					if o.Holder != fmt.Sprintf("i%d", stopping+1) {
						f.Expect(o.At.Sub(ordered)).To(BeNumerically(">=", leaseTime), "holders take turns too soon")
					}
				}
			}
		})
	})

	It("are not ordered by a lease holder that was suspended, until it holds the lease again", func() {
		withFleet(func(f *fleet) {
			f.suspend(time.Minute)
			f.publishWeights(2)
			time.Sleep(2 * time.Second)
			f.Expect(f.versions()).To(HaveEach(int64(1)))
			time.Sleep(takeoverTime + convergeTime)
			f.Expect(f.versions()).To(HaveEach(int64(2)))
		})
	})
})
