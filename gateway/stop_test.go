package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lateRequest sends a request on a connection that was opened before, some time after
// the stop signal, and reads the response.
func (f *fleet) lateRequest(opened, sent time.Duration, c call, deadline string) response {
	time.Sleep(opened)
	conn, err := f.fabric.Network(domain).Dial(f.ctx, address(c.i+1, portCallers))
	f.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	time.Sleep(sent - opened)
	text := strings.Join([]string{
		"POST " + c.path + " HTTP/1.1", "Host: h.example", "Api-Key: " + goodKey, "X-Request-Id: late", "X-Deadline-Ms: " + deadline, "Content-Length: 0", "", "",
	}, "\r\n")
	if _, err := io.WriteString(conn, text); err != nil {
		return response{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return response{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header, string(body), res.Close, err}
}

// Guards against requests that are lost in a planned stop (LOST): they were taken late
// in the grace time, passed on and cut at its end without an answer.
var _ = Describe("a request late in a planned stop", func() {
	DescribeTable("is refused at once, and not passed on", func(opened, sent time.Duration) {
		withFleet(func(f *fleet) {
			for _, e := range f.services {
				e.Work = graceTime
			}
			f.publishRoutesWithTimeout(2, 3*graceTime, goodKey)
			time.Sleep(settleTime)
			begun := time.Now()
			f.wg.Go(func() { f.send(call{path: "/write/x", header: map[string]string{"X-Deadline-Ms": "20000"}}) })
			time.Sleep(time.Millisecond)
			f.instances[0].Stop()
			a := f.lateRequest(opened, sent, call{path: "/write/x"}, "15000")
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
			f.Expect(a.body).To(ContainSubstring("not_run"))
			f.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			f.Expect(a.closes).To(BeTrue())
			f.Expect(time.Since(begun)).To(BeNumerically("<", sent+100*time.Millisecond))
			f.Expect(allRuns(f.services)).To(HaveLen(1))
			f.Expect(<-f.results[0]).To(Succeed())
		})
	},
		Entry("on a new connection without a request yet", 2900*time.Millisecond, 4*time.Second),
		Entry("shortly before its end", 2900*time.Millisecond, 7*time.Second),
	)

	DescribeTable("gets an answer, although its endpoint has none by the end", func(path string, status int) {
		withFleet(func(f *fleet) {
			for _, e := range f.services {
				e.Work = 3 * graceTime
			}
			f.publishRoutesWithTimeout(2, 3*graceTime, goodKey)
			time.Sleep(settleTime)
			f.instances[0].Stop()
			begun := time.Now()
			a := f.lateRequest(0, 2*time.Second, call{path: path}, "20000")
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.status).To(Equal(status), a.body)
			f.Expect(a.body).To(ContainSubstring("unknown"))
			f.Expect(allRuns(f.services)).To(HaveLen(1))
			f.Expect(<-f.results[0]).To(Succeed())
			f.Expect(time.Since(begun)).To(BeNumerically("<", graceTime))
		})
	},
		Entry("a request that may not be repeated", "/write/x", http.StatusBadGateway),
		Entry("one that may", "/read/x", http.StatusBadGateway),
	)
})
