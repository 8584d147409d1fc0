package network_test

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

// Guards against an unasked switch of protocols, after which net/http no longer ends
// the reads of a response with the request's context.
var _ = DescribeTable("a transport returns no response that switches protocols", func(r endless.Response) {
	const timeout = time.Second
	var err error
	played := endless.Play(suite, r, endless.Drips, func(ctx context.Context, n hbs.Network, server netip.AddrPort) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, err = getBody(ctx, network.NewTransport(n), server)
	})
	Expect(err).To(MatchError(network.ErrSwitchedProtocol))
	Expect(played.Took).To(BeNumerically("<=", timeout))
	Expect(played.Open).To(BeZero())
},
	Entry("with the header for it", endless.Switched("")),
	Entry("without that header", endless.Body("101 Switching Protocols", "", "x")),
)
