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

// headerListener accepts headerConns.
type headerListener struct {
	net.Listener
	// refused is called for each connection that was answered 408.
	refused func()
}

// Accept implements net.Listener.
func (l *headerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerConn{Conn: c, refused: l.refused}, nil
}

// headerConn answers 408 when the server gives up the wait for a request.
//
// The server of net/http closes such a connection without a word. A request
// that crosses the close, which happens to connections that are opened ahead of
// use, would then be lost without an outcome, although it never ran.
type headerConn struct {
	net.Conn
	refused func()
	// serving is set from the end of a request's header to that of its answer.
	// The server's own interruptions of reads fall into that time.
	serving atomic.Bool
	// once answers no more than once: the server reads again after a timeout.
	once sync.Once
}

// Read implements net.Conn.
func (c *headerConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.serving.Load() {
		c.once.Do(c.refuse)
	}
	return n, err
}

func (c *headerConn) refuse() {
	r := hbs.NotRun(hbs.ReasonHeaderTimeout, "", 0)
	if caller.RefusalResponse(r).Write(c.Conn) == nil {
		c.refused()
	}
}

// noteState follows the server's connections; it is an http.Server's ConnState.
func noteState(c net.Conn, s http.ConnState) {
	if h, ok := c.(*headerConn); ok {
		h.serving.Store(s == http.StateActive)
	}
}
