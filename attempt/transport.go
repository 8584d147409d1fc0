package attempt

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamstage/hornbeamstage/network"
)

// errConnUsed is returned for a second dial (rule 1).
var errConnUsed = errors.New("connection was used before")

// SingleUse returns a transport that uses conn for one request. It cannot open
// another connection.
func SingleUse(conn net.Conn) *network.Transport {
	var used atomic.Bool
	return &network.Transport{Transport: http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errConnUsed
			}
			return network.LimitHeaders(conn), nil
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: network.MaxHeaderBytes,
	}}
}
