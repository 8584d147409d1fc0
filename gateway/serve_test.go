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
	It("passes a request and its stream on, with headers of its own alone", func() {
		in(func(f *fleet) {
			a := f.do(talk(0))
			f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			f.Expect(a.body).To(Equal(pieces()))
			f.Expect(a.header.Get("X-Instance-Stamp")).NotTo(BeEmpty())
			all := runs(f.engines)
			f.Expect(all).To(HaveLen(1))
			f.Expect(all[0].Path).To(Equal("/talk/x?q=1"))
			f.Expect(all[0].Body).To(Equal("prompt"))
			h := all[0].Header
			f.Expect(h.Get("X-Tenant")).To(Equal("w"))
			f.Expect(h.Get("X-Cache-Salt")).To(Equal("w/1"))
			f.Expect(h.Get("X-Expect-Version")).To(Equal("1"))
			f.Expect(h).NotTo(HaveKey("Api-Key"))
			f.Expect(h).NotTo(HaveKey("X-Kv-Hold"))
		})
	})

	It("names the engine from which another one may load a prefix, though a different instance sent it there", func() {
		in(func(f *fleet) {
			f.Expect(f.do(talk(0)).status).To(Equal(http.StatusOK))
			var first *pool.Endpoint
			for _, e := range f.engines {
				if len(e.Runs()) > 0 {
					first = e
				}
			}
			time.Sleep(2 * time.Second)
			first.Fail(pool.Faults{Shed: true})
			f.Expect(f.do(talk(1)).status).To(Equal(http.StatusOK))
			all := runs(f.engines)
			f.Expect(all).To(HaveLen(2))
			f.Expect(all[0].Header.Get("X-Kv-Fetch") + all[1].Header.Get("X-Kv-Fetch")).To(Equal(first.Address.String()))
		})
	})

	It("tells operators its counters and times", func() {
		in(func(f *fleet) {
			f.do(talk(0))
			res, err := f.client.Get("http://" + at(1, portReady).String() + "/metrics")
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

	DescribeTable("refuses what may not run, and no endpoint sees it", func(c call, status int) {
		in(func(f *fleet) {
			a := f.do(c)
			f.Expect(a.status).To(Equal(status), a.body)
			f.Expect(runs(f.engines)).To(BeEmpty())
			f.Expect(runs(f.services)).To(BeEmpty())
		})
	},
		Entry("an unknown key", call{path: "/book/x", key: "other"}, http.StatusUnauthorized),
		Entry("an unknown path", call{path: "/none/x"}, http.StatusNotFound),
		Entry("a prompt that can't be read", call{path: "/talk/x", header: map[string]string{"X-Prefix-Hash": "a1"}}, http.StatusBadRequest),
		Entry("a body over the bound", call{path: "/book/x", body: fmt.Sprintf("%2000d", 1)}, http.StatusRequestEntityTooLarge),
	)

	It("goes on with a broken stream at another endpoint, without a gap or a repeat", func() {
		in(func(f *fleet) {
			// Whichever engine is first cuts; the second attempt finds no fault.
			f.cutFirst(func() { f.fail(f.engines, pool.Faults{}) })
			a := f.do(talk(0))
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(pieces()))
			all := runs(f.engines)
			f.Expect(all).To(HaveLen(2))
			f.Expect(all[0].After + all[1].After).To(Equal(3))
		})
	})

	It("goes on after the last event though engines in between refuse", func() {
		in(func(f *fleet) {
			f.cutFirst(func() {
				// Two of the three others refuse, so that one attempt in between does
				// but for the luck of the draw.
				shed := 0
				for _, e := range f.engines {
					e.Fail(pool.Faults{Shed: len(e.Runs()) == 0 && shed < 2})
					if len(e.Runs()) == 0 {
						shed++
					}
				}
			})
			c := talk(0)
			c.path = "/tell/x"
			a := f.do(c)
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(pieces()))
		})
	})

	It("breaks a stream off that can't go on, and never ends it as whole", func() {
		in(func(f *fleet) {
			f.fail(f.engines, pool.Faults{Cut: 3})
			c := talk(0)
			c.path = "/once/x"
			a := f.do(c)
			f.Expect(a.err).To(HaveOccurred())
			f.Expect(runs(f.engines)).To(HaveLen(1))
		})
	})

	It("sends what may run once a single time, and does not call it not run when its answer is lost", func() {
		in(func(f *fleet) {
			f.fail(f.services, pool.Faults{Lose: true})
			a := f.do(call{path: "/book/x"})
			f.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
			f.Expect(a.header.Get("X-Outcome")).To(Equal("unknown"))
			f.Expect(runs(f.services)).To(HaveLen(1))
		})
	})

	It("repeats what may be repeated when an answer is lost", func() {
		in(func(f *fleet) {
			f.fail(f.services[:1], pool.Faults{Lose: true})
			for range 4 {
				a := f.do(call{path: "/look/x", method: http.MethodGet})
				f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			}
		})
	})

	It("tells when to come back where nothing ran", func() {
		in(func(f *fleet) {
			f.fail(f.services, pool.Faults{Shed: true})
			a := f.do(call{path: "/book/x"})
			f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
			f.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			f.Expect(a.header.Get("X-Outcome")).To(Equal("not_run"))
			f.Expect(runs(f.services)).To(BeEmpty())
		})
	})

	It("drops an answer to another request", func() {
		in(func(f *fleet) {
			f.fail(f.services, pool.Faults{Cross: true})
			a := f.do(call{path: "/book/x"})
			f.Expect(a.status).To(Equal(http.StatusBadGateway))
			f.Expect(a.body).NotTo(ContainSubstring("of-another"))
		})
	})

	It("stops the endpoint's work when the caller leaves", func() {
		in(func(f *fleet) {
			for _, e := range f.engines {
				e.Work = 3 * time.Second
			}
			c := talk(0)
			c.leaveAfter = time.Second
			f.Expect(f.do(c).err).To(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
			canceled := 0
			for _, e := range f.engines {
				canceled += e.Canceled()
			}
			f.Expect(canceled).To(Equal(1))
		})
	})

	It("ends a request at its route's time", func() {
		in(func(f *fleet) {
			for _, e := range f.services {
				e.Work = time.Minute
			}
			begun := time.Now()
			a := f.do(call{path: "/book/x", header: map[string]string{"X-Deadline-Ms": "60000"}})
			f.Expect(a.status).To(Equal(http.StatusGatewayTimeout), a.body)
			f.Expect(time.Since(begun)).To(BeNumerically("~", 5*time.Second, 100*time.Millisecond))
		})
	})

	It("gives a leaving endpoint and one whose record is gone no new work", func() {
		in(func(f *fleet) {
			f.services[0].Leave()
			time.Sleep(settled)
			f.do(call{path: "/book/x"})
			f.store.Remove(platform.KindServers, string(f.services[1].ID))
			time.Sleep(settled)
			a := f.do(call{path: "/book/x"})
			f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			f.Expect(f.services[0].Runs()).To(BeEmpty())
			f.Expect(f.services[1].Runs()).To(HaveLen(1))
		})
	})

	It("keeps to the other records when one can't be read", func() {
		in(func(f *fleet) {
			f.Expect(f.store.Put(platform.KindServers, "foreign", map[string]any{"service": 7, "state": "odd"})).To(Succeed())
			f.Expect(f.store.Put(platform.KindServers, string(f.services[0].ID), "no record")).To(Succeed())
			time.Sleep(settled)
			f.Expect(f.do(call{path: "/book/x"}).status).To(Equal(http.StatusOK))
			f.Expect(f.services[0].Runs()).To(BeEmpty())
		})
	})
})

var _ = Describe("a planned stop", func() {
	It("is told first, serves on, lets running requests end and ends in time", func() {
		in(func(f *fleet) {
			for _, e := range f.engines {
				e.Gap = 500 * time.Millisecond
			}
			answers := make(chan answer, 1)
			f.wg.Go(func() { answers <- f.do(talk(0)) })
			time.Sleep(settled)
			begun := time.Now()
			f.instances[0].Stop()
			time.Sleep(time.Second)
			res, err := f.client.Get("http://" + at(1, portReady).String() + platform.ReadyPath)
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(res.Body.Close()).To(Succeed())
			f.Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
			late := f.do(call{path: "/book/x", id: "late"})
			f.Expect(late.status).To(Equal(http.StatusOK), "until the platform sends no more")
			f.Expect(late.closes).To(BeTrue())
			a := <-answers
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(pieces()))
			f.Expect(<-f.ended[0]).To(Succeed())
			f.Expect(time.Since(begun)).To(BeNumerically("<", grace))
		})
	})
})
