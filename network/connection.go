package network

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamstage/hornbeamstage/memory"
)

// ErrReclaimed is returned for the body of a request that took too long while the memory
// for clients was used up.
var ErrReclaimed = errors.New("request was given up, as memory for clients is used up")

const (
	// freeHeader is the memory of a header for which nothing is reserved beside, in bytes.
	freeHeader = 4 << 10
	// aheadBytes is about what the operating system holds of a client that sends while its
	// request runs, in bytes.
	aheadBytes = 2 * receiveBuffer
	// patience is the time for which a client may owe the rest of a request although
	// memory is used up. Within it an upload over a good link is complete.
	patience = time.Second
)

// phase is what a client's connection waits for.
type phase string

const (
	// phaseHeader waits for a request's header, or for its first byte.
	phaseHeader phase = "header"
	// phaseBody waits for the rest of a request's body.
	phaseBody phase = "body"
	// phaseHandler waits for the handler.
	phaseHandler phase = "handler"
	// phaseDiscard waits for the rest of a request that was answered.
	phaseDiscard phase = "discard"
	phaseClosed  phase = "closed"
)

// clientConn is a client's connection. What its client takes is reserved, and the
// connection can be given up while it waits for the client.
type clientConn struct {
	net.Conn
	all *clientConns

	// The following is guarded by all.mu.

	phase phase
	// served is set after the first response.
	served bool
	// begun is set once a byte of the header was read. whole is set when the header
	// has ended, and newlines is the number of line ends at the end of what was read.
	begun, whole bool
	newlines     int
	// header is about the memory of the header, reserved what of it is reserved, in bytes.
	header, reserved int64
	// ahead is reserved for what the client has sent while its request runs, in bytes.
	ahead int64
	// counted is set while memory.ConnectionBytes is reserved.
	counted bool
	// reclaimed is set when the wait for the client was given up.
	reclaimed bool
	// unread is set while the client may still send a part of its request.
	unread bool
	// since is the time from which on the client owes something, waiting its place in the
	// list for that.
	since   time.Time
	waiting *list.Element
	list    *list.List
}

// giveUp ends the wait for the client. A request whose body is being read gets a
// refusal; otherwise the connection is closed. The caller holds mu.
func (c *clientConn) giveUp() {
	c.all.limits.Memory.Reclaimed()
	c.stopWaiting()
	c.reclaimed = true
	if c.phase == phaseBody {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	c.release()
	_ = c.Conn.Close()
}

// wait puts c at the end of a list. The caller holds mu.
func (c *clientConn) wait(l *list.List) {
	c.stopWaiting()
	c.since = time.Now()
	c.list, c.waiting = l, l.PushBack(c)
}

func (c *clientConn) stopWaiting() {
	if c.waiting != nil {
		c.list.Remove(c.waiting)
		c.waiting = nil
	}
}

// release returns what is reserved. The caller holds mu.
func (c *clientConn) release() {
	m := c.all.limits.Memory
	m.Release(memory.ShareHeaders, c.reserved+c.ahead)
	c.reserved, c.header, c.ahead = 0, 0, 0
	if c.counted {
		m.Release(c.all.limits.Share, memory.ConnectionBytes)
		c.counted = false
	}
}

// Read implements net.Conn. It reserves the memory of headers, and of what the client
// sends while its request runs: net/http reads one byte of that. Without memory for it
// the connection is closed.
func (c *clientConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if c.wasReclaimed() {
		return 0, ErrReclaimed
	}
	if n > 0 && !c.reserveAhead() {
		_ = c.Conn.Close()
		return 0, ErrReclaimed
	}
	if err := c.reserve(c.account(p[:n])); err != nil {
		c.refuse()
		// net/http writes nothing after a timeout.
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// reserveAhead reserves what the client may have sent if its request runs. It reports
// whether there was memory for it.
func (c *clientConn) reserveAhead() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.phase != phaseHandler || c.ahead > 0 {
		return true
	}
	m := c.all.limits.Memory
	if !m.Take(memory.ShareHeaders, aheadBytes) {
		m.Reclaimed()
		return false
	}
	c.ahead = aheadBytes
	return true
}

// wasReclaimed reports whether the request whose body is read was given up.
func (c *clientConn) wasReclaimed() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.reclaimed && c.phase == phaseBody
}

// account counts what was read of a header. It returns what has to be reserved for it,
// in bytes.
func (c *clientConn) account(p []byte) (grow int64) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.phase != phaseHeader || c.whole || len(p) == 0 {
		return 0
	}
	if !c.begun && c.served {
		c.wait(&c.all.owing)
	}
	c.begun = true
	c.header += c.countHeader(p)
	const step = 4 << 10
	return max(0, c.header-freeHeader-c.reserved+step-1) / step * step
}

