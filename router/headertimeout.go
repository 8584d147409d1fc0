package router

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
)

// timeoutListener wraps accepted connections in a timeoutConn.
type timeoutListener struct {
	net.Listener
	// onRefused is called for each connection on which a 408 was written.
	onRefused func()
}

// Accept implements net.Listener.
func (l *timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: c, onRefused: l.onRefused}, nil
}

// timeoutConn writes a 408 response when the server's read deadline for a request
// header expires.
//
// The server of net/http closes such a connection without a response. A request
// that the client sends just before it notices the close, as happens on connections
// opened in advance, would get no outcome although it never ran.
type timeoutConn struct {
	net.Conn
	onRefused func()
	// serving is set from the end of a request's header to the end of its response.
	// During that time the server itself interrupts reads by setting deadlines, which
	// are not header timeouts.
	serving atomic.Bool
	// refuseOnce limits the response to one, since the server reads again after a
	// timeout.
	refuseOnce sync.Once
}

// Read implements net.Conn.
func (c *timeoutConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.serving.Load() {
		c.refuseOnce.Do(c.answerTimeout)
	}
	return n, err
}

// SetLinger makes Close reset the connection if sec is 0. See network.Abort.
func (c *timeoutConn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// CloseWrite closes the side on which the server sends, as far as the connection can.
func (c *timeoutConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// answerTimeout writes a 408 response with the outcome not_run.
func (c *timeoutConn) answerTimeout() {
	refusal := hbs.NotRun(hbs.ReasonHeaderTimeout, "", 0)
	if caller.RefusalResponse(refusal).Write(c.Conn) == nil {
		c.onRefused()
	}
}

// trackConnState updates serving. It is the ConnState hook of the http.Server.
func trackConnState(c net.Conn, s http.ConnState) {
	if tc, ok := c.(*timeoutConn); ok {
		tc.serving.Store(s == http.StateActive)
	}
}
