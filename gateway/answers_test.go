package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// earlierRefusal answers with a refusal that names no request.
func earlierRefusal(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("X-Request-Id")
	w.Header().Del("X-Instance-Stamp")
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

var _ = Describe("a refusal that an endpoint wrote although it runs the request", func() {
	// Guards against telling callers to send a request again that has run.
	It("doesn't tell the caller that a non-idempotent request was not run", func() {
		withFleet(func(f *fleet) {
			f.fail(f.services, pool.Faults{Answer: earlierRefusal})
			a := f.send(call{path: "/write/x"})
			f.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
			f.Expect(a.header.Get("X-Outcome")).To(Equal("unknown"))
			f.Expect(a.header).NotTo(HaveKey("Retry-After"))
			f.Expect(allRuns(f.services)).To(HaveLen(1))
		})
	})

	// Guards against a second run of a stream that must not run twice.
	It("doesn't send a stream that can't be resumed to a second engine", func() {
		withFleet(func(f *fleet) {
			f.fail(f.engines, pool.Faults{Answer: earlierRefusal})
			c := streamCall(0)
			c.path = "/stream-once/x"
			a := f.send(c)
			f.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
			f.Expect(allRuns(f.engines)).To(HaveLen(1))
		})
	})

	// Guards against losing requests that may run again.
	It("is followed by another attempt if the request may run again", func() {
		withFleet(func(f *fleet) {
			f.fail(f.services[:1], pool.Faults{Answer: earlierRefusal})
			for range 4 {
				a := f.send(call{path: "/read/x", method: http.MethodGet})
				f.Expect(a.status).To(Equal(http.StatusOK), a.body)
			}
		})
	})
})

// errorOf returns a handler that answers with an error status and a body of the
// given length in bytes.
func errorOf(status, length int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(bytes.Repeat([]byte("x"), length))
	}
}

// longError exceeds what is buffered of a response, in bytes.
const longError = 2 << 20

// Guards against an endpoint's status by which callers send a request again that
// has run.
var _ = DescribeTable("an endpoint's error after it ran a non-idempotent request", func(status, length, want int) {
	withFleet(func(f *fleet) {
		f.fail(f.services, pool.Faults{Answer: errorOf(status, length)})
		a := f.send(call{path: "/write/x"})
		f.Expect(a.err).NotTo(HaveOccurred())
		f.Expect(a.status).To(Equal(want))
		f.Expect(allRuns(f.services)).To(HaveLen(1))
		if want == status {
			f.Expect(a.body).To(HaveLen(length))
			f.Expect(a.header).To(HaveKey("X-Instance-Stamp"))
			return
		}
		f.Expect(a.header.Get("X-Outcome")).To(Equal("unknown"))
		f.Expect(a.header).NotTo(HaveKey("X-Instance-Stamp"))
	})
},
	Entry("is replaced if its status says that it didn't run: 503", 503, 10, 502),
	Entry("is replaced if its status says that it didn't run: 429", 429, 10, 502),
	Entry("is replaced if its status says that it didn't run: 408", 408, 10, 502),
	Entry("is replaced if its status says that it didn't run, too long to be buffered", 503, longError, 502),
	Entry("is passed on otherwise: 500", 500, 10, 500),
	Entry("is passed on otherwise: 504", 504, 10, 504),
	Entry("is passed on otherwise: 422", 422, 10, 422),
	Entry("is passed on otherwise, too long to be buffered", 500, longError, 500),
)

// sendRaw sends a request for a stream as a caller of the given HTTP version, and
// returns the response's bytes and the error at their end, nil if it is regular.
func (f *fleet) sendRaw(version, path string) (text string, err error) {
	conn, err := f.fabric.Network(domain).Dial(f.ctx, address(1, portCallers))
	f.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "POST "+path+" "+version+"\r\nHost: h.example\r\nX-Request-Id: r1\r\nApi-Key: "+goodKey+"\r\nX-Model: m\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	f.Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(conn)
	return string(data), err
}

// Guards against a broken response that looks complete on the caller's connection.
var _ = Describe("a stream that is broken off", func() {
	It("has no last chunk", func() {
		withFleet(func(f *fleet) {
			f.fail(f.engines, pool.Faults{CutAfterEvents: cutAfter})
			text, err := f.sendRaw("HTTP/1.1", "/stream-once/x")
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(text).To(And(ContainSubstring("Transfer-Encoding: chunked"), ContainSubstring("piece 3")))
			f.Expect(text).NotTo(ContainSubstring("\r\n0\r\n"))
		})
	})

	It("resets the connection if its end is that of the response", func() {
		withFleet(func(f *fleet) {
			f.fail(f.engines, pool.Faults{CutAfterEvents: cutAfter})
			_, err := f.sendRaw("HTTP/1.0", "/stream-once/x")
			f.Expect(err).To(MatchError(syscall.ECONNRESET))
		})
	})

	It("ends regularly on such a connection if it is complete", func() {
		withFleet(func(f *fleet) {
			text, err := f.sendRaw("HTTP/1.0", "/stream-once/x")
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(text).To(HaveSuffix("\r\n\r\n" + wholeStream()))
		})
	})
})
