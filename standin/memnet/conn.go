package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	in, out       *stream
	local, remote netip.AddrPort
	once          sync.Once
	// abandons is set if Close resets the connection.
	abandons atomic.Bool
}

func newConnPair(f *Fabric, path link, local, remote netip.AddrPort) (near, far *conn) {
	up := newStream(f, path)
	down := newStream(f, path)
	near = &conn{in: down, out: up, local: local, remote: remote}
	far = &conn{in: up, out: down, local: remote, remote: local}
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn. It copies the bytes to an unbounded buffer and never
// blocks.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// SetLinger makes Close reset the connection if sec is 0, as that of net.TCPConn
// does.
func (c *conn) SetLinger(sec int) error {
	c.abandons.Store(sec == 0)
	return nil
}

// Close implements net.Conn. The other end reads the bytes already written, then
// EOF.
func (c *conn) Close() error {
	if c.abandons.Load() {
		c.Reset()
	}
	c.once.Do(func() {
		c.out.closeWriter(io.EOF)
		c.in.closeReader()
	})
	return nil
}

// Reset ends the connection like a crash of the process at this end: the other end
// gets a reset error and loses the bytes that it has not read.
func (c *conn) Reset() {
	c.once.Do(func() {
		c.out.reset()
		c.in.closeReader()
	})
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn. It does nothing, since writes don't block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection. At most one goroutine may read it at a
// time.
type stream struct {
	fabric *Fabric
	path   link
	delay  time.Duration
	// changed is a channel of capacity 1 that wakes a waiting reader after a change.
	changed chan struct{}

	mu       sync.Mutex
	chunks   []chunk
	deadline time.Time
	// err is returned to the reader after all chunks; nil while the writer is open.
	err error
	// readerClosed is when the reader's end was closed; zero while it is open.
	readerClosed time.Time
}

// chunk holds the bytes of one write and the time at which they reach the reader.
type chunk struct {
	due  time.Time
	data []byte
}

func newStream(f *Fabric, path link) *stream {
	return &stream{fabric: f, path: path, delay: f.delay(path.pair), changed: make(chan struct{}, 1)}
}

func (s *stream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return 0, net.ErrClosed
	case s.readerClosed.IsZero():
	case time.Since(s.readerClosed) < s.delay || s.fabric.blocked(s.path) != nil:
		return len(p), nil // the close has not reached the writer yet
	default:
		return 0, syscall.EPIPE
	}
	c := chunk{data: append([]byte(nil), p...)}
	if s.delay > 0 {
		c.due = time.Now().Add(s.delay)
	}
	s.chunks = append(s.chunks, c)
	s.signal()
	return len(p), nil
}

func (s *stream) read(p []byte) (int, error) {
	for {
		n, wait, err := s.tryRead(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		s.waitForChange(wait)
	}
}

// tryRead copies bytes that are due to p, or returns an error, or how long to wait
// before the next try; a wait of 0 means until changed is signaled.
func (s *stream) tryRead(p []byte) (n int, wait time.Duration, err error) {
	blocked := s.fabric.blocked(s.path) != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readerClosed.IsZero() {
		return 0, 0, net.ErrClosed
	}
	now := time.Now()
	if !s.deadline.IsZero() {
		wait = s.deadline.Sub(now)
		if wait <= 0 {
			return 0, 0, os.ErrDeadlineExceeded
		}
	}
	if blocked {
		return 0, earlier(wait, blockedPoll), nil
	}
	if len(s.chunks) == 0 {
		return 0, wait, s.err
	}
	if c := s.chunks[0]; c.due.After(now) {
		return 0, earlier(wait, c.due.Sub(now)), nil
	}
	return s.copyDue(p, now), 0, nil
}

// blockedPoll is the interval at which a reader of a blocked link checks whether it
// still is blocked.
const blockedPoll = 50 * time.Millisecond

func earlier(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func (s *stream) copyDue(p []byte, now time.Time) (n int) {
	for n < len(p) && len(s.chunks) > 0 && !s.chunks[0].due.After(now) {
		c := &s.chunks[0]
		k := copy(p[n:], c.data)
		n += k
		c.data = c.data[k:]
		if len(c.data) > 0 {
			break
		}
		s.chunks[0] = chunk{}
		s.chunks = s.chunks[1:]
	}
	return n
}

func (s *stream) waitForChange(wait time.Duration) {
	if wait == 0 {
		<-s.changed
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-s.changed:
	case <-t.C:
	}
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.signal()
}

func (s *stream) closeWriter(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.signal()
}

func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks = nil
	s.err = syscall.ECONNRESET
	s.signal()
}

func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerClosed = time.Now()
	s.chunks = nil
	s.signal()
}
