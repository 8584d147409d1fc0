package gateway_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// pauseTime is longer than an endpoint gets no requests after failures.
const pauseTime = 6 * time.Second

// Guards against a response that is cut within its header and reaches the caller as an
// empty or short success, framed as complete (MIXED, ORDER).
var _ = DescribeTable("a response that is cut within its header", func(c func() call, head, body string, end func(net.Conn)) {
	withFleet(func(f *fleet) {
		for cut := range len(head) {
			answer := pool.Faults{Answer: rawAnswer((head + body)[:cut], end)}
			f.fail(f.engines, answer)
			f.fail(f.services, answer)
			a := f.send(c())
			f.Expect(a.err).NotTo(HaveOccurred(), "cut after %q", head[:cut])
			f.Expect(a.status).To(Equal(http.StatusBadGateway), "cut after %q: %s", head[:cut], a.body)
			time.Sleep(pauseTime)
		}
		whole := pool.Faults{Answer: rawAnswer(head+body, closes)}
		f.fail(f.engines, whole)
		f.fail(f.services, whole)
		f.Expect(f.send(c()).status).To(Equal(http.StatusOK))
	})
},
	Entry("with a length", writeCall, ownHead+"Content-Length: 4\r\n\r\n", "body", closes),
	Entry("with a length, by a reset", writeCall, ownHead+"Content-Length: 4\r\n\r\n", "body", resets),
	Entry("with chunks", writeCall, ownHead+"Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n", closes),
	Entry("with neither", writeCall, ownHead+"Server: a\r\n\r\n", "body", closes),
	Entry("of a stream with chunks", onceCall, ownHead+eventsType+"Transfer-Encoding: chunked\r\n\r\n", "11\r\nid: 1\ndata: a\n\n\n\r\n0\r\n\r\n", closes),
	Entry("of a stream with neither", onceCall, ownHead+eventsType+"\r\n", "id: 1\ndata: a\n\n", closes),
	Entry("after an interim response", writeCall, "HTTP/1.1 100 Continue\r\n\r\n"+ownHead+"Content-Length: 4\r\n\r\n", "body", closes),
)

func writeCall() call { return call{path: "/write/x"} }

func onceCall() call {
	c := streamCall(0)
	c.path = "/stream-once/x"
	return c
}

// Guards against a chunked response that is cut after its last piece of body and counts
// as complete.
var _ = It("a response that is cut within its last chunk is broken", func() {
	withFleet(func(f *fleet) {
		const text = "4\r\nbody\r\n0\r\nA: b\r\n\r\n"
		for cut := range len(text) {
			f.fail(f.services, pool.Faults{Answer: rawAnswer(chunksHead+"Trailer: A\r\n\r\n"+text[:cut], closes)})
			a := f.send(writeCall())
			f.Expect(a.status).To(Equal(http.StatusBadGateway), "cut after %q: %s", text[:cut], a.body)
			time.Sleep(pauseTime)
		}
	})
})
