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
	Entry("passes events on, without numbers", &relay.Relay{Numbered: true},
		"id: 0\ndata: a\n\nid: 1\ndata: [DONE]\n\n", "data: a\n\ndata: [DONE]\n\n", nil),
	Entry("drops an event that was cut off (rule 1)", &relay.Relay{},
		"data: a\n\ndata: b", "data: a\n\n", relay.ErrEnded),
	Entry("is not complete without the end (rule 3)", &relay.Relay{}, "data: a\n\n", "data: a\n\n", relay.ErrEnded),
	Entry("skips repeated numbers (rule 2)", &relay.Relay{Numbered: true},
		"id: 0\ndata: a\n\nid: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", "data: a\n\ndata: b\n\ndata: [DONE]\n\n", nil),
	Entry("stops at a gap (rule 2)", &relay.Relay{Numbered: true},
		"id: 0\ndata: a\n\nid: 2\ndata: c\n\n", "data: a\n\n", relay.ErrGap),
	Entry("stops at a missing number (rule 2)", &relay.Relay{Numbered: true}, "data: a\n\n", "", relay.ErrGap),
	Entry("stops at an early end that skips numbers (rule 2)", &relay.Relay{Numbered: true},
		"id: 0\ndata: a\n\nid: 5\ndata: [DONE]\n\n", "data: a\n\n", relay.ErrGap),
	Entry("keeps several lines and the kind", &relay.Relay{}, "event: x\ndata: a\ndata: b\n\ndata: [DONE]\n\n", "event: x\ndata: a\ndata: b\n\ndata: [DONE]\n\n", nil),
	Entry("hides the chunk with usage alone", &relay.Relay{HideUsage: true},
		"data: {\"choices\":[],\"usage\":{}}\n\ndata: [DONE]\n\n", "data: [DONE]\n\n", nil),
	Entry("shows usage beside an answer", &relay.Relay{HideUsage: true},
		"data: {\"choices\":[{}],\"usage\":{}}\n\ndata: [DONE]\n\n", "data: {\"choices\":[{}],\"usage\":{}}\n\ndata: [DONE]\n\n", nil),
	Entry("ends at the engine's error", &relay.Relay{}, "data: a\n\nevent: error\ndata: {}\n\n", "data: a\n\n", relay.ErrEngine),
)

var _ = It("goes on at the next number over several bodies (rule 4)", func() {
	var out strings.Builder
	r := &relay.Relay{Numbered: true, Write: func(p []byte) error { out.Write(p); return nil }}
	Expect(r.Copy(strings.NewReader("id: 0\ndata: a\n\nid: 1\ndata: b"))).To(MatchError(relay.ErrEnded))
	Expect(r.Next()).To(Equal(1))
	Expect(r.Copy(strings.NewReader("id: 1\ndata: b\n\nid: 2\ndata: [DONE]\n\n"))).To(Succeed())
	Expect(out.String()).To(Equal("data: a\n\ndata: b\n\ndata: [DONE]\n\n"))
})

// BenchmarkRelayEvent passes one numbered event on.
func BenchmarkRelayEvent(b *testing.B) {
	in, feed := io.Pipe()
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
			_, _ = feed.Write(batch)
			batch = batch[:0]
		}
	}
	_, _ = feed.Write(batch)
	_ = feed.Close()
	<-done
}
