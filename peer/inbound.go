package peer

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/stats"

	"github.com/hornbeamstage/hornbeamstage/memory"
)

// errTooMuch is returned for reads from a connection whose unfinished messages exceed
// the memory for peers.
var errTooMuch = errors.New("memory for peers is used up")

const (
	// handshakeTimeout bounds the time until a peer has begun to speak HTTP/2.
	handshakeTimeout = 5 * time.Second
	// unusedTimeout is the time after which a connection without a call is closed.
	unusedTimeout = 2 * time.Minute
	// maxStreams is the number of calls at once on one connection.
	maxStreams = 128
	// messageStep is the size of one reservation for messages, in bytes.
	messageStep = 64 << 10
	// frameBytes is at least what a message takes on the wire beside its text, as one of
	// frameShare of it, in bytes.
	frameBytes, frameShare = 64, 64
)

// inbound are the connections that other instances have opened. Each is counted with the
// part of its messages that is not complete.
type inbound struct {
	memory *memory.Budget

	mu sync.Mutex
	// unproven has the connections on which no message was complete yet, the oldest first.
	unproven list.List
	// open has all connections by the address of the other end.
	open map[string]*inboundConn
}

// inboundConn is a connection that another instance has opened. Its fields are guarded
// by inbound.mu.
type inboundConn struct {
	net.Conn
	all *inbound
	// unproven is its place in inbound.unproven, nil once a message was complete.
	unproven *list.Element
	// streams is the number of calls, unfinished about the bytes of messages that are not
	// complete, and reserved what of them is reserved.
	streams              int
	unfinished, reserved int64
	closed               bool
}

// inboundListener reserves memory for the connections that it accepts.
type inboundListener struct {
	net.Listener
	all *inbound
}

// Accept implements net.Listener.
func (l *inboundListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.all.accept(c); conn != nil {
			return conn, nil
		}
		_ = c.Close()
	}
}

// accept returns c as a connection of a peer, or nil if there is no memory for it. The
// oldest connection without a message is closed in its favour.
func (s *inbound) accept(c net.Conn) *inboundConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.memory.Take(memory.SharePeers, memory.PeerBytes) {
		if !s.closeOldest(nil) {
			return nil
		}
	}
	conn := &inboundConn{Conn: c, all: s}
	conn.unproven = s.unproven.PushBack(conn)
	s.open[c.RemoteAddr().String()] = conn
	return conn
}

// closeOldest closes the oldest connection without a message other than c. The caller
// holds mu.
func (s *inbound) closeOldest(c *inboundConn) bool {
	for e := s.unproven.Front(); e != nil; e = e.Next() {
		if victim := e.Value.(*inboundConn); victim != c {
			s.memory.Reclaimed()
			victim.release()
			_ = victim.Conn.Close()
			return true
		}
	}
	return false
}

// release returns what c has reserved. The caller holds mu.
func (c *inboundConn) release() {
	if c.closed {
		return
	}
	c.closed = true
	c.prove()
	c.all.memory.Release(memory.SharePeers, memory.PeerBytes)
	c.all.memory.Release(memory.SharePeerMessages, c.reserved)
	c.reserved = 0
	delete(c.all.open, c.RemoteAddr().String())
}

// prove notes that a message of the peer was complete. The caller holds mu.
func (c *inboundConn) prove() {
	if c.unproven != nil {
		c.all.unproven.Remove(c.unproven)
		c.unproven = nil
	}
}

// Read implements net.Conn. It reserves memory for messages that are not complete.
func (c *inboundConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.reserve(int64(n)) {
		_ = c.Close()
		return 0, errTooMuch
	}
	return n, err
}

// reserve counts n bytes that were read. It reports whether there is memory for them.
func (c *inboundConn) reserve(n int64) bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.unfinished += n
	for !c.closed && c.unfinished > c.reserved+messageStep {
		if c.all.memory.Take(memory.SharePeerMessages, messageStep) {
			c.reserved += messageStep
		} else if !c.all.closeOldest(c) {
			return false
		}
	}
	return !c.closed
}

// finish notes that n bytes of messages are complete.
func (c *inboundConn) finish(n int64) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.prove()
	c.unfinished = max(0, c.unfinished-n-frameBytes-n/frameShare)
	c.shrink()
}

// shrink returns what is reserved and not needed. The caller holds mu.
func (c *inboundConn) shrink() {
	spare := (c.reserved - c.unfinished) / messageStep * messageStep
	if spare <= 0 || c.closed {
		return
	}
	c.reserved -= spare
	c.all.memory.Release(memory.SharePeerMessages, spare)
}

// changeStreams notes that a call begins or ends. Without one no message is left.
func (c *inboundConn) changeStreams(by int) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.streams += by
	if c.streams == 0 {
		c.unfinished = 0
		c.shrink()
	}
}

// Close implements net.Conn.
func (c *inboundConn) Close() error {
	c.all.mu.Lock()
	c.release()
	c.all.mu.Unlock()
	return c.Conn.Close()
}

// inboundConnKey is the key of the context value that has a call's connection.
type inboundConnKey struct{}

var _ stats.Handler = (*inbound)(nil)

// TagConn implements stats.Handler.
func (s *inbound) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.WithValue(ctx, inboundConnKey{}, s.open[info.RemoteAddr.String()])
}

// TagRPC implements stats.Handler.
func (s *inbound) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (s *inbound) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (s *inbound) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, _ := ctx.Value(inboundConnKey{}).(*inboundConn)
	if c == nil {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		c.changeStreams(1)
	case *stats.InPayload:
		c.finish(int64(e.WireLength))
	case *stats.End:
		c.changeStreams(-1)
	}
}
