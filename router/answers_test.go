package router_test

import (
	"io"
	"net/http"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cutAfter returns a handler that sends the start of a response and breaks it off.
func cutAfter(contentType, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// getRaw sends a request to the service as a caller of the given HTTP version, and
// returns the response's bytes and the error at their end, nil if it is regular.
func (f *fleet) getRaw(version string) (text string, err error) {
	conn, err := f.fabric.Network(domain).Dial(f.ctx, addr(1, portCallers))
	f.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /services/orders/x?id=o1 "+version+"\r\nHost: h\r\nAuthorization: Bearer "+goodKey+"\r\nConnection: close\r\n\r\n")
	f.g.Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(conn)
	return string(data), err
}

// Guards against a broken response that looks complete on the caller's connection.
var _ = Describe("a response of a service that breaks off", func() {
	It("has no last chunk", func() {
		withFleet(func(f *fleet) {
			f.service.AnswerWith(cutAfter("text/event-stream", "data: a\n\n"))
			text, err := f.getRaw("HTTP/1.1")
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(text).To(And(ContainSubstring("Transfer-Encoding: chunked"), ContainSubstring("data: a")))
			f.g.Expect(text).NotTo(ContainSubstring("\r\n0\r\n"))
		})
	})

	It("resets the connection if its end is that of the response", func() {
		withFleet(func(f *fleet) {
			f.service.AnswerWith(cutAfter("text/event-stream", "data: a\n\n"))
			_, err := f.getRaw("HTTP/1.0")
			f.g.Expect(err).To(MatchError(syscall.ECONNRESET))
		})
	})
})

// largerThanBuffered is more than is buffered of a response, in bytes.
const largerThanBuffered = 2 << 20

// Guards against a part of a response that looks like all of it, where a stream was
// asked for.
var _ = It("breaks off a response of an engine that is no stream and breaks off", func() {
	withFleet(func(f *fleet) {
		f.engine.AnswerWith(cutAfter("application/json", `{"text": "`+strings.Repeat("x", largerThanBuffered)))
		res := f.do(request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 5), key: goodKey})
		f.g.Expect(res.status).To(Equal(http.StatusOK))
		f.g.Expect(res.err).To(HaveOccurred())
		f.g.Expect(res.body).NotTo(ContainSubstring("event: error"))
	})
})

// Guards against a stream that ends without an error event or "[DONE]".
var _ = It("ends a stream of an engine that breaks off with an error event", func() {
	withFleet(func(f *fleet) {
		f.engine.AnswerWith(cutAfter("text/event-stream", "data: {}\n\ndata: {"))
		res := f.do(request{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(true, 5), key: goodKey})
		f.g.Expect(res.err).NotTo(HaveOccurred())
		f.g.Expect(res.body).To(HavePrefix("data: {}\n\nevent: error\ndata: {\"error\""))
	})
})

// Guards against a stream of a service that was broken off within an event and seems
// complete because it has neither a length nor chunks.
var _ = DescribeTable("a stream of a service without a length or chunks", func(text string, complete bool) {
	withFleet(func(f *fleet) {
		f.service.AnswerWith(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			f.g.Expect(err).NotTo(HaveOccurred())
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+text)
			_ = conn.Close()
		})
		res := f.do(request{method: http.MethodGet, path: "/services/orders/x?id=o1", key: goodKey})
		f.g.Expect(res.status).To(Equal(http.StatusOK))
		f.g.Expect(res.body).To(Equal(text))
		if complete {
			f.g.Expect(res.err).NotTo(HaveOccurred())
			return
		}
		f.g.Expect(res.err).To(HaveOccurred())
	})
},
	Entry("is complete at the end of its connection", "data: a\n\n", true),
	Entry("is complete without an event", "", true),
	Entry("is complete with another end of lines", "data: a\r\n\r\ndata: b\r\r", true),
	Entry("is complete with empty lines at its end", "data: a\n\n\n", true),
	Entry("is broken within a line", "data: a\n\ndata: b", false),
	Entry("is broken after a line", "data: a\n\ndata: b\n", false),
	Entry("is broken after a line that ends with a carriage return", "data: a\r\n\r\ndata: b\r\n", false),
)
