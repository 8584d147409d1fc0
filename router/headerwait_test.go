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
	// outside is a failure domain of callers.
	outside = hbs.DomainName("callers")
	// headerWait and idleWait are how long a connection may wait for its first
	// and for a later request.
	headerWait = 5 * time.Second
	idleWait   = 2 * time.Minute
)

var _ = Describe("Connections that wait for a request", func() {
	// cross sends a request on c while the instance gives the connection up.
	cross := func(f *fleet, c net.Conn, wait time.Duration) *http.Response {
		f.fabric.Cut(domain, outside)
		_, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+goodKey+"\r\n\r\n")
		f.g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(wait + time.Second)
		f.fabric.Heal(domain, outside)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		f.g.Expect(err).NotTo(HaveOccurred())
		return res
	}
	refused := func(f *fleet, res *http.Response) {
		f.g.Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
		f.g.Expect(res.Header.Get("X-Outcome")).To(Equal("not_run"))
		f.g.Expect(res.Close).To(BeTrue())
		body, err := io.ReadAll(res.Body)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(string(body)).To(ContainSubstring("header_timeout"))
		synctest.Wait() // the answer is counted after it is written
		f.g.Expect(f.routers[0].Metrics.Get("entry_reason_header_timeout")).To(HaveField("Count()", int64(1)))
	}
	dial := func(f *fleet) net.Conn {
		c, err := f.fabric.Network(outside).Dial(f.ctx, at(1, portCallers))
		f.g.Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("tells a request that crosses the close of an unused one that it did not run", func() {
		inBubble(func(f *fleet) {
			c := dial(f)
			defer c.Close()
			refused(f, cross(f, c, headerWait))
		})
	})

	It("tells a request that crosses the close of an idle one", func() {
		inBubble(func(f *fleet) {
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
			refused(f, cross(f, c, idleWait))
		})
	})

	It("tells a caller that stops within its header", func() {
		inBubble(func(f *fleet) {
			c := dial(f)
			defer c.Close()
			_, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost:")
			f.g.Expect(err).NotTo(HaveOccurred())
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			f.g.Expect(err).NotTo(HaveOccurred())
			refused(f, res)
		})
	})

	It("adds nothing to answers whose caller leaves while they run", func() {
		inBubble(func(f *fleet) {
			res := f.do(call{method: http.MethodPost, path: "/services/orders/x", body: strings.TrimSpace(order(0.2)), key: goodKey})
			f.g.Expect(res.status).To(Equal(http.StatusOK))
			time.Sleep(time.Second)
			f.g.Expect(f.routers[0].Metrics.Get("entry_reason_header_timeout")).To(BeNil())
		})
	})
})
