package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

// refusal returns a response that says that the request was not run, followed by
// repeat without an end.
func refusal(status, header, repeat string) endless.Response {
	return endless.Response{Start: "HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n" + header + "\r\n", Repeat: repeat}
}

// A refusal that belongs to no request or to another one must not count as proof
// that this request was not run.
var _ = DescribeTable("a refusal is proof only if it names the request", func(r endless.Response, end hbs.AttemptEnd, outcome hbs.Outcome) {
	got := runClass(hbs.ClassOnce, &Sender{}, r, endless.Drips)
	Expect(got.End).To(Equal(end))
	Expect(got.Refusal.Outcome).To(Equal(outcome))
	Expect(got.sink).To(Equal(endless.Sink{}))
},
	Entry("its own", refusal("503 Service Unavailable", "X-Request-Id: r1\r\n", "x"), hbs.EndRefused, hbs.OutcomeNotRun),
	Entry("its own, after an interim response", endless.Response{Start: "HTTP/1.1 103 Early Hints\r\nX-Request-Id: r2\r\n\r\n" + refusal("503 Service Unavailable", "X-Request-Id: r1\r\n", "x").Start, Repeat: "x"},
		hbs.EndRefused, hbs.OutcomeNotRun),
	Entry("its own, written again and again", refusal("503 Service Unavailable", "X-Request-Id: r1\r\n", refusal("503 Service Unavailable", "X-Request-Id: r0\r\n", "x").Start),
		hbs.EndRefused, hbs.OutcomeNotRun),
	Entry("one of no request", refusal("503 Service Unavailable", "", "x"), hbs.EndBroken, hbs.OutcomeUnknown),
	Entry("one of another request", refusal("503 Service Unavailable", "X-Request-Id: r2\r\n", "x"), hbs.EndBroken, hbs.OutcomeUnknown),
	Entry("one of no request, from an endpoint that was not meant", refusal("421 Misdirected Request", "", "x"), hbs.EndBroken, hbs.OutcomeUnknown),
	Entry("one whose interim response names the request", endless.Response{Start: "HTTP/1.1 103 Early Hints\r\nX-Request-Id: r1\r\n\r\n" + refusal("503 Service Unavailable", "", "x").Start, Repeat: "x"},
		hbs.EndBroken, hbs.OutcomeUnknown),
	Entry("no refusal, after an interim response that says so", endless.Response{Start: "HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nX-Request-Id: r1\r\n\r\n", Repeat: "x"},
		hbs.EndFailed, hbs.OutcomeFailed),
)

// A refusal that is there before the request is sent must not count as its answer.
var _ = It("doesn't take bytes that arrive before the request for proof that it was not run", func() {
	r := runEarly(refusal("503 Service Unavailable", "", "x").Start, &hbs.Request{ID: "r1", Class: hbs.ClassOnce, Method: http.MethodPost, Path: "/x", Header: http.Header{}})
	Expect(r.End).To(Equal(hbs.EndBroken))
	Expect(r.Refusal.Outcome).To(Equal(hbs.OutcomeUnknown))
})

// runEarly runs an attempt at a server that writes text as soon as the connection
// is established.
func runEarly(text string, req *hbs.Request) (out attempt.Result) {
	synctest.Test(suite, func(t *testing.T) {
		var fabric memnet.Fabric
		n, server := fabric.Network("d"), netip.MustParseAddrPort("10.0.0.1:80")
		l, err := n.Listen(server)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		var wg conc.WaitGroup
		wg.Go(func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte(text))
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		})
		s := &Sender{Network: n, Policy: knob.NewFixed(attempt.Knobs), Metrics: metrics.NewRegistry()}
		p := &hbs.Placement{Endpoint: hbs.Endpoint{Address: server}}
		out = s.Run(t.Context(), &attempt.Call{Request: req, Sink: &endless.Sink{}, Placement: p, Gate: waitGate{}})
		_ = l.Close()
		wg.Wait()
	})
	return out
}

// waitGate lets what the server writes at once arrive before the request is sent.
type waitGate struct{}

// Open implements hornbeamstage.Gate.
func (waitGate) Open(context.Context) error {
	synctest.Wait()
	return nil
}
