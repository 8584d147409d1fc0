package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	// total accumulates the bytes of connections marked by markPublishing.
	total *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, total: l.total}, nil
}

// countingConn counts the bytes that it reads and writes, headers included.
type countingConn struct {
	net.Conn
	total *atomic.Int64

	mu         sync.Mutex
	publishing bool
	// pending counts the bytes before the call of markPublishing.
	pending int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.add(n)
	return n, err
}

func (c *countingConn) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.publishing {
		c.total.Add(int64(n))
		return
	}
	c.pending += int64(n)
}

// markPublishing marks c as a connection for load reports or cache events. All its
// bytes are added to total, including those transferred before.
func (c *countingConn) markPublishing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total.Add(c.pending)
	c.publishing, c.pending = true, 0
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// markPublishing marks the connection of r as one for load reports or cache events.
func markPublishing(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*countingConn); ok {
		c.markPublishing()
	}
}
