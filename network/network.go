// Package network implements hornbeamstage.Network with TCP, and HTTP transports and
// servers on top of such a network.
package network

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
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
