package order

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
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
	// OnHeader is called with the header of the response; may be nil.
	OnHeader func(status int, h http.Header)
}

// Do sends the request and returns the status and body of the response. If only
// the body can't be read, the status is returned with the error.
func (c *Call) Do(ctx context.Context) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return 0, nil, err
	}
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	req.Header.Set("Content-Type", "application/json")
	transport := network.NewTransport(guardedNetwork{c.Network, c.Guard})
	transport.DisableKeepAlives = true
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if c.OnHeader != nil {
		c.OnHeader(resp.StatusCode, resp.Header)
	}
	body, err = network.ReadBody(resp.Body, maxStateBytes)
	return resp.StatusCode, body, err
}

// Unguarded is a Guard that allows every write.
func Unguarded(write func() (int, error)) (int, error) { return write() }

// guardedNetwork is a network whose connections pass each write through a guard.
type guardedNetwork struct {
	hbs.Network
	guard Guard
}

// Dial implements hornbeamstage.Network.
func (n guardedNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: n.guard}, nil
}

// guardedConn is a connection that passes each write through a guard.
type guardedConn struct {
	net.Conn
	guard Guard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	return c.guard(func() (int, error) { return c.Conn.Write(p) })
}
