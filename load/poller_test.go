package load_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/load"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

var _ = Describe("Poller", func() {
	// Each endpoint needs a separate address, as in production. With one shared
	// address, a connection may stay unused until the client's idle timeout closes it.
	DescribeTable("reads each endpoint every Interval, or less often at the rate limit, over persistent connections",
		func(count, perSecond int) {
			const seconds = 60
			var reads atomic.Int64
			connections := make([]atomic.Int64, count)
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				n := (&memnet.Fabric{}).Network("a")
				endpoints := make([]hbs.Endpoint, count)
				var servers []*http.Server
				var wg conc.WaitGroup
				for i := range endpoints {
					at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
					endpoints[i] = hbs.Endpoint{ID: hbs.EndpointID(fmt.Sprintf("e%d", i)), Address: at}
					l, err := n.Listen(at)
					g.Expect(err).NotTo(HaveOccurred())
					srv := &http.Server{
						Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }),
						ConnContext: func(ctx context.Context, _ net.Conn) context.Context { connections[i].Add(1); return ctx },
					}
					servers = append(servers, srv)
					wg.Go(func() { _ = srv.Serve(l) })
				}
				poller := load.Poller{
					Network:        n,
					Interval:       500 * time.Millisecond,
					ReadsPerSecond: 6,
					Endpoints:      func() []hbs.Endpoint { return endpoints },
					OnReport:       func(hbs.Endpoint, load.Report, error) { reads.Add(1) },
				}
				ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second+250*time.Millisecond)
				defer cancel()
				_ = poller.Run(ctx)
				for _, srv := range servers {
					_ = srv.Close()
				}
				wg.Wait()
			})
			// The first round starts at once, which adds up to one read for each endpoint.
			Expect(reads.Load()).To(BeNumerically("~", perSecond*seconds, count))
			for i := range connections {
				Expect(connections[i].Load()).To(BeEquivalentTo(1), "connections to endpoint %d", i)
			}
		},
		Entry("two", 2, 4),
		Entry("three", 3, 6),
		Entry("ten", 10, 6),
	)
})
