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

// maxStateBytes bounds what is read of an engine's answer.
const maxStateBytes = 1 << 20

// Guard calls write if it may be done, else it returns an error.
type Guard func(write func() (int, error)) (int, error)

// Call is one request to an engine, on a connection of its own, so that nothing
// is sent again behind the guard.
type Call struct {
	Network      hbs.Network
	Address      netip.AddrPort
	Method, Path string
	// Header may be nil.
	Header http.Header
	Body   []byte
	// Guard is asked for each write to the connection (O2, L7).
	Guard Guard
}

// Do makes the call.
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

// Unguarded is the guard of calls that may always be made.
func Unguarded(write func() (int, error)) (int, error) { return write() }

// guardedConn writes under a guard.
type guardedConn struct {
	net.Conn
	guard Guard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	return c.guard(func() (int, error) { return c.Conn.Write(p) })
}
