package dispatch_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

var _ = Describe("budgets", func() {
	It("limit the load on the remaining endpoints to 1.1 times if a third of them fail (retry rule 4)", func() {
		runInEnv(func(env *testEnv) {
			const requests = 3000
			env.placer.rotate = true
			var rest atomic.Int64
			for i := range 6 {
				env.addEndpoint(service, func(rw http.ResponseWriter, _ *http.Request) {
					if i%3 == 0 {
						rw.WriteHeader(500)
						return
					}
					rest.Add(1)
					_, _ = rw.Write([]byte("ok"))
				})
			}
			// The placer ignores failures and keeps sending a third of the
			// requests to the failing endpoints.
			failed := 0
			for range requests {
				outcome, _ := env.d.Serve(env.ctx, serviceRequest(hbs.ClassRepeatable, "GET", ""), nil, &sink{})
				if outcome == hbs.OutcomeFailed {
					failed++
				}
			}
			first := requests * 2 / 3
			env.Expect(float64(rest.Load()) / float64(first)).To(BeNumerically("<=", 1.1))
			env.Expect(env.count("retry_denied")).To(BeNumerically(">", 0))
			env.Expect(failed).To(BeNumerically("<", requests/3), "some retries must succeed")
		})
	})

	It("limit the load on the remaining endpoints to 1.1 times if a third fail and others are slow (hedge rule 3)", func() {
		runInEnv(func(env *testEnv) {
			const requests = 3000
			env.placer.rotate = true
			env.placer.tail = 200 * time.Millisecond
			var rest atomic.Int64
			for i := range 6 {
				env.addEndpoint(service, func(rw http.ResponseWriter, _ *http.Request) {
					if i%3 == 0 {
						rw.WriteHeader(500)
						return
					}
					if rest.Add(1); i == 1 {
						time.Sleep(300 * time.Millisecond)
					}
					_, _ = rw.Write([]byte("ok"))
				})
			}
			for range requests {
				_, _ = env.d.Serve(env.ctx, serviceRequest(hbs.ClassRepeatable, "GET", ""), nil, &sink{})
			}
			env.Expect(env.count("hedge_sent")).To(BeNumerically(">", 0))
			env.Expect(float64(rest.Load()) / float64(requests*2/3)).To(BeNumerically("<=", 1.1))
		})
	})

	It("stop retries if all endpoints fail", func() {
		runInEnv(func(env *testEnv) {
			env.placer.rotate = true
			var taken atomic.Int64
			for range 3 {
				env.addEndpoint(service, func(rw http.ResponseWriter, _ *http.Request) {
					taken.Add(1)
					rw.WriteHeader(500)
				})
			}
			for range 500 {
				_, _ = env.d.Serve(env.ctx, serviceRequest(hbs.ClassRepeatable, "GET", ""), nil, &sink{})
			}
			env.Expect(taken.Load()).To(BeNumerically("<=", 505))
		})
	})

	It("allow a hedge only past the predicted tail, and the loser is canceled (hedge rules 2, 3, 5)", func() {
		runInEnv(func(env *testEnv) {
			env.placer.tail = 300 * time.Millisecond
			var canceled atomic.Int64
			env.addEndpoint(service, func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				canceled.Add(1)
			})
			env.addEndpoint(service, func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok")) })
			began := time.Now()
			s := &sink{}
			outcome, err := env.d.Serve(env.ctx, serviceRequest(hbs.ClassRepeatable, "GET", ""), nil, s)
			env.Expect(err).NotTo(HaveOccurred())
			env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			env.Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
			env.Expect(s.body.String()).To(Equal("ok"))
			time.Sleep(time.Millisecond)
			env.Expect(canceled.Load()).To(BeEquivalentTo(1))
			env.Expect(env.count("hedge_won")).To(BeEquivalentTo(1))
			env.Expect(env.count("hedge_lost_milliseconds")).To(BeNumerically("~", 300, 10))
		})
	})

	DescribeTable("reserve half of the hedges for slow endpoints, which are hedged past the tail of one of normal speed (hedge rule 8)",
		func(slowness float64, hedges int, after time.Duration) {
			runInEnv(func(env *testEnv) {
				env.placer.tail = 600 * time.Millisecond
				env.placer.slowness = map[hbs.EndpointID]float64{"e1": slowness}
				began := time.Now()
				var first atomic.Int64
				env.addEndpoint(service, func(rw http.ResponseWriter, _ *http.Request) {
					time.Sleep(3 * time.Second)
					_, _ = rw.Write([]byte("ok"))
				})
				env.addEndpoint(service, func(rw http.ResponseWriter, _ *http.Request) {
					first.CompareAndSwap(0, int64(time.Since(began)))
					_, _ = rw.Write([]byte("ok"))
				})
				for range 20 {
					env.wg.Go(func() { _, _ = env.d.Serve(env.ctx, serviceRequest(hbs.ClassRepeatable, "GET", ""), nil, &sink{}) })
				}
				time.Sleep(time.Second)
				env.Expect(env.count("hedge_sent")).To(BeEquivalentTo(hedges))
				env.Expect(env.count("hedge_denied")).To(BeEquivalentTo(20 - hedges))
				env.Expect(time.Duration(first.Load())).To(BeNumerically("~", after, 10*time.Millisecond))
				time.Sleep(5 * time.Second)
			})
		},
		Entry("at an endpoint of normal speed", 1.0, 5, 600*time.Millisecond),
		Entry("at a slow endpoint", 3.0, 8, 200*time.Millisecond),
	)

	It("allow a hedge that was refused once the endpoint is found to be slow (hedge rule 8)", func() {
		runInEnv(func(env *testEnv) {
			env.placer.tail = 200 * time.Millisecond
			env.addEndpoint(service, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			env.addEndpoint(service, func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok")) })
			for range 20 {
				env.wg.Go(func() { _, _ = env.d.Serve(env.ctx, serviceRequest(hbs.ClassRepeatable, "GET", ""), nil, &sink{}) })
			}
			time.Sleep(time.Second)
			before := env.count("hedge_sent")
			env.placer.mu.Lock()
			env.placer.slowness = map[hbs.EndpointID]float64{"e1": 4}
			env.placer.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			env.Expect(env.count("hedge_sent")).To(BeNumerically(">", before))
		})
	})

	It("allow no hedge of a request with a long computation (hedge rule 6)", func() {
		runInEnv(func(env *testEnv) {
			env.placer.tail, env.placer.first = 10*time.Millisecond, time.Second
			var taken atomic.Int64
			slow := func(rw http.ResponseWriter, _ *http.Request) {
				taken.Add(1)
				time.Sleep(3 * time.Second)
				_, _ = rw.Write([]byte("ok"))
			}
			env.addEndpoint(service, slow)
			env.addEndpoint(service, slow)
			outcome, _ := env.d.Serve(env.ctx, serviceRequest(hbs.ClassRepeatable, "GET", ""), nil, &sink{})
			env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			env.Expect(taken.Load()).To(BeEquivalentTo(1))
		})
	})

	It("allow no hedge of a request of ClassOnce", func() {
		runInEnv(func(env *testEnv) {
			env.placer.tail = 10 * time.Millisecond
			var taken atomic.Int64
			slow := func(rw http.ResponseWriter, _ *http.Request) {
				taken.Add(1)
				time.Sleep(3 * time.Second)
				_, _ = rw.Write([]byte("ok"))
			}
			env.addEndpoint(service, slow)
			env.addEndpoint(service, slow)
			outcome, _ := env.d.Serve(env.ctx, serviceRequest(hbs.ClassOnce, "POST", "x"), &gate{}, &sink{})
			env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			env.Expect(taken.Load()).To(BeEquivalentTo(1))
		})
	})
})
