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

// MaxHeaderBytes bounds the header of a response, interim responses included, in
// bytes.
const MaxHeaderBytes = 64 << 10

// ErrSwitchedProtocol is returned for a response that switches to another protocol.
var ErrSwitchedProtocol = errors.New("response switches protocols")

// Transport is an HTTP transport with which all calls over HTTP/1 are made. None of them
// asks for another protocol.
type Transport struct{ http.Transport }

// RoundTrip implements http.RoundTripper. A response that switches protocols is an
// error: net/http leaves its connection to the caller, and the end of the request's
// context no longer ends reads of its body.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err != nil || res.StatusCode != http.StatusSwitchingProtocols {
		return res, err
	}
	_ = res.Body.Close()
	return nil, ErrSwitchedProtocol
}

// NewTransport returns a transport whose connections are opened by n. It reuses
// connections, does not request compression and bounds the headers of responses.
func NewTransport(n hbs.Network) *Transport {
	return &Transport{http.Transport{
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
	}}
}
