package relay_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

var _ = DescribeTable("Copy",
	func(r *relay.Relay, in, want string, wantErr error) {
		var out strings.Builder
		r.Write = func(p []byte) error { out.Write(p); return nil }
		err := r.Copy(strings.NewReader(in))
		Expect(out.String()).To(Equal(want))
		if wantErr == nil {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(wantErr))
	},
	Entry("forwards events without their numbers", &relay.Relay{Numbered: true},
		"id: 0\ndata: a\n\nid: 1\ndata: [DONE]\n\n", "data: a\n\ndata: [DONE]\n\n", nil),
	Entry("drops a truncated event (rule 1)", &relay.Relay{},
		"data: a\n\ndata: b", "data: a\n\n", relay.ErrEnded),
	Entry("drops an event that was truncated after a line (rule 1)", &relay.Relay{},
		"data: a\n\ndata: b\n", "data: a\n\n", relay.ErrEnded),
	Entry("is not complete if the final event was truncated after its line (rules 1 and 3)", &relay.Relay{},
		"data: a\n\ndata: [DONE]\n", "data: a\n\n", relay.ErrEnded),
	Entry("is not complete without the final event (rule 3)", &relay.Relay{}, "data: a\n\n", "data: a\n\n", relay.ErrEnded),
	Entry("skips repeated numbers (rule 2)", &relay.Relay{Numbered: true},
		"id: 0\ndata: a\n\nid: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", "data: a\n\ndata: b\n\ndata: [DONE]\n\n", nil),
	Entry("stops at a gap (rule 2)", &relay.Relay{Numbered: true},
		"id: 0\ndata: a\n\nid: 2\ndata: c\n\n", "data: a\n\n", relay.ErrGap),
	Entry("stops at a missing number (rule 2)", &relay.Relay{Numbered: true}, "data: a\n\n", "", relay.ErrGap),
	Entry("stops at a final event after a gap (rule 2)", &relay.Relay{Numbered: true},
		"id: 0\ndata: a\n\nid: 5\ndata: [DONE]\n\n", "data: a\n\n", relay.ErrGap),
	Entry("preserves several data lines and the event type", &relay.Relay{}, "event: x\ndata: a\ndata: b\n\ndata: [DONE]\n\n", "event: x\ndata: a\ndata: b\n\ndata: [DONE]\n\n", nil),
	Entry("drops a chunk that carries only usage", &relay.Relay{HideUsage: true},
		"data: {\"choices\":[],\"usage\":{}}\n\ndata: [DONE]\n\n", "data: [DONE]\n\n", nil),
	Entry("forwards usage in a chunk with choices", &relay.Relay{HideUsage: true},
		"data: {\"choices\":[{}],\"usage\":{}}\n\ndata: [DONE]\n\n", "data: {\"choices\":[{}],\"usage\":{}}\n\ndata: [DONE]\n\n", nil),
	Entry("stops at an error event of the engine", &relay.Relay{}, "data: a\n\nevent: error\ndata: {}\n\n", "data: a\n\n", relay.ErrEngine),
)

var _ = It("continues at the next number in another body (rule 4)", func() {
	var out strings.Builder
	r := &relay.Relay{Numbered: true, Write: func(p []byte) error { out.Write(p); return nil }}
	Expect(r.Copy(strings.NewReader("id: 0\ndata: a\n\nid: 1\ndata: b"))).To(MatchError(relay.ErrEnded))
	Expect(r.Next()).To(Equal(1))
	Expect(r.Copy(strings.NewReader("id: 1\ndata: b\n\nid: 2\ndata: [DONE]\n\n"))).To(Succeed())
	Expect(out.String()).To(Equal("data: a\n\ndata: b\n\ndata: [DONE]\n\n"))
})

// BenchmarkRelayEvent measures the forwarding of one numbered event.
func BenchmarkRelayEvent(b *testing.B) {
	in, w := io.Pipe()
	r := &relay.Relay{Numbered: true, Write: func([]byte) error { return nil }}
	done := make(chan error, 1)
	go func() { done <- r.Copy(in) }()
	var batch []byte
	const batchEvents = 64
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		batch = fmt.Appendf(batch, "id: %d\ndata: {\"id\":\"a-1\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n", n)
		n++
		if n%batchEvents == 0 {
			_, _ = w.Write(batch)
			batch = batch[:0]
		}
	}
	_, _ = w.Write(batch)
	_ = w.Close()
	<-done
}
