// Package host wraps the network of one process, to simulate the death of the
// process and to count the bytes that it sends and receives.
package host

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Purpose is the category under which the bytes of a connection are counted.
type Purpose string

// Host wraps the network of one process. It implements hornbeamstage.Network.
type Host struct {
	// Network is the underlying network. It is set before use.
	Network hbs.Network
	// Classify returns the purpose of a connection by the address that was listened on
	// or dialled. If it is nil, all connections have the purpose "".
	Classify func(addr netip.AddrPort) Purpose

	mu        sync.Mutex
	dead      bool
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	bytes     map[Purpose]*atomic.Int64
}

// Listen implements hornbeamstage.Network.
func (h *Host) Listen(addr netip.AddrPort) (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return nil, syscall.ENETDOWN
	}
	l, err := h.Network.Listen(addr)
	if err != nil {
		return nil, err
	}
	if h.listeners == nil {
		h.listeners = map[net.Listener]struct{}{}
	}
	h.listeners[l] = struct{}{}
	return &listener{Listener: l, host: h, addr: addr}, nil
}

// Dial implements hornbeamstage.Network.
func (h *Host) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	h.mu.Lock()
	dead := h.dead
	h.mu.Unlock()
	if dead {
		return nil, syscall.ENETDOWN
	}
	c, err := h.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return h.register(c, addr)
}

// Kill resets all connections and closes all listeners, as the sudden death of the
// process does. Afterwards the host neither accepts nor dials connections.
func (h *Host) Kill() {
	h.mu.Lock()
	h.dead = true
	listeners, conns := h.listeners, h.conns
	h.listeners, h.conns = nil, nil
	h.mu.Unlock()
	for l := range listeners {
		l.Close()
	}
	for c := range conns {
		reset(c.Conn)
	}
}

// Bytes returns the number of bytes read and written so far, by purpose.
func (h *Host) Bytes() map[Purpose]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := make(map[Purpose]int64, len(h.bytes))
	for p, n := range h.bytes {
		m[p] = n.Load()
	}
	return m
}

func (h *Host) register(c net.Conn, addr netip.AddrPort) (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		reset(c)
		return nil, syscall.ENETDOWN
	}
	w := &conn{Conn: c, host: h, bytes: h.counter(addr)}
	if h.conns == nil {
		h.conns = map[*conn]struct{}{}
	}
	h.conns[w] = struct{}{}
	return w, nil
}

func (h *Host) counter(addr netip.AddrPort) *atomic.Int64 {
	var p Purpose
	if h.Classify != nil {
		p = h.Classify(addr)
	}
	if h.bytes == nil {
		h.bytes = map[Purpose]*atomic.Int64{}
	}
	if h.bytes[p] == nil {
		h.bytes[p] = new(atomic.Int64)
	}
	return h.bytes[p]
}

// reset closes c with a reset, if its network supports that, and else normally.
func reset(c net.Conn) {
	switch c := c.(type) {
	case interface{ Reset() }:
		c.Reset()
	case *net.TCPConn:
		_ = c.SetLinger(0)
		c.Close()
	default:
		c.Close()
	}
}

type listener struct {
	net.Listener
	host *Host
	addr netip.AddrPort
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.host.register(c, l.addr)
}

type conn struct {
	net.Conn
	host  *Host
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}
