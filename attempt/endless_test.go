package attempt

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

// requestTime is the time between a request and its deadline.
const requestTime = 20 * time.Second

// testRun is one attempt at a server whose response never ends.
type testRun struct {
	Result
	endless.Played
	sink endless.Sink
}

// runEndless runs one attempt of a repeatable request at an endpoint of the given
// kind.
func runEndless(kind hbs.EndpointKind, r endless.Response, rate endless.Rate) (out testRun) {
	out.Played = endless.Play(suite, r, rate, func(ctx context.Context, n hbs.Network, server netip.AddrPort) {
		s := &Sender{Network: n, Policy: knob.NewFixed(Knobs)}
		req := &hbs.Request{ID: "r1", Class: hbs.ClassRepeatable, Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(requestTime)}
		if kind == hbs.KindEngine {
			req.Model, req.Stream, req.Body = "m", true, []byte(`{"stream":true}`)
		}
		ctx, cancel := context.WithDeadline(ctx, req.Deadline)
		defer cancel()
		e := hbs.Endpoint{Address: server, Kind: kind}
		out.Result = s.Run(ctx, &Call{Request: req, Sink: &out.sink, Placement: &hbs.Placement{Attempt: "a1", Endpoint: e}})
	})
	return out
}

var _ = Describe("a response that never ends", func() {
	for _, name := range slices.Sorted(maps.Keys(endless.Headers)) {
		It("is broken off within its header: "+name, func() {
			r := runEndless(hbs.KindService, endless.Headers[name], endless.Fast)
			Expect(r.End).To(Equal(hbs.EndBroken))
			Expect(r.Refusal.Outcome).To(Equal(hbs.OutcomeUnknown))
			Expect(r.Sent).To(BeNumerically("<", 256<<10))
			Expect(r.Open).To(BeZero())
		})

		It("is broken off if its header arrives slowly: "+name, func() {
			r := runEndless(hbs.KindEngine, endless.Headers[name], endless.Drips)
			Expect(r.End).To(Equal(hbs.EndBroken))
			Expect(r.Took).To(BeNumerically("<", requestTime))
			Expect(r.Open).To(BeZero())
		})
	}

	DescribeTable("is broken off", func(kind hbs.EndpointKind, status, header, repeat string, mostBytes int) {
		r := runEndless(kind, endless.Body(status, header, repeat), endless.Fast)
		Expect(r.End).To(Equal(hbs.EndBroken))
		Expect(r.BufferedError).To(BeNil())
		Expect(r.Refusal.Outcome).To(Equal(hbs.OutcomeUnknown))
		Expect(r.sink.Bytes).To(BeNumerically("<=", mostBytes))
		Expect(r.Took).To(BeNumerically("<", requestTime))
		Expect(r.Open).To(BeZero())
	},
		Entry("a service's body", hbs.KindService, "200 OK", "", "x", 64<<20),
		Entry("a stream without an event", hbs.KindEngine, "200 OK", "Content-Type: text/event-stream\r\n", "x", 0),
		Entry("a stream of empty lines", hbs.KindEngine, "200 OK", "Content-Type: text/event-stream\r\n", "\n", 0),
		Entry("a stream of comments", hbs.KindEngine, "200 OK", "Content-Type: text/event-stream\r\n", ":\n\n", 0),
		Entry("a stream of events", hbs.KindEngine, "200 OK", "Content-Type: text/event-stream\r\n", "data: "+strings.Repeat("x", 100)+"\n\n", 64<<20),
	)

	DescribeTable("counts as failed, without a part of its body, if its status is an error", func(kind hbs.EndpointKind) {
		r := runEndless(kind, endless.Body("500 Internal Server Error", "", "x"), endless.Fast)
		Expect(r.End).To(Equal(hbs.EndFailed))
		Expect(r.BufferedError).To(BeNil())
		Expect(r.Refusal.Outcome).To(Equal(hbs.OutcomeFailed))
		Expect(r.sink).To(Equal(endless.Sink{}))
		Expect(r.Open).To(BeZero())
	}, Entry("of a service", hbs.KindService), Entry("of an engine", hbs.KindEngine))

	It("ends with the request if its body arrives slowly", func() {
		r := runEndless(hbs.KindService, endless.Body("200 OK", "", "x"), endless.Drips)
		Expect(r.End).To(Equal(hbs.EndExpired))
		Expect(r.Refusal.Reason).To(Equal(hbs.ReasonExpired))
		Expect(r.Took).To(Equal(requestTime))
		Expect(r.Open).To(BeZero())
	})
})
