package attempt

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errSpent is the error of a second dial (rule 1).
var errSpent = errors.New("connection was used before")

// SingleUse returns a transport whose one connection is conn. It keeps no
// connection and cannot make another.
func SingleUse(conn net.Conn) *http.Transport {
	var used atomic.Bool
	return &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errSpent
			}
			return conn, nil
		},
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}