// reserve reserves n bytes for the header.
func (c *clientConn) reserve(n int64) error {
	if n == 0 {
		return nil
	}
	m := c.all.limits.Memory
	if err := m.Reserve(memory.ShareHeaders, n); err != nil {
		return err
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.reclaimed {
		m.Release(memory.ShareHeaders, n)
		return ErrReclaimed
	}
	c.reserved += n
	return nil
}

// headerRefusal is the response to a request for whose header there is no memory.
const headerRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuse answers a request whose header is not read any further.
func (c *clientConn) refuse() {
	if c.Conn.SetWriteDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headerRefusal); err != nil {
		return
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.unread = true
}

// countHeader returns about the memory of the part of p that belongs to a header, in
// bytes.
func (c *clientConn) countHeader(p []byte) (size int64) {
	const emptyLine = 2
	for _, b := range p {
		size++
		switch b {
		case '\n':
			size += headerLineMemory
			c.newlines++
			if c.newlines == emptyLine {
				c.whole = true
				return size
			}
		case '\r':
		default:
			c.newlines = 0
		}
	}
	return size
}

// SetReadDeadline implements net.Conn. It doesn't lift the deadline of a request that
// was given up, and makes that of an idle connection no later than IdleLimit allows.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	if c.reclaimed && c.phase == phaseBody {
		c.all.mu.Unlock()
		return nil
	}
	idle := c.phase == phaseHeader && !c.begun
	c.all.mu.Unlock()
	if limit := c.all.limits.IdleLimit; idle && limit != nil && !t.IsZero() {
		if d := limit(); d > 0 {
			t = earlier(t, time.Now().Add(d))
		}
	}
	return c.Conn.SetReadDeadline(t)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// setState notes what net/http does with the connection. It is called by the ConnState
// hook of the http.Server.
func (c *clientConn) setState(s http.ConnState) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	switch {
	case c.phase == phaseClosed || c.reclaimed:
	case s == http.StateActive:
		c.phase, c.unread = phaseHandler, true
		c.stopWaiting()
	case s == http.StateHijacked:
		c.unread = false
		c.stopWaiting()
	case s == http.StateIdle && !c.unread:
		c.all.limits.Memory.Release(memory.ShareHeaders, c.reserved+c.ahead)
		c.phase, c.served, c.begun, c.whole, c.newlines, c.header, c.reserved, c.ahead = phaseHeader, true, false, false, 0, 0, 0, 0
		c.wait(&c.all.idle)
	}
}

// mustClose reports whether the connection can't be used for a further request, as the
// client may still be sending this one.
func (c *clientConn) mustClose() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.unread || c.reclaimed
}

// enter notes that a handler begins, or refuses it: the connection may have been closed
// just as the request arrived.
func (c *clientConn) enter(hasBody bool) (ok bool) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.reclaimed || c.phase == phaseClosed {
		return false
	}
	c.unread = hasBody
	if hasBody {
		c.phase = phaseBody
		c.wait(&c.all.owing)
	}
	return true
}

// endBody notes that the whole body was read.
func (c *clientConn) endBody() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.unread = false
	if c.phase == phaseBody {
		c.phase = phaseHandler
		c.stopWaiting()
	}
}

// beginDiscard notes that the request is answered, and the rest of it no longer needed.
func (c *clientConn) beginDiscard() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.phase, c.reclaimed = phaseDiscard, false
	c.wait(&c.all.owing)
}
