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

// expectWholeStream expects each token exactly once, in order, and the final
// event.
func (env *testEnv) expectWholeStream(s *sink, tokens int) {
	text := s.body.String()
	at := 0
	for n := range tokens {
		token := engine.Token("b", n)
		env.Expect(strings.Count(text, `"`+token+`"`)).To(Equal(1), token)
		i := strings.Index(text, `"`+token+`"`)
		env.Expect(i).To(BeNumerically(">=", at))
		at = i
	}
	env.Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	env.Expect(text).NotTo(ContainSubstring(`"usage"`), "the caller did not ask for usage")
}

var _ = Describe("a stream", func() {
	It("is resumed at the next event if its connection breaks", func() {
		runInEnv(func(env *testEnv) {
			e := env.addEngine()
			e.BreakStreams(1)
			s := &sink{}
			outcome, err := env.d.Serve(env.ctx, chatRequest(20), nil, s)
			env.Expect(err).NotTo(HaveOccurred())
			env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			env.expectWholeStream(s, 20)
			env.Expect(env.count("attempt_resumes")).To(BeEquivalentTo(1))
			env.Expect(e.Runs()).To(HaveLen(1))
		})
	})

	It("reports the shortest gaps between its events while it runs", func() {
		runInEnv(func(env *testEnv) {
			e := env.addEngine()
			e.Slow(5, time.Hour)
			outcome, _ := env.d.Serve(env.ctx, chatRequest(20), nil, &sink{})
			env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			env.Expect(len(env.placer.gaps)).To(BeNumerically(">=", 8))
			for _, gap := range env.placer.gaps {
				env.Expect(gap).To(BeNumerically("~", 150*time.Millisecond, 5*time.Millisecond), "5 steps of 30 ms")
			}
		})
	})

	It("ends with an error event if its engine crashes while it runs", func() {
		runInEnv(func(env *testEnv) {
			e := env.addEngine()
			env.addEngine()
			s := &sink{}
			time.AfterFunc(200*time.Millisecond, func() { e.Crash(time.Second) })
			outcome, err := env.d.Serve(env.ctx, chatRequest(20), nil, s)
			env.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
			_, reason := outcomeOf(err)
			env.Expect(reason).To(Equal(hbs.ReasonIncomplete))
			env.Expect(s.body.String()).To(ContainSubstring("event: error\ndata: {\"error\""))
			env.Expect(s.body.String()).NotTo(ContainSubstring("[DONE]"))
		})
	})

	It("never contains another request's response (attempt rule 4)", func() {
		runInEnv(func(env *testEnv) {
			e := env.addEngine()
			env.addEngine()
			other := chatRequest(100)
			other.Body = []byte(strings.ReplaceAll(string(other.Body), engine.MarkBody("b"), engine.MarkBody("z")))
			env.wg.Go(func() { _, _ = env.d.Serve(env.ctx, other, nil, &sink{}) })
			time.Sleep(100 * time.Millisecond)
			e.CrossAnswers(1)
			s := &sink{}
			outcome, err := env.d.Serve(env.ctx, chatRequest(20), nil, s)
			env.Expect(err).NotTo(HaveOccurred())
			env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			env.expectWholeStream(s, 20)
			env.Expect(s.body.String()).NotTo(ContainSubstring(`"z.`))
			env.Expect(env.count("attempt_crossed")).To(BeEquivalentTo(1))
		})
	})

	It("is canceled at the engine immediately when the caller disconnects (attempt rule 6)", func() {
		runInEnv(func(env *testEnv) {
			e := env.addEngine()
			ctx, leave := context.WithCancel(env.ctx)
			time.AfterFunc(200*time.Millisecond, leave)
			began := time.Now()
			_, err := env.d.Serve(ctx, chatRequest(1000), nil, &sink{})
			_, reason := outcomeOf(err)
			env.Expect(reason).To(Equal(hbs.ReasonCanceled))
			runs := e.Runs()
			env.Expect(runs).To(HaveLen(1))
			env.Expect(runs[0].End).To(Equal(engine.EndCanceled))
			env.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
			env.Expect(env.placer.results[0].End).To(Equal(hbs.EndCanceled))
		})
	})

	It("is canceled if writing to the caller fails", func() {
		runInEnv(func(env *testEnv) {
			e := env.addEngine()
			_, err := env.d.Serve(env.ctx, chatRequest(1000), nil, &sink{leaveAt: 3})
			_, reason := outcomeOf(err)
			env.Expect(reason).To(Equal(hbs.ReasonCanceled))
			env.Expect(e.Runs()[0].End).To(Equal(engine.EndCanceled))
		})
	})

	It("ends with an error event at its deadline", func() {
		runInEnv(func(env *testEnv) {
			env.addEngine()
			req := chatRequest(1000)
			req.Deadline = time.Now().Add(time.Second)
			s := &sink{}
			outcome, err := env.d.Serve(env.ctx, req, nil, s)
			_, reason := outcomeOf(err)
			env.Expect(reason).To(Equal(hbs.ReasonExpired))
			env.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
			env.Expect(s.body.String()).To(ContainSubstring(`"code":"deadline_passed"`))
		})
	})

	DescribeTable("is retried at another endpoint if the caller has received nothing",
		func(h http.HandlerFunc) {
			runInEnvWithPolicy(policy.With(hedge.KnobOn, 0), func(env *testEnv) {
				bad := hbs.Endpoint{Kind: hbs.KindEngine, Model: "m", Capabilities: hbs.Capabilities{EchoesAttempt: true}}
				env.addEndpoint(bad, h)
				env.addEngine()
				s := &sink{}
				outcome, err := env.d.Serve(env.ctx, chatRequest(5), nil, s)
				env.Expect(err).NotTo(HaveOccurred())
				env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
				env.expectWholeStream(s, 5)
			})
		},
		Entry("after a broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		Entry("after a stall", func(_ http.ResponseWriter, r *http.Request) {
			// The server notices a closed connection only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}),
		Entry("after an error of the engine", engineError(500, "boom")),
		Entry("after a refusal", engineError(503, "not_run")),
		Entry("after a mismatch of weights", engineError(409, "weights_mismatch")),
		Entry("after a response without the attempt's ID", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Type", "text/event-stream")
			_, _ = rw.Write([]byte("data: {}\n\ndata: [DONE]\n\n"))
		}),
		Entry("after a response from weights that were not requested", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			rw.Header().Set("X-Weights-Version", "w0")
			rw.Header().Set("Content-Type", "text/event-stream")
			_, _ = rw.Write([]byte("data: {}\n\ndata: [DONE]\n\n"))
		}),
	)

	It("has the outcome not_run if all engines refuse", func() {
		runInEnv(func(env *testEnv) {
			for range 2 {
				env.addEndpoint(hbs.Endpoint{Kind: hbs.KindEngine, Model: "m"}, engineError(503, "not_run"))
			}
			outcome, err := env.d.Serve(env.ctx, chatRequest(5), nil, &sink{})
			env.Expect(outcome).To(Equal(hbs.OutcomeNotRun))
			env.Expect(err).To(HaveOccurred())
		})
	})

	It("has the outcome unknown if one engine failed and the other refused (rule 4)", func() {
		runInEnv(func(env *testEnv) {
			env.addEndpoint(hbs.Endpoint{Kind: hbs.KindEngine, Model: "m"}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			env.addEndpoint(hbs.Endpoint{Kind: hbs.KindEngine, Model: "m"}, engineError(503, "not_run"))
			outcome, _ := env.d.Serve(env.ctx, chatRequest(5), nil, &sink{})
			env.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
		})
	})

	It("is not used for a request that doesn't ask for one: the response is passed on unchanged", func() {
		runInEnv(func(env *testEnv) {
			env.addEngine()
			req := chatRequest(5)
			req.Stream = false
			req.Body = []byte(strings.Replace(string(req.Body), `"stream":true`, `"stream":false`, 1))
			s := &sink{}
			outcome, err := env.d.Serve(env.ctx, req, nil, s)
			env.Expect(err).NotTo(HaveOccurred())
			env.Expect(outcome).To(Equal(hbs.OutcomeAnswered))
			env.Expect(s.body.String()).To(ContainSubstring("b.0 b.1 b.2 b.3 b.4 "))
			env.Expect(env.placer.results[0].OutputTokens).To(Equal(5))
		})
	})
})

// engineError returns a handler that answers with an engine's error, carrying
// the attempt's ID.
func engineError(status int, code string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		rw.WriteHeader(status)
		_, _ = fmt.Fprintf(rw, `{"error":{"code":%q}}`, code)
	}
}
