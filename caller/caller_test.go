package caller_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/prompt"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

var _ = Describe("DecodeBody", func() {
	It("reads a chat with parts and an adapter", func() {
		b, err := caller.DecodeBody([]byte(`{"model": "fit:roof", "stream": true, "max_tokens": 7,
			"messages": [{"role": "system", "content": "code"},
			{"role": "user", "content": [{"type": "text", "text": "one"}, {"type": "text", "text": " two"}]}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(b).To(Equal(caller.Body{Model: "fit", Adapter: "roof", Stream: true, MaxTokens: 7,
			Messages: []prompt.Message{{Role: "system", Text: "code"}, {Role: "user", Text: "one two"}}}))
	})

	It("puts the tools before the first message", func() {
		b, err := caller.DecodeBody([]byte(`{"model": "m", "tools": [1], "messages": [{"role": "user", "content": "x"}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Messages[0]).To(Equal(prompt.Message{Role: "tools", Text: "[1]"}))
	})

	DescribeTable("rejects", func(body, want string) {
		_, err := caller.DecodeBody([]byte(body))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("malformed JSON, with its position", "{\"model\": \"m\",\n  \"messages\": [}", "line 2, column 16"),
		Entry("a wrong type, with its position", "{\"model\": 7}", "line 1, column 11: model is a JSON number"),
		Entry("no model", `{"messages": []}`, "model is missing"),
		Entry("an adapter without a model", `{"model": ":a", "prompt": "x"}`, "model is missing"),
		Entry("no prompt", `{"model": "m"}`, "neither messages nor prompt"),
		Entry("a list of prompts", `{"model": "m", "prompt": ["a", "b"]}`, "prompt is not a text"),
		Entry("max_tokens below 1", `{"model": "m", "prompt": "a", "max_tokens": 0}`, "max_tokens is 0"),
		Entry("an empty body", ``, "line 1"),
	)
})

var _ = Describe("DecodeOptions", func() {
	It("reads deadline, priority and idempotency key", func() {
		h := http.Header{}
		h.Set(caller.HeaderDeadline, "1.5s")
		h.Set(caller.HeaderPriority, "high")
		h.Set(caller.HeaderIdempotencyKey, "k")
		o, err := caller.DecodeOptions(h)
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(caller.RequestOptions{IdempotencyKey: "k", Deadline: 1500 * time.Millisecond, Priority: hbs.PriorityHigh}))
	})

	DescribeTable("rejects", func(name, value string) {
		h := http.Header{}
		h.Set(name, value)
		_, err := caller.DecodeOptions(h)
		Expect(err).To(MatchError(ContainSubstring(name)))
	},
		Entry("a deadline without a unit", caller.HeaderDeadline, "2"),
		Entry("a negative deadline", caller.HeaderDeadline, "-2s"),
		Entry("an unknown priority", caller.HeaderPriority, "urgent"),
		Entry("an idempotency key that is too long", caller.HeaderIdempotencyKey, strings.Repeat("k", 256)),
	)
})

var _ = Describe("ForwardedHeader", func() {
	It("drops the bearer key and hop-by-hop headers", func() {
		h := http.Header{"Authorization": {"Bearer x"}, "Connection": {"X-Once"}, "X-Once": {"1"}, "X-End-To-End": {"1"}}
		Expect(caller.ForwardedHeader(h)).To(Equal(http.Header{"X-End-To-End": {"1"}}))
	})
})

var _ = Describe("WriteRefusal", func() {
	It("states outcome, reason and a Retry-After that is rounded up", func() {
		w := httptest.NewRecorder()
		caller.WriteRefusal(w, hbs.NotRun(hbs.ReasonQueueFull, "", 1200*time.Millisecond))
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Header().Get("X-Outcome")).To(Equal("not_run"))
		Expect(w.Header().Get("Retry-After")).To(Equal("2"))
		Expect(w.Body.String()).To(ContainSubstring(`"code":"queue_full","outcome":"not_run"`))
	})
})

func FuzzDecodeBody(f *testing.F) {
	f.Add([]byte(`{"model": "m", "messages": [{"role": "user", "content": [{"type": "text", "text": "a"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := caller.DecodeBody(data)
		if err == nil && (b.Model == "" || len(b.Messages) == 0) {
			t.Fatalf("accepted a body without model or prompt: %+v", b)
		}
	})
}
