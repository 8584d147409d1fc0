package endless

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

const (
	// settleTime is how long after the end of a client its connections may take to
	// close.
	settleTime = 2 * time.Second
	// playTime is the time after which the server closes all connections, so that a
	// client which waits for it fails its test.
	playTime = time.Hour
)

// Played is what was seen of a client.
type Played struct {
	// Took is the time until the client returned.
	Took time.Duration
	// Sent is the number of bytes sent by then, Open the number of connections that
	// were not closed soon after it, and Connections the number of all of them.
	Sent, Open, Connections int
}

// Play runs client against a server with the given response, in virtual time on an
// in-memory network.
func Play(t *testing.T, r Response, rate Rate, client func(ctx context.Context, n hbs.Network, server netip.AddrPort)) (out Played) {
	synctest.Test(t, func(t *testing.T) {
		var fabric memnet.Fabric
		n := fabric.Network("d")
		s := &Server{Address: netip.MustParseAddrPort("10.0.0.1:80"), Network: n, Response: r, Rate: rate}
		ctx, cancel := context.WithTimeout(t.Context(), playTime)
		var wg conc.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { _ = s.Run(ctx) })
		synctest.Wait()
		begun := time.Now()
		client(ctx, n, s.Address)
		out.Took, out.Sent = time.Since(begun), s.Sent()
		time.Sleep(settleTime)
		out.Open, out.Connections = s.Open(), s.Connections()
	})
	return out
}

// Sink counts what the caller of an endless response receives. It implements
// hornbeamstage.Sink.
type Sink struct {
	Status, Bytes int
}

var _ hbs.Sink = (*Sink)(nil)

// Start implements hornbeamstage.Sink.
func (s *Sink) Start(status int, _ http.Header) error {
	s.Status = status
	return nil
}

// Write implements hornbeamstage.Sink.
func (s *Sink) Write(p []byte) error {
	s.Bytes += len(p)
	return nil
}
