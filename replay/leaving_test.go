package replay_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/replay"
)

// watchList starts naive routers that call got with the platform's first list of
// endpoints that lacks the named one.
func watchList(without string, got func(list string)) replay.Starter {
	start := startNaive(false)
	return func(p replay.Process) replay.Node {
		n := start(p)
		return replay.Node{Stop: n.Stop, Run: func(ctx context.Context) error {
			var wg conc.WaitGroup
			defer wg.Wait()
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			wg.Go(func() {
				for delay.For(ctx, 100*time.Millisecond) == nil {
					if list := endpoints(p); strings.Contains(list, `"items"`) && !strings.Contains(list, without) {
						got(list)
						return
					}
				}
			})
			return n.Run(ctx)
		}}
	}
}

// endpoints returns the platform's list of endpoints as JSON, or the error.
func endpoints(p replay.Process) string {
	transport := network.NewTransport(p.Network)
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("http://" + p.Settings.Platform.Address.String() + "/apis/v1/endpoints")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

var _ = Describe("Faults that make endpoints leave", func() {
	It("remove at their end only the endpoints that they made leave", func() {
		synctest(func(g *WithT) {
			lists := make(chan string, 2)
			r := &replay.Replay{
				Trace: small(), Start: watchList(`"m-01"`, func(l string) { lists <- l }), Seed: 1, Clock: replay.ClockVirtual, Log: zap.NewNop(),
				Faults: []replay.Fault{
					{AtSeconds: 0.5, Kind: replay.FaultEndpointLeaving, Target: "m-01", ForSeconds: 1},
					{AtSeconds: 0.5, Kind: replay.FaultEndpointLeaving, Target: "m-02", ForSeconds: 5},
				},
			}
			_, err := r.Run(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(lists).To(Receive(ContainSubstring(`"m-02"`)))
		})
	})
})
