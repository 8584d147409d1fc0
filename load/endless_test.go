package load_test

import (
	"context"
	"maps"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/load"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

var _ = It("reads no report from an endpoint whose response never ends, and goes on", func() {
	responses := map[string]endless.Response{"a body without an end": endless.Body("200 OK", "", " ")}
	maps.Copy(responses, endless.Headers)
	for name, r := range responses {
		for _, rate := range []endless.Rate{endless.Fast, endless.Drips} {
			failures := 0
			played := endless.Play(suiteT, r, rate, func(ctx context.Context, n hbs.Network, server netip.AddrPort) {
				ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
				defer cancel()
				p := load.Poller{
					Network: n, Interval: time.Second,
					Endpoints: func() []hbs.Endpoint { return []hbs.Endpoint{{ID: "e", Address: server}} },
					OnReport: func(_ hbs.Endpoint, _ load.Report, err error) {
						Expect(err).To(HaveOccurred(), name)
						failures++
					},
				}
				_ = p.Run(ctx)
			})
			Expect(failures).To(Equal(10), name)
			Expect(played.Sent).To(BeNumerically("<", 10*(256<<10)), name)
			Expect(played.Open).To(BeZero(), name)
		}
	}
})
