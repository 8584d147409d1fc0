package dispatch_test

import (
	"bufio"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// addDyingEndpoint adds an endpoint that answers its first request and closes
// the connection on any later one without answering. If a later request reuses
// the first one's connection, net/http by itself would resend it.
func (env *testEnv) addDyingEndpoint(taken *atomic.Int64) {
	e := service
	e.ID, e.Address, e.State = "e", env.address(), hbs.StateLive
	env.placer.endpoints = append(env.placer.endpoints, e)
	l, err := env.fabric.Network("a").Listen(e.Address)
	env.Expect(err).NotTo(HaveOccurred())
	env.wg.Go(func() {
		<-env.ctx.Done()
		_ = l.Close()
	})
	env.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			env.wg.Go(func() {
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

var _ = Describe("a request of ClassOnce", func() {
	DescribeTable("is sent only once if its connection breaks (attempt rule 1)",
		func(method, body string) {
			runInEnv(func(env *testEnv) {
				var taken atomic.Int64
				env.addDyingEndpoint(&taken)
				s := &sink{}
				outcome, err := env.d.Serve(env.ctx, serviceRequest(hbs.ClassOnce, method, body), &gate{}, s)
				env.Expect(err).NotTo(HaveOccurred())
				env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
				g := &gate{}
				outcome, err = env.d.Serve(env.ctx, serviceRequest(hbs.ClassOnce, method, body), g, &sink{})
				env.Expect(err).To(HaveOccurred())
				env.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
				env.Expect(g.opened).To(Equal(1))
				env.Expect(taken.Load()).To(BeEquivalentTo(2))
			})
		},
		Entry("POST with a key", "POST", "charge"),
		Entry("POST without a body", "POST", ""),
		Entry("GET", "GET", ""),
		Entry("PUT", "PUT", "charge"),
		Entry("DELETE", "DELETE", ""),
	)

	It("opens its gate only once connected, and tries another endpoint if it can't connect (attempt rule 2)", func() {
		runInEnv(func(env *testEnv) {
			dead := service
			dead.ID, dead.Address = "dead", env.address()
			env.placer.endpoints = append(env.placer.endpoints, dead)
			var ran atomic.Int64
			env.addEndpoint(service, func(rw http.ResponseWriter, _ *http.Request) { ran.Add(1); _, _ = rw.Write([]byte("ok")) })
			g := &gate{}
			outcome, err := env.d.Serve(env.ctx, serviceRequest(hbs.ClassOnce, "POST", "x"), g, &sink{})
			env.Expect(err).NotTo(HaveOccurred())
			env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			env.Expect(g.opened).To(Equal(1))
			env.Expect(ran.Load()).To(BeEquivalentTo(1))
		})
	})

	It("is not run if its gate refuses", func() {
		runInEnv(func(env *testEnv) {
			var ran atomic.Int64
			env.addEndpoint(service, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
			refusal := hbs.NotRun(hbs.ReasonNoPlatform, "", 0)
			outcome, err := env.d.Serve(env.ctx, serviceRequest(hbs.ClassOnce, "POST", "x"), &gate{err: refusal}, &sink{})
			env.Expect(err).To(MatchError(refusal))
			env.Expect(outcome).To(Equal(hbs.OutcomeNotRun))
			env.Expect(ran.Load()).To(BeZero())
			env.Expect(env.placer.results).To(HaveLen(1))
			env.Expect(env.placer.results[0].End).To(Equal(hbs.EndCanceled), "the result must not count against the endpoint")
		})
	})

	It("gets the endpoint's error response unchanged and is not retried", func() {
		runInEnv(func(env *testEnv) {
			var ran atomic.Int64
			fail := func(rw http.ResponseWriter, _ *http.Request) {
				ran.Add(1)
				rw.WriteHeader(503)
				_, _ = rw.Write([]byte("endpoint error"))
			}
			env.addEndpoint(service, fail)
			env.addEndpoint(service, fail)
			s := &sink{}
			outcome, err := env.d.Serve(env.ctx, serviceRequest(hbs.ClassOnce, "POST", "x"), &gate{}, s)
			env.Expect(err).NotTo(HaveOccurred())
			env.Expect(outcome).To(Equal(hbs.OutcomeFailed))
			env.Expect(s.status).To(Equal(503))
			env.Expect(s.body.String()).To(Equal("endpoint error"))
			env.Expect(ran.Load()).To(BeEquivalentTo(1))
		})
	})
})
