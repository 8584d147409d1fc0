package network

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// ErrSwitchedProtocol is returned for a response that switches to another protocol.
var ErrSwitchedProtocol = errors.New("response switches protocols")

// ErrNoStatus is returned for a response whose status is none of HTTP.
var ErrNoStatus = errors.New("response has no valid status")

// errConnUsed is returned for a second dial of a transport for one request.
var errConnUsed = errors.New("connection was used before")

const (
	// maxIdleConnections is the number of idle connections that are kept to one address,
	// idleTimeout how long they are kept.
	maxIdleConnections = 64
	idleTimeout        = 30 * time.Second
)

// Transport is an HTTP transport with which all calls over HTTP/1 are made. None of them
// asks for another protocol. NewTransport and NewSingleUseTransport make one.
type Transport struct {
	http.Transport
	// ReserveHeader is called with about the memory that the header of a response takes,
	// in bytes, again and again while it is read. An error ends the call; may be nil.
	ReserveHeader func(memory int) error
}

// RoundTrip implements http.RoundTripper. A response with a status that is none, which
// net/http can't write, is an error. So is one that switches protocols: net/http leaves its connection to the caller, and the end of the request's
// context no longer ends reads of its body.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *headerConn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*headerConn); ok {
			conn = c
			c.begin(t.ReserveHeader)
		}
	}})
	res, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if conn != nil {
		if tooLarge := conn.end(); tooLarge != nil && err != nil {
			return nil, tooLarge
		}
	}
	if err != nil {
		return nil, err
	}
	if err := checkStatus(res.StatusCode); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// checkStatus returns an error for a status that ends no request.
func checkStatus(status int) error {
	const firstFinal, last = 200, 599
	switch {
	case status == http.StatusSwitchingProtocols:
		return ErrSwitchedProtocol
	case status < firstFinal || status > last:
		return ErrNoStatus
	}
	return nil
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// newTransport returns a transport that opens its connections by dial, does not request
// compression and bounds the headers of responses.
func newTransport(dial dialFunc) *Transport {
	return &Transport{Transport: http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &headerConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	}}
}

// NewTransport returns a transport whose connections are opened by n and reused. It does
// not request compression and bounds the headers of responses.
func NewTransport(n hbs.Network) *Transport {
	t := newTransport(func(ctx context.Context, address string) (net.Conn, error) {
		ap, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Wrapf(err, "address %q", address)
		}
		return n.Dial(ctx, ap)
	})
	t.MaxIdleConnsPerHost = maxIdleConnections
	t.IdleConnTimeout = idleTimeout
	return t
}

// NewSingleUseTransport returns a transport that uses conn for one request. It cannot
// open another connection: a second dial fails with errConnUsed.
func NewSingleUseTransport(conn net.Conn) *Transport {
	var used atomic.Bool
	t := newTransport(func(context.Context, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errConnUsed
		}
		return conn, nil
	})
	t.DisableKeepAlives = true
	return t
}
