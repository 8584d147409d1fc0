package network

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/hornbeamstage/hornbeamstage/memory"
)

// clientConns are the connections of one listener.
type clientConns struct {
	limits ConnectionLimits

	mu sync.Mutex
	// owing has the connections whose clients owe the rest of a request or their first
	// one, idle those that were served and have no request. Both begin with the
	// connection that has waited longest.
	owing, idle list.List
	// closing is set when all connections are closed.
	closing bool
}

// accept returns c as a client's connection, or nil if there is no memory for it. One
// that has waited longest is closed in its favour.
func (s *clientConns) accept(c net.Conn) *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.limits.Memory.Take(s.limits.Share, memory.ConnectionBytes) {
		if !s.closeOldest() {
			return nil
		}
	}
	conn := &clientConn{Conn: c, all: s, phase: phaseHeader, counted: true}
	conn.wait(&s.owing)
	return conn
}

// closeOldest closes the connection that waits longest for its client: one that owes
// something before one that is idle, but not if it came just now. The caller holds mu.
func (s *clientConns) closeOldest() bool {
	owing, idle := s.owing.Front(), s.idle.Front()
	victim := owing
	if victim == nil || idle != nil && time.Since(victim.Value.(*clientConn).since) < patience {
		victim = idle
	}
	if victim == nil {
		return false
	}
	victim.Value.(*clientConn).giveUp()
	return true
}

// giveUpUploads gives up the requests whose bodies are still being read.
func (s *clientConns) giveUpUploads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.owing.Front(); e != nil; {
		c := e.Value.(*clientConn)
		e = e.Next()
		if c.phase == phaseBody {
			c.giveUp()
		}
	}
}

// reclaim gives up the request of the client that has owed the rest of it longest, for
// patience at least, or closes an idle connection. It reports whether there was one.
func (s *clientConns) reclaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.owing.Front(); e != nil && time.Since(e.Value.(*clientConn).since) >= patience {
		e.Value.(*clientConn).giveUp()
		return true
	}
	if e := s.idle.Front(); e != nil {
		e.Value.(*clientConn).giveUp()
		return true
	}
	return false
}

// stopDiscarding makes connections close at once.
func (s *clientConns) stopDiscarding() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// clientListener reserves memory for the connections that it accepts.
type clientListener struct {
	net.Listener
	conns *clientConns
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.conns.accept(c); conn != nil {
			return conn, nil
		}
		_ = c.Close()
	}
}
