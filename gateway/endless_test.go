package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/endless"
	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// receipt is a header line of responses that count as an endpoint's own.
const receipt = "X-Instance-Stamp: s\r\n"

// Endpoints that answer everything, also orders and polls, with bytes that never end,
// while the others go on.
var _ = Describe("endpoints whose responses never end", func() {
	// responses are those of an engine and of a plain service.
	responses := map[string]endless.Response{
		"headers": endless.HeaderLines, "no response": endless.NoHTTP,
		"bodies": endless.Body("200 OK", receipt+"Content-Type: text/event-stream\r\n", "x"),
		"errors": endless.Body("500 Internal Server Error", "", "x"), "switched protocols": endless.Switched(receipt),
	}

	It("don't keep callers from the other endpoints", func() {
		for name, r := range responses {
			for _, rate := range []endless.Rate{endless.Fast, endless.Drips} {
				withFleet(func(f *fleet) {
					faults := pool.Faults{Endless: &r, EndlessRate: rate}
					f.engines[0].Fail(faults)
					f.services[0].Fail(faults)
					answered, total := 0, 40
					for n := range total {
						c := call{path: "/read/x", method: http.MethodGet}
						if n%2 == 0 {
							c = streamCall(0)
						}
						c.i, c.id = n%2, strconv.Itoa(n)
						if a := f.send(c); a.err == nil && a.status == http.StatusOK {
							answered++
						}
					}
					// A bad endpoint may cost each instance a few requests until it is paused.
					f.Expect(answered).To(BeNumerically(">=", total*3/4), name+", "+rate.Interval.String())
				})
			}
		}
	})

	// Guards against a read that nothing ends after an unasked switch of protocols
	// (CONFIG): callers got no answer, and the process didn't stop.
	It("are given up and let the instance stop if they switch protocols", func() {
		withFleet(func(f *fleet) {
			r := endless.Switched(receipt)
			f.fail(slices.Concat(f.engines, f.services), pool.Faults{Endless: &r, EndlessRate: endless.Drips})
			const timeout = time.Second
			f.publishRoutesWithTimeout(2, timeout, goodKey)
			time.Sleep(settleTime)
			for _, path := range []string{"/read/x", "/write/x"} {
				begun := time.Now()
				a := f.send(call{path: path, disconnectAfter: 20 * timeout})
				f.Expect(a.err).NotTo(HaveOccurred())
				f.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
				f.Expect(a.body).To(ContainSubstring("unknown"))
				f.Expect(time.Since(begun)).To(BeNumerically("<=", timeout))
			}
			f.instances[0].Stop()
			f.Eventually(f.results[0], graceTime).Should(Receive(BeNil()))
		})
	})

	It("end a request without a deadline", func() {
		withFleet(func(f *fleet) {
			r := endless.Body("200 OK", receipt, "x")
			f.fail(f.services, pool.Faults{Endless: &r, EndlessRate: endless.Drips})
			f.publishRoutesWithTimeout(2, 0, goodKey)
			time.Sleep(settleTime)
			begun := time.Now()
			a := f.send(call{path: "/write/x", header: map[string]string{"X-Deadline-Ms": ""}})
			f.Expect(a.status).NotTo(Equal(http.StatusOK))
			f.Expect(time.Since(begun)).To(BeNumerically("<", time.Hour))
		})
	})
})
