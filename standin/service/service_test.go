package service_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/standin/service"
)

var suite *testing.T

func TestService(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "service")
}

var addr = netip.MustParseAddrPort("127.0.0.1:9000")

// with runs f with a replica and a function that calls it and returns the status of
// the response, or 0 if the connection was lost.
func with(change func(s *service.Service), f func(g *WithT, s *service.Service, call func() int)) {
	synctest.Test(suite, func(t *testing.T) {
		fabric := &memnet.Fabric{}
		s := &service.Service{ID: "s1", Address: addr, Network: fabric.Network("a"), Slots: 1}
		if change != nil {
			change(s)
		}
		transport := network.NewTransport(fabric.Network("a"))
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { _ = s.Run(ctx) })
		synctest.Wait()
		f(NewWithT(t), s, func() int { return call(transport) })
		transport.CloseIdleConnections()
		cancel()
		wg.Wait()
	})
}

func call(transport *network.Transport) (status int) {
	body := io.MultiReader(strings.NewReader(`{"id":"r1","work":0.1}`))
	req, _ := http.NewRequest(http.MethodPost, "http://"+addr.String()+"/bookings", body)
	req.Header.Set("Idempotency-Key", "k1")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

var _ = Describe("Service", func() {
	It("records executed calls that failed or lost their connection", func() {
		with(nil, func(g *WithT, s *service.Service, call func() int) {
			s.FailAfterRun(1)
			g.Expect(call()).To(Equal(http.StatusInternalServerError))
			s.AbortAfterRun(1)
			g.Expect(call()).To(BeZero())
			g.Expect(call()).To(Equal(http.StatusOK))
			g.Expect(s.Runs()).To(HaveLen(3))
		})
	})

	It("executes calls with the same idempotency key once if it deduplicates", func() {
		with(func(s *service.Service) { s.Capabilities.Deduplicates = true }, func(g *WithT, s *service.Service, call func() int) {
			g.Expect(call()).To(Equal(http.StatusOK))
			g.Expect(call()).To(Equal(http.StatusOK))
			g.Expect(s.Runs()).To(HaveLen(1))
		})
	})

	It("slows down calls under the Slow fault and refuses connections after a crash", func() {
		with(nil, func(g *WithT, s *service.Service, call func() int) {
			s.Slow(10, time.Minute)
			start := time.Now()
			g.Expect(call()).To(Equal(http.StatusOK))
			g.Expect(time.Since(start)).To(Equal(time.Second))
			s.Crash(time.Second)
			time.Sleep(500 * time.Millisecond)
			g.Expect(call()).To(BeZero())
			time.Sleep(time.Second)
			g.Expect(call()).To(Equal(http.StatusOK))
		})
	})

	It("crashes when a timer that was set before Run fires", func() {
		crash := func(s *service.Service) { time.AfterFunc(time.Second, func() { s.Crash(time.Second) }) }
		with(crash, func(g *WithT, _ *service.Service, call func() int) {
			time.Sleep(1500 * time.Millisecond)
			g.Expect(call()).To(BeZero())
			time.Sleep(time.Second)
			g.Expect(call()).To(Equal(http.StatusOK))
		})
	})
})
