package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// The operators' bound on what an endpoint gets from an instance that it has answered 503
// with Retry-After: from pauseSlack later to the end of that time, at most pauseRequests.
const (
	pauseSlack    = 500 * time.Millisecond
	pauseRequests = 2
)

// Guards against requests that an endpoint gets in the time for which it wants none
// (BUDGET): Retry-After was not read.
var _ = Describe("an endpoint that refuses with Retry-After", func() {
	DescribeTable("gets no more than a few requests until then", func(c func(i int) call) {
		withFleet(func(f *fleet) {
			paused := f.endpointsOf(c(0))[0]
			paused.Fail(pool.Faults{Shed: true, RetryAfter: "20"})
			f.sendFor(2*time.Second, 20*time.Millisecond, c)
			time.Sleep(pauseSlack)
			before := paused.Shed()
			f.Expect(before).To(BeNumerically(">", 0))
			f.sendFor(15*time.Second, 50*time.Millisecond, c)
			f.Expect(paused.Shed() - before).To(BeNumerically("<=", pauseRequests*len(f.instances)))
			paused.Fail(pool.Faults{})
			time.Sleep(10 * time.Second)
			f.sendFor(5*time.Second, 20*time.Millisecond, c)
			f.Expect(paused.Runs()).NotTo(BeEmpty(), "it is used again")
		})
	},
		Entry("a plain service", readCall),
		Entry("an engine", streamCall),
	)

	It("has its time prolonged, but not shortened, by later refusals", func() {
		withFleet(func(f *fleet) {
			paused := f.services[0]
			paused.Fail(pool.Faults{Shed: true, RetryAfter: "10"})
			for n := range 4 {
				f.wg.Go(func() {
					next := readCall(0)
					next.id = fmt.Sprint("first", n)
					f.send(next)
				})
			}
			time.Sleep(time.Millisecond)
			paused.Fail(pool.Faults{Shed: true, RetryAfter: "1"})
			f.sendFor(9*time.Second, 20*time.Millisecond, func(int) call { return readCall(0) })
			f.Expect(paused.Shed()).To(BeNumerically("<=", 4+pauseRequests))
		})
	})

	It("and all others of its route do: callers are refused at once, as not run, until the first is back", func() {
		withFleet(func(f *fleet) {
			f.services[0].Fail(pool.Faults{Shed: true, RetryAfter: "9"})
			f.services[1].Fail(pool.Faults{Shed: true, RetryAfter: "30"})
			f.sendEach(4, readCall)
			before := f.services[0].Shed() + f.services[1].Shed()
			for i := range f.instances {
				begun := time.Now()
				a := f.send(readCall(i))
				f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
				f.Expect(a.body).To(ContainSubstring("not_run"))
				after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				f.Expect(err).NotTo(HaveOccurred())
				f.Expect(after).To(And(BeNumerically(">", 5), BeNumerically("<", 12)))
				f.Expect(time.Since(begun)).To(BeNumerically("<", 50*time.Millisecond))
			}
			f.Expect(f.services[0].Shed() + f.services[1].Shed()).To(Equal(before))
			f.fail(f.services, pool.Faults{})
			time.Sleep(12 * time.Second)
			f.Expect(f.send(readCall(0)).status).To(Equal(http.StatusOK))
		})
	})
})
