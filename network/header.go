package network

import (
	"bytes"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// MaxHeaderBytes bounds the text of the header of a response, interim responses
	// included, in bytes.
	MaxHeaderBytes = 64 << 10
	// maxHeaderMemory bounds the memory of a header, in bytes.
	maxHeaderMemory = 128 << 10
	// headerLineMemory is about what net/http takes for one line of a header beside its
	// text, in bytes.
	headerLineMemory = 256
)

// ErrHeaderTooLarge is returned for a response header that takes too much memory. Short
// lines take many times the memory of their text.
var ErrHeaderTooLarge = errors.New("response header takes too much memory")

// headerConn is a connection that bounds the memory of the response headers that are read
// from it.
type headerConn struct {
	net.Conn
	writes requestWrites

	mu sync.Mutex
	// reading is set while a header is read. Nothing else is counted.
	reading bool
	// memory is about what the header takes so far, in bytes, without last, which is what
	// the last read added. That may include a part of the body: whether the header went
	// on is known when more is read.
	memory, last int
	// reserve is Transport.ReserveHeader.
	reserve func(memory int) error
	// err is the error that ended the header. All further reads return it, too: a reader
	// of lines takes what came before it for a whole line, and would go on.
	err error
}

// Read implements net.Conn.
func (c *headerConn) Read(p []byte) (int, error) {
	if err := c.account(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.record(p[:n])
	return n, c.checkEnd(err)
}

// begin is called before the header of a response is read. reserve may be nil.
func (c *headerConn) begin(reserve func(memory int) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.memory, c.last, c.reserve, c.err = true, 0, 0, reserve, nil
}

// end is called when the header was read or given up. reserve isn't called any more. It
// returns the error of a header that took too much memory, which net/http may take for
// that of a malformed one.
func (c *headerConn) end() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	return c.err
}

// account adds the last read to the memory of the header if that goes on.
func (c *headerConn) account() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || !c.reading || c.last == 0 {
		return c.err
	}
	c.memory += c.last
	c.last = 0
	switch {
	case c.memory > maxHeaderMemory:
		c.err = ErrHeaderTooLarge
	case c.reserve != nil:
		c.err = c.reserve(c.memory)
	}
	return c.err
}

// record notes what was read.
func (c *headerConn) record(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.last = len(p) + headerLineMemory*bytes.Count(p, []byte{'\n'})
	}
}
