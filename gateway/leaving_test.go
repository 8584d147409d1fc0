package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// sendEach sends n requests to both instances, and returns the statuses.
func (f *fleet) sendEach(n int, c func(i int) call) (statuses []int) {
	for k := range n {
		for i := range f.instances {
			next := c(i)
			next.id = fmt.Sprintf("each%d-%d-%d", time.Now().UnixNano(), k, i)
			if next.header != nil {
				next.header["X-Prefix-Hash"] = fmt.Sprintf("b%d:300", k)
			}
			statuses = append(statuses, f.send(next).status)
		}
	}
	return statuses
}

// Guards against requests to an endpoint after it has said that it leaves (DRAIN).
var _ = Describe("an endpoint that says in its responses that it leaves", func() {
	DescribeTable("gets no further request", func(c func(i int) call, faults pool.Faults) {
		withFleet(func(f *fleet) {
			leaving := f.endpointsOf(c(0))[0]
			faults.Leaving = true
			leaving.Fail(faults)
			f.sendEach(12, c)
			time.Sleep(drainTime)
			before := len(leaving.Runs()) + leaving.Shed()
			f.Expect(before).To(BeNumerically(">", 0))
			f.Expect(f.sendEach(20, c)).To(HaveEach(http.StatusOK))
			f.Expect(len(leaving.Runs()) + leaving.Shed()).To(Equal(before))
		})
	},
		Entry("after a success", readCall, pool.Faults{}),
		Entry("after a refusal", readCall, pool.Faults{Shed: true}),
		Entry("after a stream", streamCall, pool.Faults{}),
		Entry("after an error", readCall, pool.Faults{Answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }}),
	)

	It("gets none after a poll of its cache events said so, while the store is away", func() {
		withFleet(func(f *fleet) {
			f.store.Outage(time.Minute)
			f.engines[0].Fail(pool.Faults{Leaving: true})
			time.Sleep(2 * time.Second)
			f.Expect(f.sendEach(10, streamCall)).To(HaveEach(http.StatusOK))
			f.Expect(f.engines[0].Runs()).To(BeEmpty())
		})
	})

	It("delivers what it already runs, and stays out when its old record is written again", func() {
		withFleet(func(f *fleet) {
			for _, e := range f.engines {
				e.Gap = 300 * time.Millisecond
				e.Fail(pool.Faults{Leaving: true})
			}
			a := f.send(streamCall(0))
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(wholeStream()))
			f.fail(f.engines, pool.Faults{})
			time.Sleep(time.Second)
			for _, e := range f.engines {
				f.register(e)
			}
			time.Sleep(settleTime)
			f.Expect(f.send(streamCall(0)).status).To(Equal(http.StatusServiceUnavailable))
		})
	})

	It("is used again in its next incarnation", func() {
		withFleet(func(f *fleet) {
			old := f.services[0]
			old.Fail(pool.Faults{Leaving: true})
			f.sendEach(6, readCall)
			f.stop(old)
			next := f.successor(old)
			f.services[0] = next
			f.serve(next)
			f.register(next)
			time.Sleep(settleTime)
			f.Expect(f.sendEach(20, readCall)).To(HaveEach(http.StatusOK))
			f.Expect(next.Runs()).NotTo(BeEmpty())
		})
	})
})
