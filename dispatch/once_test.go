package dispatch_test

import (
	"bufio"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// dyingServer answers the first request on a connection and keeps it open,
// then takes one more request on it and dies: the case in which net/http
// resends. On a connection of its own the second request of all dies likewise.
func (w *world) dyingServer(taken *atomic.Int64) {
	e := service
	e.ID, e.Address, e.State = "e", w.address(), hbs.StateLive
	w.placer.endpoints = append(w.placer.endpoints, e)
	l, err := w.fabric.Network("a").Listen(e.Address)
	w.Expect(err).NotTo(HaveOccurred())
	w.wg.Go(func() {
		<-w.ctx.Done()
		_ = l.Close()
	})
	w.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w.wg.Go(func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					if taken.Add(1) > 1 {
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				}
			})
		}
	})
}

var _ = Describe("a once request", func() {
	DescribeTable("is sent one time when its connection dies (attempt rule 1)",
		func(method, body string) {
			inWorld(func(w *world) {
				var taken atomic.Int64
				w.dyingServer(&taken)
				s := &sink{}
				outcome, err := w.d.Serve(w.ctx, call(hbs.ClassOnce, method, body), &gate{}, s)
				w.Expect(err).NotTo(HaveOccurred())
				w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
				g := &gate{}
				outcome, err = w.d.Serve(w.ctx, call(hbs.ClassOnce, method, body), g, &sink{})
				w.Expect(err).To(HaveOccurred())
				w.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
				w.Expect(g.opened).To(Equal(1))
				w.Expect(taken.Load()).To(BeEquivalentTo(2))
			})
		},
		Entry("POST with a key", "POST", "charge"),
		Entry("POST without a body", "POST", ""),
		Entry("GET", "GET", ""),
		Entry("PUT", "PUT", "charge"),
		Entry("DELETE", "DELETE", ""),
	)

	It("passes its gate after the connection stands, and moves on without one (attempt rule 2)", func() {
		inWorld(func(w *world) {
			dead := service
			dead.ID, dead.Address = "dead", w.address()
			w.placer.endpoints = append(w.placer.endpoints, dead)
			var ran atomic.Int64
			w.serve(service, func(rw http.ResponseWriter, _ *http.Request) { ran.Add(1); _, _ = rw.Write([]byte("ok")) })
			g := &gate{}
			outcome, err := w.d.Serve(w.ctx, call(hbs.ClassOnce, "POST", "x"), g, &sink{})
			w.Expect(err).NotTo(HaveOccurred())
			w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			w.Expect(g.opened).To(Equal(1))
			w.Expect(ran.Load()).To(BeEquivalentTo(1))
		})
	})

	It("is not run when its gate stays closed", func() {
		inWorld(func(w *world) {
			var ran atomic.Int64
			w.serve(service, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
			refusal := hbs.NotRun(hbs.ReasonNoPlatform, "", 0)
			outcome, err := w.d.Serve(w.ctx, call(hbs.ClassOnce, "POST", "x"), &gate{err: refusal}, &sink{})
			w.Expect(err).To(MatchError(refusal))
			w.Expect(outcome).To(Equal(hbs.OutcomeNotRun))
			w.Expect(ran.Load()).To(BeZero())
			w.Expect(w.placer.results).To(HaveLen(1))
			w.Expect(w.placer.results[0].End).To(Equal(hbs.EndCanceled), "the endpoint is not to blame")
		})
	})

	It("gets the endpoint's own error as it is, and no second run", func() {
		inWorld(func(w *world) {
			var ran atomic.Int64
			fail := func(rw http.ResponseWriter, _ *http.Request) {
				ran.Add(1)
				rw.WriteHeader(503)
				_, _ = rw.Write([]byte("own words"))
			}
			w.serve(service, fail)
			w.serve(service, fail)
			s := &sink{}
			outcome, err := w.d.Serve(w.ctx, call(hbs.ClassOnce, "POST", "x"), &gate{}, s)
			w.Expect(err).NotTo(HaveOccurred())
			w.Expect(outcome).To(Equal(hbs.OutcomeFailed))
			w.Expect(s.status).To(Equal(503))
			w.Expect(s.body.String()).To(Equal("own words"))
			w.Expect(ran.Load()).To(BeEquivalentTo(1))
		})
	})
})
