package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// recoveryTime is the time after a restart of all instances within which they
// serve requests.
const recoveryTime = 12 * time.Second

// hostMoved is the host of an endpoint that restarts at another address.
const hostMoved = 40

// successor returns a restarted e, with the same ID and address and a later
// start time.
func (f *fleet) successor(e *pool.Endpoint) *pool.Endpoint {
	return &pool.Endpoint{
		ID: e.ID, Service: e.Service, Domain: e.Domain, Model: e.Model, Address: e.Address, Network: e.Network,
		Work: e.Work, Gap: e.Gap, Events: e.Events, Load: e.Load, Started: e.Started + 1,
	}
}

// restart ends all the given instances and then starts them again.
func (f *fleet) restart(instances ...int) {
	for _, i := range instances {
		f.cancel[i]()
		<-f.results[i]
	}
	for _, i := range instances {
		f.startInstance(i)
	}
}

var _ = Describe("an endpoint that restarts", func() {
	It("gets no requests meant for another one that had the same address", func() {
		withFleet(func(f *fleet) {
			stopped := f.services[0]
			f.stop(stopped)
			// The record stays, so the instances don't know that the endpoint ended.
			other := f.successor(stopped)
			other.ID, other.Service = "e9", "another"
			f.serve(other)
			for range 6 {
				a := f.send(call{path: "/read/x", method: http.MethodGet})
				f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			}
			f.Expect(other.Runs()).To(BeEmpty())
		})
	})

	It("is polled for cache events at its new address", func() {
		withFleet(func(f *fleet) {
			moved := f.successor(f.engines[0])
			f.stop(f.engines[0])
			moved.Address = address(hostMoved, 80)
			f.engines[0] = moved
			f.serve(moved)
			f.register(moved)
			time.Sleep(2 * time.Second)
			f.fail(f.engines[1:], pool.Faults{Shed: true})
			c := streamCall(0)
			c.path = "/stream-retried/x"
			f.Expect(f.send(c).status).To(Equal(http.StatusOK))
			f.Expect(moved.Runs()).To(HaveLen(1))
			time.Sleep(3 * time.Second)
			f.fail(f.engines[1:], pool.Faults{})
			f.fail(f.engines[:1], pool.Faults{Shed: true})
			f.Expect(f.send(streamCall(1)).status).To(Equal(http.StatusOK))
			all := allRuns(f.engines[1:])
			f.Expect(all).To(HaveLen(1))
			f.Expect(all[0].Header.Get("X-Kv-Fetch")).To(Equal(moved.Address.String()))
		})
	})
})

var _ = Describe("instances that restart", func() {
	It("serve from the data in the store, even if all ended at the same time", func() {
		withFleet(func(f *fleet) {
			f.publishRoutes(2, "second")
			f.restart(0, 1)
			time.Sleep(recoveryTime)
			for i := range f.instances {
				f.Expect(f.send(call{i: i, path: "/write/x", key: "second"}).status).To(Equal(http.StatusOK))
				c := streamCall(i)
				c.key = "second"
				f.Expect(f.send(c).body).To(Equal(wholeStream()))
			}
			f.Expect(f.send(call{path: "/write/x"}).status).To(Equal(http.StatusUnauthorized))
		})
	})

	It("send nothing to engines whose weights are overdue for replacement", func() {
		withFleet(func(f *fleet) {
			old := f.engines[:2]
			f.fail(old, pool.Faults{Busy: true})
			f.publishWeights(2)
			time.Sleep(convergeTime)
			f.restart(0)
			// Longer than an engine counts as changing its weights, shorter than
			// convergeTime.
			time.Sleep(10 * time.Second)
			before := len(allRuns(old))
			for i := range 12 {
				// Prompts without a common prefix, so that every engine could get some.
				c := streamCall(0)
				c.header["X-Prefix-Hash"] = fmt.Sprintf("a%d:300", i)
				a := f.send(c)
				f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			}
			f.Expect(allRuns(old)).To(HaveLen(before))
		})
	})
})
