package converge

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

var _ = DescribeTable("gives up an engine's report that doesn't end", func(r endless.Response, rate endless.Rate) {
	var err error
	played := endless.Play(suite, r, rate, func(ctx context.Context, n hbs.Network, engine netip.AddrPort) {
		ctx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		s := step{Controller: &Controller{Network: n}, engine: hbs.Endpoint{ID: "e", Address: engine}}
		_, err = s.report(ctx)
	})
	Expect(err).To(HaveOccurred())
	Expect(played.Took).To(BeNumerically("<=", callTimeout))
	Expect(played.Open).To(BeZero())
},
	Entry("a header that arrives slowly", endless.HeaderLine, endless.Drips),
	Entry("a body that arrives slowly", endless.Body("200 OK", "", " "), endless.Drips),
	Entry("a body", endless.Body("200 OK", "", " "), endless.Fast),
	Entry("a switch of protocols", endless.Switched(""), endless.Fast),
	Entry("a slow switch of protocols", endless.Switched(""), endless.Drips),
)
