// Package network implements hornbeamstage.Network with TCP, and HTTP transports and
// servers on top of such a network.
package network

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// DialTimeout is the timeout of a connection attempt.
const DialTimeout = time.Second

// keepAlive detects a dead connection about 3 s after the last packet from the
// peer. Its resolution is whole seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

const (
	// receiveBuffer is the size of the operating system's buffer for bytes of a connection
	// that weren't read yet, sendBuffer that for bytes that weren't sent yet. Else it lets
	// both grow to several megabytes.
	receiveBuffer = 64 << 10
	sendBuffer    = 128 << 10
)

// TCP is the operating system's network.
type TCP struct{}

// Listen implements hornbeamstage.Network. Accepted connections have the buffers of the
// listener.
func (TCP) Listen(addr netip.AddrPort) (l net.Listener, err error) {
	defer func() { err = errors.Wrapf(err, "listen on %s", addr) }()
	c := net.ListenConfig{Control: boundBuffers}
	return c.Listen(context.Background(), "tcp", addr.String())
}

// Dial implements hornbeamstage.Network.
func (TCP) Dial(ctx context.Context, addr netip.AddrPort) (conn net.Conn, err error) {
	defer func() { err = errors.Wrapf(err, "dial %s", addr) }()
	d := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: boundBuffers}
	return d.DialContext(ctx, "tcp", addr.String())
}

// boundBuffers sets the sizes of a socket's buffers. Where that isn't possible, the
// operating system's bounds hold.
func boundBuffers(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
	})
}
