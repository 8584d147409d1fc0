package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

var _ = Describe("an instance on a hosting platform", func() {
	It("forwards a request and its stream, and replaces internal headers sent by the caller", func() {
		withFleet(func(f *fleet) {
			a := f.send(streamCall(0))
			f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			f.Expect(a.body).To(Equal(wholeStream()))
			f.Expect(a.header.Get("X-Instance-Stamp")).NotTo(BeEmpty())
			all := allRuns(f.engines)
			f.Expect(all).To(HaveLen(1))
			f.Expect(all[0].Path).To(Equal("/stream/x?q=1"))
			f.Expect(all[0].Body).To(Equal("prompt"))
			h := all[0].Header
			f.Expect(h.Get("X-Tenant")).To(Equal("w"))
			f.Expect(h.Get("X-Cache-Salt")).To(Equal("w/1"))
			f.Expect(h.Get("X-Expect-Version")).To(Equal("1"))
			f.Expect(h).NotTo(HaveKey("Api-Key"))
			f.Expect(h).NotTo(HaveKey("X-Kv-Hold"))
		})
	})

	It("names the engine from which another one may load a prefix, even if another instance sent the prefix there", func() {
		withFleet(func(f *fleet) {
			f.Expect(f.send(streamCall(0)).status).To(Equal(http.StatusOK))
			var first *pool.Endpoint
			for _, e := range f.engines {
				if len(e.Runs()) > 0 {
					first = e
				}
			}
			time.Sleep(2 * time.Second)
			first.Fail(pool.Faults{Shed: true})
			f.Expect(f.send(streamCall(1)).status).To(Equal(http.StatusOK))
			all := allRuns(f.engines)
			f.Expect(all).To(HaveLen(2))
			f.Expect(all[0].Header.Get("X-Kv-Fetch") + all[1].Header.Get("X-Kv-Fetch")).To(Equal(first.Address.String()))
		})
	})

	It("exposes its counters and durations as metrics", func() {
		withFleet(func(f *fleet) {
			f.send(streamCall(0))
			res, err := f.client.Get("http://" + address(1, portReady).String() + "/metrics")
			f.Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			text, err := io.ReadAll(res.Body)
			f.Expect(err).NotTo(HaveOccurred())
			for _, line := range []string{"hornbeamstage_gateway_requests 1", "hornbeamstage_gateway_outcome_answered 1",
				"hornbeamstage_gateway_first_write_microseconds_count 1", `hornbeamstage_gateway_request_microseconds{quantile="0.99"}`} {
				f.Expect(string(text)).To(ContainSubstring(line))
			}
		})
	})

	DescribeTable("refuses an invalid request without sending it to an endpoint", func(c call, status int) {
		withFleet(func(f *fleet) {
			a := f.send(c)
			f.Expect(a.status).To(Equal(status), a.body)
			f.Expect(allRuns(f.engines)).To(BeEmpty())
			f.Expect(allRuns(f.services)).To(BeEmpty())
		})
	},
		Entry("an unknown key", call{path: "/write/x", key: "other"}, http.StatusUnauthorized),
		Entry("an unknown path", call{path: "/none/x"}, http.StatusNotFound),
		Entry("a prompt header that can't be decoded", call{path: "/stream/x", header: map[string]string{"X-Prefix-Hash": "a1"}}, http.StatusBadRequest),
		Entry("a body above the limit", call{path: "/write/x", body: fmt.Sprintf("%2000d", 1)}, http.StatusRequestEntityTooLarge),
	)

	It("resumes a broken stream at another endpoint, without missing or repeated events", func() {
		withFleet(func(f *fleet) {
			// Whichever engine gets the first attempt cuts its stream; the second
			// attempt doesn't fail.
			f.cutFirstStream(func() { f.fail(f.engines, pool.Faults{}) })
			a := f.send(streamCall(0))
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(wholeStream()))
			all := allRuns(f.engines)
			f.Expect(all).To(HaveLen(2))
			f.Expect(all[0].After + all[1].After).To(Equal(3))
		})
	})

	It("resumes after the last event even if engines refuse in between", func() {
		withFleet(func(f *fleet) {
			f.cutFirstStream(func() {
				// Two of the three other engines refuse, so that in most orders an
				// attempt is refused before one succeeds.
				shed := 0
				for _, e := range f.engines {
					e.Fail(pool.Faults{Shed: len(e.Runs()) == 0 && shed < 2})
					if len(e.Runs()) == 0 {
						shed++
					}
				}
			})
			c := streamCall(0)
			c.path = "/stream-retried/x"
			a := f.send(c)
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(wholeStream()))
		})
	})

	It("aborts a stream that can't be resumed instead of ending it as if complete", func() {
		withFleet(func(f *fleet) {
			f.fail(f.engines, pool.Faults{CutAfterEvents: 3})
			c := streamCall(0)
			c.path = "/stream-once/x"
			a := f.send(c)
			f.Expect(a.err).To(HaveOccurred())
			f.Expect(allRuns(f.engines)).To(HaveLen(1))
		})
	})

	It("sends a non-idempotent request only once, and reports an unknown outcome if its response is lost", func() {
		withFleet(func(f *fleet) {
			f.fail(f.services, pool.Faults{DropAnswer: true})
			a := f.send(call{path: "/write/x"})
			f.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
			f.Expect(a.header.Get("X-Outcome")).To(Equal("unknown"))
			f.Expect(allRuns(f.services)).To(HaveLen(1))
		})
	})

	It("retries an idempotent request if its response is lost", func() {
		withFleet(func(f *fleet) {
			f.fail(f.services[:1], pool.Faults{DropAnswer: true})
			for range 4 {
				a := f.send(call{path: "/read/x", method: http.MethodGet})
				f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			}
		})
	})

	It("sets Retry-After if the request was not run", func() {
		withFleet(func(f *fleet) {
			f.fail(f.services, pool.Faults{Shed: true})
			a := f.send(call{path: "/write/x"})
			f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
			f.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			f.Expect(a.header.Get("X-Outcome")).To(Equal("not_run"))
			f.Expect(allRuns(f.services)).To(BeEmpty())
		})
	})

	It("discards a response that belongs to another request", func() {
		withFleet(func(f *fleet) {
			f.fail(f.services, pool.Faults{Cross: true})
			a := f.send(call{path: "/write/x"})
			f.Expect(a.status).To(Equal(http.StatusBadGateway))
			f.Expect(a.body).NotTo(ContainSubstring("of-another"))
		})
	})

	It("cancels the endpoint's work when the caller disconnects", func() {
		withFleet(func(f *fleet) {
			for _, e := range f.engines {
				e.Work = 3 * time.Second
			}
			c := streamCall(0)
			c.disconnectAfter = time.Second
			f.Expect(f.send(c).err).To(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
			canceled := 0
			for _, e := range f.engines {
				canceled += e.Canceled()
			}
			f.Expect(canceled).To(Equal(1))
		})
	})

	It("ends a request at its route's timeout", func() {
		withFleet(func(f *fleet) {
			for _, e := range f.services {
				e.Work = time.Minute
			}
			begun := time.Now()
			a := f.send(call{path: "/write/x", header: map[string]string{"X-Deadline-Ms": "60000"}})
			f.Expect(a.status).To(Equal(http.StatusGatewayTimeout), a.body)
			f.Expect(time.Since(begun)).To(BeNumerically("~", 5*time.Second, 100*time.Millisecond))
		})
	})

	It("sends no new requests to an endpoint that is leaving or whose record was removed", func() {
		withFleet(func(f *fleet) {
			f.services[0].Drain()
			time.Sleep(settleTime)
			f.send(call{path: "/write/x"})
			f.store.Remove(platform.KindEndpoints, string(f.services[1].ID))
			time.Sleep(settleTime)
			a := f.send(call{path: "/write/x"})
			f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			f.Expect(f.services[0].Runs()).To(BeEmpty())
			f.Expect(f.services[1].Runs()).To(HaveLen(1))
		})
	})

	It("uses the other records if one can't be decoded", func() {
		withFleet(func(f *fleet) {
			f.Expect(f.store.Put(platform.KindEndpoints, "foreign", map[string]any{"service": 7, "state": "odd"})).To(Succeed())
			f.Expect(f.store.Put(platform.KindEndpoints, string(f.services[0].ID), "no record")).To(Succeed())
			time.Sleep(settleTime)
			f.Expect(f.send(call{path: "/write/x"}).status).To(Equal(http.StatusOK))
			f.Expect(f.services[0].Runs()).To(BeEmpty())
		})
	})
})

var _ = Describe("a graceful shutdown", func() {
	It("reports not ready, still serves new requests, completes running ones and ends within the grace time", func() {
		withFleet(func(f *fleet) {
			for _, e := range f.engines {
				e.Gap = 500 * time.Millisecond
			}
			answers := make(chan response, 1)
			f.wg.Go(func() { answers <- f.send(streamCall(0)) })
			time.Sleep(settleTime)
			begun := time.Now()
			f.instances[0].Stop()
			time.Sleep(time.Second)
			res, err := f.client.Get("http://" + address(1, portReady).String() + platform.ReadyPath)
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(res.Body.Close()).To(Succeed())
			f.Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
			late := f.send(call{path: "/write/x", id: "late"})
			f.Expect(late.status).To(Equal(http.StatusOK), "requests are served until the platform sends no more")
			f.Expect(late.closes).To(BeTrue())
			a := <-answers
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(wholeStream()))
			f.Expect(<-f.results[0]).To(Succeed())
			f.Expect(time.Since(begun)).To(BeNumerically("<", graceTime))
		})
	})
})
