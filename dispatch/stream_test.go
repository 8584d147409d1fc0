package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/hedge"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
)

// whole expects all tokens in sequence, one time each, and the end.
func (w *world) whole(s *sink, tokens int) {
	text := s.body.String()
	at := 0
	for n := range tokens {
		token := engine.Token("b", n)
		w.Expect(strings.Count(text, `"`+token+`"`)).To(Equal(1), token)
		i := strings.Index(text, `"`+token+`"`)
		w.Expect(i).To(BeNumerically(">=", at))
		at = i
	}
	w.Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	w.Expect(text).NotTo(ContainSubstring(`"usage"`), "the caller did not ask for usage")
}

var _ = Describe("a stream", func() {
	It("is resumed at the next event when its connection breaks", func() {
		inWorld(func(w *world) {
			e := w.engine()
			e.Break(1)
			s := &sink{}
			outcome, err := w.d.Serve(w.ctx, chat(20), nil, s)
			w.Expect(err).NotTo(HaveOccurred())
			w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			w.whole(s, 20)
			w.Expect(w.count("attempt_resumes")).To(BeEquivalentTo(1))
			w.Expect(e.Runs()).To(HaveLen(1))
		})
	})

	It("tells its pace while it runs", func() {
		inWorld(func(w *world) {
			e := w.engine()
			e.Slow(5, time.Hour)
			outcome, _ := w.d.Serve(w.ctx, chat(20), nil, &sink{})
			w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			w.Expect(len(w.placer.gaps)).To(BeNumerically(">=", 8))
			for _, gap := range w.placer.gaps {
				w.Expect(gap).To(BeNumerically("~", 150*time.Millisecond, 5*time.Millisecond), "5 steps of 30 ms")
			}
		})
	})

	It("ends in an explicit error when its engine dies in the middle", func() {
		inWorld(func(w *world) {
			e := w.engine()
			w.engine()
			s := &sink{}
			time.AfterFunc(200*time.Millisecond, func() { e.Crash(time.Second) })
			outcome, err := w.d.Serve(w.ctx, chat(20), nil, s)
			w.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
			_, reason := outcomeOf(err)
			w.Expect(reason).To(Equal(hbs.ReasonIncomplete))
			w.Expect(s.body.String()).To(ContainSubstring("event: error\ndata: {\"error\""))
			w.Expect(s.body.String()).NotTo(ContainSubstring("[DONE]"))
		})
	})

	It("is never another request's answer (attempt rule 4)", func() {
		inWorld(func(w *world) {
			e := w.engine()
			w.engine()
			other := chat(100)
			other.Body = []byte(strings.ReplaceAll(string(other.Body), engine.MarkBody("b"), engine.MarkBody("z")))
			w.wg.Go(func() { _, _ = w.d.Serve(w.ctx, other, nil, &sink{}) })
			time.Sleep(100 * time.Millisecond)
			e.Cross(1)
			s := &sink{}
			outcome, err := w.d.Serve(w.ctx, chat(20), nil, s)
			w.Expect(err).NotTo(HaveOccurred())
			w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			w.whole(s, 20)
			w.Expect(s.body.String()).NotTo(ContainSubstring(`"z.`))
			w.Expect(w.count("attempt_crossed")).To(BeEquivalentTo(1))
		})
	})

	It("frees the engine at once when the caller leaves (attempt rule 6)", func() {
		inWorld(func(w *world) {
			e := w.engine()
			ctx, leave := context.WithCancel(w.ctx)
			time.AfterFunc(200*time.Millisecond, leave)
			began := time.Now()
			_, err := w.d.Serve(ctx, chat(1000), nil, &sink{})
			_, reason := outcomeOf(err)
			w.Expect(reason).To(Equal(hbs.ReasonCanceled))
			runs := e.Runs()
			w.Expect(runs).To(HaveLen(1))
			w.Expect(runs[0].End).To(Equal(engine.EndCanceled))
			w.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
			w.Expect(w.placer.results[0].End).To(Equal(hbs.EndCanceled))
		})
	})

	It("ends when the caller's connection fails", func() {
		inWorld(func(w *world) {
			e := w.engine()
			_, err := w.d.Serve(w.ctx, chat(1000), nil, &sink{leaveAt: 3})
			_, reason := outcomeOf(err)
			w.Expect(reason).To(Equal(hbs.ReasonCanceled))
			w.Expect(e.Runs()[0].End).To(Equal(engine.EndCanceled))
		})
	})

	It("is cut at its deadline with an explicit error", func() {
		inWorld(func(w *world) {
			w.engine()
			req := chat(1000)
			req.Deadline = time.Now().Add(time.Second)
			s := &sink{}
			outcome, err := w.d.Serve(w.ctx, req, nil, s)
			_, reason := outcomeOf(err)
			w.Expect(reason).To(Equal(hbs.ReasonExpired))
			w.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
			w.Expect(s.body.String()).To(ContainSubstring(`"code":"deadline_passed"`))
		})
	})

	DescribeTable("goes elsewhere when nothing was sent yet",
		func(h http.HandlerFunc) {
			inWorldWith(policy.With(hedge.KnobOn, 0), func(w *world) {
				bad := hbs.Endpoint{Kind: hbs.KindEngine, Model: "m", Capabilities: hbs.Capabilities{EchoesAttempt: true}}
				w.serve(bad, h)
				w.engine()
				s := &sink{}
				outcome, err := w.d.Serve(w.ctx, chat(5), nil, s)
				w.Expect(err).NotTo(HaveOccurred())
				w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
				w.whole(s, 5)
			})
		},
		Entry("after a broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		Entry("after a stall", func(_ http.ResponseWriter, r *http.Request) {
			// The server notices a closed connection only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}),
		Entry("after an error of the engine", own(500, "boom")),
		Entry("after a refusal", own(503, "not_run")),
		Entry("after other weights", own(409, "weights_mismatch")),
		Entry("without the attempt's id", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Type", "text/event-stream")
			_, _ = rw.Write([]byte("data: {}\n\ndata: [DONE]\n\n"))
		}),
		Entry("after weights that were not asked for", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			rw.Header().Set("X-Weights-Version", "w0")
			rw.Header().Set("Content-Type", "text/event-stream")
			_, _ = rw.Write([]byte("data: {}\n\ndata: [DONE]\n\n"))
		}),
	)

	It("is not run when all engines refuse, and says so", func() {
		inWorld(func(w *world) {
			for range 2 {
				w.serve(hbs.Endpoint{Kind: hbs.KindEngine, Model: "m"}, own(503, "not_run"))
			}
			outcome, err := w.d.Serve(w.ctx, chat(5), nil, &sink{})
			w.Expect(outcome).To(Equal(hbs.OutcomeNotRun))
			w.Expect(err).To(HaveOccurred())
		})
	})

	It("may have run when one engine broke and the other refused (rule 4)", func() {
		inWorld(func(w *world) {
			w.serve(hbs.Endpoint{Kind: hbs.KindEngine, Model: "m"}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			w.serve(hbs.Endpoint{Kind: hbs.KindEngine, Model: "m"}, own(503, "not_run"))
			outcome, _ := w.d.Serve(w.ctx, chat(5), nil, &sink{})
			w.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
		})
	})

	It("passes an engine's answer that is not streamed on as it is", func() {
		inWorld(func(w *world) {
			w.engine()
			req := chat(5)
			req.Stream = false
			req.Body = []byte(strings.Replace(string(req.Body), `"stream":true`, `"stream":false`, 1))
			s := &sink{}
			outcome, err := w.d.Serve(w.ctx, req, nil, s)
			w.Expect(err).NotTo(HaveOccurred())
			w.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			w.Expect(s.body.String()).To(ContainSubstring("b.0 b.1 b.2 b.3 b.4 "))
			w.Expect(w.placer.results[0].OutputTokens).To(Equal(5))
		})
	})
})

// own answers as the attempt's own with an engine's error.
func own(status int, code string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		rw.WriteHeader(status)
		_, _ = fmt.Fprintf(rw, `{"error":{"code":%q}}`, code)
	}
}
