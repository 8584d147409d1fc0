package network

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCut is returned at the end of a connection that was reset while the request was
// still being written.
var ErrCut = errors.New("connection was reset")

// requestWrites are the writes of requests to a connection. The operating system tells
// a reset once: if a write learns of it, the next read finds nothing but the end of the
// connection, and a response without a length looks complete.
type requestWrites struct {
	// mu is locked during a write.
	mu sync.Mutex
	// failed is set after a write that failed for another reason than its deadline.
	failed bool
}

// Write implements net.Conn.
func (c *headerConn) Write(p []byte) (n int, err error) {
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	n, err = c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writes.failed = true
	}
	return n, err
}

// checkEnd returns the error of a read that returned err: ErrCut in place of io.EOF if
// the connection was reset. A write that still waits for the other end is given up: one
// that learned of the reset has its error already.
func (c *headerConn) checkEnd(err error) error {
	if err != io.EOF {
		return err
	}
	// This fails on a connection that was closed, where no write waits.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	if c.writes.failed {
		return ErrCut
	}
	return err
}
