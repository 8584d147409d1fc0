package order_test

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
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/order"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

var _ = Describe("an engine whose response to a call never ends", func() {
	const limit = 2 * time.Second

	// call makes one call within the time limit.
	call := func(r endless.Response, rate endless.Rate) (played endless.Played, err error) {
		played = endless.Play(suiteT, r, rate, func(ctx context.Context, n hbs.Network, engine netip.AddrPort) {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			c := order.Call{Network: n, Address: engine, Method: http.MethodGet, Path: "/state", Guard: order.Unguarded}
			_, _, err = c.Do(ctx)
		})
		return played, err
	}

	for _, name := range slices.Sorted(maps.Keys(endless.Headers)) {
		It("is an error: "+name, func() {
			played, err := call(endless.Headers[name], endless.Fast)
			Expect(err).To(HaveOccurred())
			Expect(played.Sent).To(BeNumerically("<", 256<<10))
			Expect(played.Open).To(BeZero())
		})
	}

	It("is an error, not a shorter body", func() {
		played, err := call(endless.Body("200 OK", "", "{} "), endless.Fast)
		Expect(err).To(MatchError(network.ErrTooLong))
		Expect(played.Took).To(BeNumerically("<", limit))
		Expect(played.Open).To(BeZero())
	})

	It("is an error after the time limit if it arrives slowly", func() {
		played, err := call(endless.Body("200 OK", "", "{} "), endless.Drips)
		Expect(err).To(HaveOccurred())
		Expect(played.Took).To(Equal(limit))
		Expect(played.Open).To(BeZero())
	})
})
