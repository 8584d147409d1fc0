package load_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
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
	DescribeTable("reads endpoints at their interval, less often when they are many, over lasting connections",
		func(endpoints, perSecond int) {
			const seconds = 30
			var reads, connections atomic.Int64
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				n := (&memnet.Fabric{}).Network("a")
				at := netip.MustParseAddrPort("10.0.0.1:80")
				l, err := n.Listen(at)
				g.Expect(err).NotTo(HaveOccurred())
				srv := &http.Server{
					Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }),
					ConnContext: func(ctx context.Context, _ net.Conn) context.Context { connections.Add(1); return ctx },
				}
				var wg conc.WaitGroup
				wg.Go(func() { _ = srv.Serve(l) })
				poller := load.Poller{
					Network:   n,
					Interval:  500 * time.Millisecond,
					PerSecond: 6,
					Endpoints: func() []hbs.Endpoint { return slices.Repeat([]hbs.Endpoint{{ID: "e", Address: at}}, endpoints) },
					Take:      func(hbs.Endpoint, load.Report, error) { reads.Add(1) },
				}
				ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second+250*time.Millisecond)
				defer cancel()
				_ = poller.Run(ctx)
				_ = srv.Close()
				wg.Wait()
			})
			// The first round is at the beginning.
			Expect(reads.Load()).To(BeNumerically("~", perSecond*seconds, endpoints))
			Expect(connections.Load()).To(BeNumerically("<=", endpoints))
		},
		Entry("two", 2, 4),
		Entry("three", 3, 6),
		Entry("ten", 10, 6),
	)
})
