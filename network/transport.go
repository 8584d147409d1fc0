package network

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// ErrSwitchedProtocol is returned for a response that switches to another protocol.
var ErrSwitchedProtocol = errors.New("response switches protocols")

// Transport is an HTTP transport with which all calls over HTTP/1 are made. None of them
// asks for another protocol.
type Transport struct {
	// Transport must dial connections of LimitHeaders.
	http.Transport
	// ReserveHeader is called with about the memory that the header of a response takes,
	// in bytes, again and again while it is read. An error ends the call; may be nil.
	ReserveHeader func(memory int) error
}

// RoundTrip implements http.RoundTripper. A response that switches protocols is an
// error: net/http leaves its connection to the caller, and the end of the request's
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
	if err != nil || res.StatusCode != http.StatusSwitchingProtocols {
		return res, err
	}
	_ = res.Body.Close()
	return nil, ErrSwitchedProtocol
}

// NewTransport returns a transport whose connections are opened by n. It reuses
// connections, does not request compression and bounds the headers of responses.
func NewTransport(n hbs.Network) *Transport {
	return &Transport{Transport: http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ap, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, errors.Wrapf(err, "address %q", addr)
			}
			conn, err := n.Dial(ctx, ap)
			if err != nil {
				return nil, err
			}
			return LimitHeaders(conn), nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        30 * time.Second,
	}}
}
