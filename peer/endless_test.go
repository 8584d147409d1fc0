package peer_test

import (
	"context"
	"maps"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/peer"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

// The first frames of an HTTP/2 server: empty settings, and the begin of a header
// block that goes on in continuation frames of 16 bytes each.
const (
	emptySettings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	headersFrame  = "\x00\x00\x01\x01\x00\x00\x00\x00\x01\x88"
	continuation  = "\x00\x00\x10\x09\x00\x00\x00\x00\x01" + "\x40\x01x\x0cxxxxxxxxxxxx"
)

var _ = It("gives up a request to an instance whose response never ends", func() {
	const limit = 3 * time.Second
	responses := map[string]endless.Response{
		"settings": {Repeat: emptySettings},
		"headers":  {Start: emptySettings + headersFrame, Repeat: continuation},
	}
	maps.Copy(responses, endless.Headers)
	for name, r := range responses {
		for _, rate := range []endless.Rate{endless.Fast, endless.Drips} {
			var err error
			played := endless.Play(suite, r, rate, func(ctx context.Context, n hbs.Network, server netip.AddrPort) {
				ctx, cancel := context.WithTimeout(ctx, limit)
				defer cancel()
				s := &peer.Server{
					Self: func() hbs.Instance { return hbs.Instance{ID: "a"} }, Objects: &mirror.Set{}, Network: n,
					Policy: knob.NewFixed(peer.Knobs), Metrics: metrics.NewRegistry(), Log: zap.NewNop(), AllowPlaintext: true,
				}
				_, err = s.Ask(ctx, hbs.Instance{ID: "b", PeerAddress: server}, nil)
			})
			Expect(err).To(HaveOccurred(), name)
			Expect(played.Took).To(BeNumerically("<=", limit), name)
			Expect(played.Open).To(BeZero(), name)
			if name == "headers" {
				Expect(played.Sent).To(BeNumerically("<", played.Connections*(1<<20)), name)
			}
		}
	}
})
