package router_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// callerDomain is the failure domain of the test's callers.
	callerDomain = hbs.DomainName("callers")
	// headerTimeout and idleTimeout are how long an instance waits for the first and
	// for a later request on a connection.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

var _ = Describe("Connections without a request", func() {
	// sendDuringTimeout sends a request on c that the network delays until the instance
	// has timed out, and returns the response.
	sendDuringTimeout := func(f *fleet, c net.Conn, wait time.Duration) *http.Response {
		f.fabric.Partition(domain, callerDomain)
		_, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+goodKey+"\r\n\r\n")
		f.g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(wait + time.Second)
		f.fabric.Heal(domain, callerDomain)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		f.g.Expect(err).NotTo(HaveOccurred())
		return res
	}
	expectRefused := func(f *fleet, res *http.Response) {
		f.g.Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
		f.g.Expect(res.Header.Get("X-Outcome")).To(Equal("not_run"))
		f.g.Expect(res.Close).To(BeTrue())
		body, err := io.ReadAll(res.Body)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(string(body)).To(ContainSubstring("header_timeout"))
		synctest.Wait() // the response is counted after it is written
		f.g.Expect(f.routers[0].Metrics.Get("entry_reason_header_timeout")).To(HaveField("Count()", int64(1)))
	}
	dial := func(f *fleet) net.Conn {
		c, err := f.fabric.Network(callerDomain).Dial(f.ctx, addr(1, portCallers))
		f.g.Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("answers 408 not_run to a request sent while an unused connection times out", func() {
		withFleet(func(f *fleet) {
			c := dial(f)
			defer c.Close()
			expectRefused(f, sendDuringTimeout(f, c, headerTimeout))
		})
	})

	It("answers 408 not_run to a request sent while an idle connection times out", func() {
		withFleet(func(f *fleet) {
			c := dial(f)
			defer c.Close()
			_, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+goodKey+"\r\n\r\n")
			f.g.Expect(err).NotTo(HaveOccurred())
			r := bufio.NewReader(c)
			res, err := http.ReadResponse(r, nil)
			f.g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, res.Body)
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(res.StatusCode).To(Equal(http.StatusOK))
			expectRefused(f, sendDuringTimeout(f, c, idleTimeout))
		})
	})

	It("answers 408 not_run to a caller that sends only part of a header", func() {
		withFleet(func(f *fleet) {
			c := dial(f)
			defer c.Close()
			_, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost:")
			f.g.Expect(err).NotTo(HaveOccurred())
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			f.g.Expect(err).NotTo(HaveOccurred())
			expectRefused(f, res)
		})
	})

	It("counts no header timeout for a request that was answered", func() {
		withFleet(func(f *fleet) {
			res := f.do(request{method: http.MethodPost, path: "/services/orders/x", body: strings.TrimSpace(orderBody(0.2)), key: goodKey})
			f.g.Expect(res.status).To(Equal(http.StatusOK))
			time.Sleep(time.Second)
			f.g.Expect(f.routers[0].Metrics.Get("entry_reason_header_timeout")).To(BeNil())
		})
	})
})
