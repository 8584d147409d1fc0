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
	It("keep the load on the rest within 1.1 when a third of the endpoints fail (retry rule 4)", func() {
		inWorld(func(w *world) {
			const requests = 3000
			w.placer.rotate = true
			var rest atomic.Int64
			for i := range 6 {
				w.serve(service, func(rw http.ResponseWriter, _ *http.Request) {
					if i%3 == 0 {
						rw.WriteHeader(500)
						return
					}
					rest.Add(1)
					_, _ = rw.Write([]byte("ok"))
				})
			}
			// The placer goes on sending a third to the failing endpoints.
			failed := 0
			for range requests {
				outcome, _ := w.d.Serve(w.ctx, call(hbs.ClassRepeatable, "GET", ""), nil, &sink{})
				if outcome == hbs.OutcomeFailed {
					failed++
				}
			}
			first := requests * 2 / 3
			w.Expect(float64(rest.Load()) / float64(first)).To(BeNumerically("<=", 1.1))
			w.Expect(w.count("retry_denied")).To(BeNumerically(">", 0))
			w.Expect(failed).To(BeNumerically("<", requests/3), "some retries helped")
		})
	})

	It("keep the load on the rest within 1.1 when a third fail and others are slow (hedge rule 3)", func() {
		inWorld(func(w *world) {
			const requests = 3000
			w.placer.rotate = true
			w.placer.tail = 200 * time.Millisecond
			var rest atomic.Int64
			for i := range 6 {
				w.serve(service, func(rw http.ResponseWriter, _ *http.Request) {
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
				_, _ = w.d.Serve(w.ctx, call(hbs.ClassRepeatable, "GET", ""), nil, &sink{})
			}
			w.Expect(w.count("hedge_sent")).To(BeNumerically(">", 0))
			w.Expect(float64(rest.Load()) / float64(requests*2/3)).To(BeNumerically("<=", 1.1))
		})
	})

	It("stop retries when all endpoints fail", func() {
		inWorld(func(w *world) {
			w.placer.rotate = true
			var taken atomic.Int64
			for range 3 {
				w.serve(service, func(rw http.ResponseWriter, _ *http.Request) {
					taken.Add(1)
					rw.WriteHeader(500)
				})
			}
			for range 500 {
				_, _ = w.d.Serve(w.ctx, call(hbs.ClassRepeatable, "GET", ""), nil, &sink{})
			}
			w.Expect(taken.Load()).To(BeNumerically("<=", 505))
		})
	})

	It("hedge past the tail only, and cancel the loser (hedge rules 2, 3, 5)", func() {
		inWorld(func(w *world) {
			w.placer.tail = 300 * time.Millisecond
			var canceled atomic.Int64
			w.serve(service, func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				canceled.Add(1)
			})
			w.serve(service, func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok")) })
			began := time.Now()
			s := &sink{}
			outcome, err := w.d.Serve(w.ctx, call(hbs.ClassRepeatable, "GET", ""), nil, s)
			w.Expect(err).NotTo(HaveOccurred())
			w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			w.Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
			w.Expect(s.body.String()).To(Equal("ok"))
			time.Sleep(time.Millisecond)
			w.Expect(canceled.Load()).To(BeEquivalentTo(1))
			w.Expect(w.count("hedge_won")).To(BeEquivalentTo(1))
			w.Expect(w.count("hedge_lost_milliseconds")).To(BeNumerically("~", 300, 10))
		})
	})

	DescribeTable("keep half of the hedges for slow endpoints, and hedge those past the ordinary tail (hedge rule 8)",
		func(slowness float64, hedges int, after time.Duration) {
			inWorld(func(w *world) {
				w.placer.tail = 600 * time.Millisecond
				w.placer.slowness = map[hbs.EndpointID]float64{"e1": slowness}
				began := time.Now()
				var first atomic.Int64
				w.serve(service, func(rw http.ResponseWriter, _ *http.Request) {
					time.Sleep(3 * time.Second)
					_, _ = rw.Write([]byte("ok"))
				})
				w.serve(service, func(rw http.ResponseWriter, _ *http.Request) {
					first.CompareAndSwap(0, int64(time.Since(began)))
					_, _ = rw.Write([]byte("ok"))
				})
				for range 20 {
					w.wg.Go(func() { _, _ = w.d.Serve(w.ctx, call(hbs.ClassRepeatable, "GET", ""), nil, &sink{}) })
				}
				time.Sleep(time.Second)
				w.Expect(w.count("hedge_sent")).To(BeEquivalentTo(hedges))
				w.Expect(w.count("hedge_denied")).To(BeEquivalentTo(20 - hedges))
				w.Expect(time.Duration(first.Load())).To(BeNumerically("~", after, 10*time.Millisecond))
				time.Sleep(5 * time.Second)
			})
		},
		Entry("at an ordinary one", 1.0, 5, 600*time.Millisecond),
		Entry("at a slow one", 3.0, 8, 200*time.Millisecond),
	)

	It("hedge once the endpoint is found slow, after a refusal (hedge rule 8)", func() {
		inWorld(func(w *world) {
			w.placer.tail = 200 * time.Millisecond
			w.serve(service, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			w.serve(service, func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok")) })
			for range 20 {
				w.wg.Go(func() { _, _ = w.d.Serve(w.ctx, call(hbs.ClassRepeatable, "GET", ""), nil, &sink{}) })
			}
			time.Sleep(time.Second)
			before := w.count("hedge_sent")
			w.placer.mu.Lock()
			w.placer.slowness = map[hbs.EndpointID]float64{"e1": 4}
			w.placer.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			w.Expect(w.count("hedge_sent")).To(BeNumerically(">", before))
		})
	})

	It("never hedge what computes for long (hedge rule 6)", func() {
		inWorld(func(w *world) {
			w.placer.tail, w.placer.first = 10*time.Millisecond, time.Second
			var taken atomic.Int64
			slow := func(rw http.ResponseWriter, _ *http.Request) {
				taken.Add(1)
				time.Sleep(3 * time.Second)
				_, _ = rw.Write([]byte("ok"))
			}
			w.serve(service, slow)
			w.serve(service, slow)
			outcome, _ := w.d.Serve(w.ctx, call(hbs.ClassRepeatable, "GET", ""), nil, &sink{})
			w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			w.Expect(taken.Load()).To(BeEquivalentTo(1))
		})
	})

	It("never hedge a once request", func() {
		inWorld(func(w *world) {
			w.placer.tail = 10 * time.Millisecond
			var taken atomic.Int64
			slow := func(rw http.ResponseWriter, _ *http.Request) {
				taken.Add(1)
				time.Sleep(3 * time.Second)
				_, _ = rw.Write([]byte("ok"))
			}
			w.serve(service, slow)
			w.serve(service, slow)
			outcome, _ := w.d.Serve(w.ctx, call(hbs.ClassOnce, "POST", "x"), &gate{}, &sink{})
			w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			w.Expect(taken.Load()).To(BeEquivalentTo(1))
		})
	})
})
