package order

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// maxStateBytes is the maximum number of bytes read of an engine's response.
const maxStateBytes = 1 << 20

// Guard calls write if the write is allowed, and otherwise returns an error.
type Guard func(write func() (int, error)) (int, error)

// Call is one request to an engine. It uses a new connection, so that the HTTP
// transport never retries it without another check by the guard.
type Call struct {
	Network      hbs.Network
	Address      netip.AddrPort
	Method, Path string
	// Header may be nil.
	Header http.Header
	Body   []byte
	// Guard is called for each write to the connection (O2, and L7 of package
	// lease).
	Guard Guard
}

// Do sends the request and returns the status and body of the response.
func (c *Call) Do(ctx context.Context) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return 0, nil, err
	}
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	req.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		conn, err := c.Network.Dial(ctx, c.Address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, guard: c.Guard}, nil
	}}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	return resp.StatusCode, body, err
}

// Unguarded is a Guard that allows every write.
func Unguarded(write func() (int, error)) (int, error) { return write() }

// guardedConn is a connection that passes each write through a guard.
type guardedConn struct {
	net.Conn
	guard Guard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	return c.guard(func() (int, error) { return c.Conn.Write(p) })
}
