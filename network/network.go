// Package network implements hornbeamstage.Network with TCP, and HTTP transports and
// servers on top of such a network.
package network

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// DialTimeout is the timeout of a connection attempt.
const DialTimeout = time.Second

// keepAlive detects a dead connection about 3 s after the last packet from the
// peer. Its resolution is whole seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// TCP is the operating system's network.
type TCP struct{}

// Listen implements hornbeamstage.Network.
func (TCP) Listen(addr netip.AddrPort) (l net.Listener, err error) {
	defer func() { err = errors.Wrapf(err, "listen on %s", addr) }()
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}

// Dial implements hornbeamstage.Network.
func (TCP) Dial(ctx context.Context, addr netip.AddrPort) (conn net.Conn, err error) {
	defer func() { err = errors.Wrapf(err, "dial %s", addr) }()
	d := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Transport returns an HTTP transport whose connections are opened by n. It reuses
// connections, does not request compression and bounds the headers of responses.
func Transport(n hbs.Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ap, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, errors.Wrapf(err, "address %q", addr)
			}
			return n.Dial(ctx, ap)
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        30 * time.Second,
	}
}
