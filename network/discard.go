package network

import (
	"io"
	"sync"
	"time"
)

const (
	// discardTime and discardBytes bound what is read and discarded of a request that was
	// answered before all of it was read. Clients that send all of it first would else
	// lose the response.
	discardTime  = 5 * time.Second
	discardBytes = 64 << 20
)

// Close implements net.Conn. If the client may still be sending a request that was
// answered, it first reads on for a while: a reset would take the response with it.
func (c *clientConn) Close() error {
	if c.mustDiscard() {
		c.discard()
	}
	c.all.mu.Lock()
	c.stopWaiting()
	c.release()
	c.phase = phaseClosed
	c.all.mu.Unlock()
	return c.Conn.Close()
}

func (c *clientConn) mustDiscard() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if !c.unread || c.all.closing || c.phase == phaseClosed {
		return false
	}
	c.unread = false
	if c.phase != phaseDiscard {
		c.phase = phaseDiscard
		c.wait(&c.all.owing)
	}
	return true
}

// discardBuffers has the buffers that discard reads to.
var discardBuffers = sync.Pool{New: func() any { return new([16 << 10]byte) }}

// discard tells the client that no more is sent to it, where the connection can, and
// reads until the client closes the connection or for discardTime.
func (c *clientConn) discard() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	p := discardBuffers.Get().(*[16 << 10]byte)
	defer discardBuffers.Put(p)
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{io.LimitReader(c.Conn, discardBytes)}, p[:])
}

// CloseWrite implements the method of net.TCPConn, which net/http looks for. It does
// nothing on a connection that can't close one side.
func (c *clientConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger makes Close reset the connection if sec is 0, as far as it supports that.
func (c *clientConn) SetLinger(sec int) error {
	if sec == 0 {
		c.all.mu.Lock()
		c.unread = false
		c.all.mu.Unlock()
	}
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}
