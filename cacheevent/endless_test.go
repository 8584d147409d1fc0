package cacheevent_test

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/cacheevent"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

var _ = Describe("an engine whose response never ends", func() {
	responses := map[string]endless.Response{
		"a line without an end":   endless.Body("200 OK", "", "x"),
		"an event without an end": endless.Body("200 OK", "", "data: x\n"),
	}
	maps.Copy(responses, endless.Headers)

	// play runs a reader without a budget for a minute.
	play := func(r endless.Response, rate endless.Rate) endless.Played {
		return endless.Play(suiteT, r, rate, func(ctx context.Context, n hbs.Network, server netip.AddrPort) {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			transport := network.NewTransport(n)
			defer transport.CloseIdleConnections()
			reader := cacheevent.Reader{
				Client: &http.Client{Transport: transport}, Endpoint: hbs.Endpoint{ID: "e", Address: server},
				OnEvent: func(cacheevent.Event) { Fail("an event was read") },
			}
			_ = reader.Run(ctx)
		})
	}

	for _, name := range slices.Sorted(maps.Keys(responses)) {
		It("is given up and read again: "+name, func() {
			played := play(responses[name], endless.Fast)
			Expect(played.Connections).To(BeNumerically(">", 3))
			Expect(played.Sent).To(BeNumerically("<", played.Connections*(256<<10)))
			Expect(played.Open).To(BeZero())
		})

		It("is given up and read again if it arrives slowly: "+name, func() {
			played := play(responses[name], endless.Drips)
			Expect(played.Connections).To(BeNumerically(">", 3))
			Expect(played.Open).To(BeZero())
		})
	}
})
