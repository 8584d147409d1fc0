package dispatch_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/hedge"
)

// echoingEngine is an engine that names the attempt in its responses.
var echoingEngine = hbs.Endpoint{Kind: hbs.KindEngine, Model: "m", Capabilities: hbs.Capabilities{Resume: true, EchoesAttempt: true}}

// Guards against an earlier refusal, or one of another attempt, that counts as proof
// that this one was not run.
var _ = DescribeTable("a refusal of an engine is proof only if it names the attempt (attempt rule 4)", func(id func(own string) string, want hbs.Outcome) {
	runInEnvWithPolicy(policy.With(hedge.KnobOn, 0), func(env *testEnv) {
		env.addEndpoint(echoingEngine, func(rw http.ResponseWriter, r *http.Request) {
			if id := id(r.Header.Get("X-Attempt-Id")); id != "" {
				rw.Header().Set("X-Attempt-Id", id)
			}
			rw.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(rw, `{"error":{"code":"not_run"}}`)
		})
		outcome, err := env.d.Serve(env.ctx, chatRequest(5), nil, &sink{})
		env.Expect(err).To(HaveOccurred())
		env.Expect(outcome).To(Equal(want))
	})
},
	Entry("its own", func(own string) string { return own }, hbs.OutcomeNotRun),
	Entry("that of another attempt", func(string) string { return "other" }, hbs.OutcomeUnknown),
	Entry("that of no attempt", func(string) string { return "" }, hbs.OutcomeUnknown),
)

// eventsOf returns events numbered from one number to another.
func eventsOf(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: {\"n\":%d}\n\n", n, n)
	}
	return b.String()
}

// Guards against a response of the engine that isn't the stream, in the middle of a
// stream that is resumed, and against a stream that seems complete after one.
var _ = DescribeTable("a broken stream whose engine answers otherwise when it is resumed ends with an error event", func(status int, contentType, body string) {
	runInEnvWithPolicy(policy.With(hedge.KnobOn, 0), func(env *testEnv) {
		resumes := 0
		env.addEndpoint(echoingEngine, func(rw http.ResponseWriter, r *http.Request) {
			id := strings.TrimPrefix(r.URL.Path, "/v1/streams/")
			if r.Method == http.MethodPost {
				id = r.Header.Get("X-Attempt-Id")
			}
			rw.Header().Set("X-Attempt-Id", id)
			switch r.Method {
			case http.MethodPost:
				rw.Header().Set("Content-Type", "text/event-stream")
				_, _ = fmt.Fprint(rw, eventsOf(0, 2)+"id: 3\ndata: {")
				rw.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			case http.MethodGet:
				resumes++
				rw.Header().Set("Content-Type", contentType)
				rw.WriteHeader(status)
				_, _ = fmt.Fprint(rw, body)
			}
		})
		s := &sink{}
		outcome, err := env.d.Serve(env.ctx, chatRequest(5), nil, s)
		env.Expect(err).To(HaveOccurred())
		env.Expect(outcome).To(Equal(hbs.OutcomeUnknown))
		env.Expect(resumes).To(BeNumerically(">", 0))
		env.Expect(s.body.String()).To(HavePrefix("data: {\"n\":0}\n\ndata: {\"n\":1}\n\ndata: {\"n\":2}\n\nevent: error\ndata: {\"error\""))
		env.Expect(strings.Count(s.body.String(), "\n\n")).To(Equal(4))
	})
},
	Entry("an error", 500, "application/json", `{"error":{"code":"boom"}}`),
	Entry("an error as events", 500, "text/event-stream", eventsOf(3, 4)+"data: [DONE]\n\n"),
	Entry("a success that is no stream", 200, "application/json", `{"text":"whole"}`),
	Entry("no content", 204, "text/event-stream", ""),
	Entry("a redirection", 302, "text/event-stream", eventsOf(3, 4)),
	Entry("events after the next one", 200, "text/event-stream", eventsOf(4, 4)+"id: 5\ndata: [DONE]\n\n"),
	Entry("events without numbers", 200, "text/event-stream", "data: {\"n\":3}\n\n"),
	Entry("no events", 200, "text/event-stream", ""),
	Entry("a last event that is cut off after its line", 200, "text/event-stream", "id: 3\ndata: [DONE]\n"),
)
