package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	in, out       *stream
	local, remote netip.AddrPort
	once          sync.Once
}

func newConnPair(f *Fabric, way link, local, remote netip.AddrPort) (near, far *conn) {
	up := newStream(f, way)
	down := newStream(f, way)
	near = &conn{in: down, out: up, local: local, remote: remote}
	far = &conn{in: up, out: down, local: remote, remote: local}
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn. The bytes are copied and never block the writer.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn. The other end reads what was written, then EOF.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.end(io.EOF)
		c.in.abandon()
	})
	return nil
}

// Reset ends the connection as a crash of this end's process does: the other
// end sees a reset and loses what it had not read.
func (c *conn) Reset() {
	c.once.Do(func() {
		c.out.reset()
		c.in.abandon()
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

// SetWriteDeadline implements net.Conn. Writes do not block, so it does nothing.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection. One goroutine at a time reads it.
type stream struct {
	fabric *Fabric
	way    link
	delay  time.Duration
	// changed holds a token after every change that a waiting reader must see.
	changed chan struct{}

	mu       sync.Mutex
	chunks   []chunk
	deadline time.Time
	// err is what the reader gets after the chunks; nil while the writer is open.
	err error
	// abandoned is when the reader's end was closed; zero while it is open.
	abandoned time.Time
}

// chunk is the bytes of one write and when they reach the reader.
type chunk struct {
	due  time.Time
	data []byte
}

func newStream(f *Fabric, way link) *stream {
	return &stream{fabric: f, way: way, delay: f.delay(way.pair), changed: make(chan struct{}, 1)}
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
	case s.abandoned.IsZero():
	case time.Since(s.abandoned) < s.delay || s.fabric.blocked(s.way) != nil:
		return len(p), nil // the writer can't know of the close yet
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
		n, wait, err := s.take(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		s.await(wait)
	}
}

// take returns bytes that are due, or an error, or how long to wait; 0 is
// until something changes.
func (s *stream) take(p []byte) (n int, wait time.Duration, err error) {
	blocked := s.fabric.blocked(s.way) != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.abandoned.IsZero() {
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
		return 0, earlier(wait, cutPoll), nil
	}
	if len(s.chunks) == 0 {
		return 0, wait, s.err
	}
	if c := s.chunks[0]; c.due.After(now) {
		return 0, earlier(wait, c.due.Sub(now)), nil
	}
	return s.copyDue(p, now), 0, nil
}

// cutPoll is how often a reader whose bytes are kept back looks whether they
// pass again.
const cutPoll = 50 * time.Millisecond

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

func (s *stream) await(wait time.Duration) {
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

func (s *stream) end(err error) {
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

func (s *stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = time.Now()
	s.chunks = nil
	s.signal()
}
