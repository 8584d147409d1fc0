package memnet

import (
	"net"
	"net/netip"
	"sync"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// acceptBacklog is the maximum number of connections that wait to be accepted.
const acceptBacklog = 1024

// listener implements net.Listener.
type listener struct {
	fabric  *Fabric
	domain  hbs.DomainName
	process string
	addr    netip.AddrPort
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// enqueue adds a connection to the backlog. It reports false if the listener is
// closed or the backlog full.
func (l *listener) enqueue(c net.Conn) bool {
	l.fabric.mu.Lock()
	defer l.fabric.mu.Unlock()
	if l.fabric.listeners[l.addr] != l {
		return false
	}
	select {
	case l.backlog <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener. While the process is held, it returns no
// connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return l.awaitRelease(c)
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) awaitRelease(c net.Conn) (net.Conn, error) {
	for {
		held := l.fabric.blocked(link{from: l.process})
		if held == nil {
			return c, nil
		}
		select {
		case <-held:
		case <-l.closed:
			c.Close()
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener. Connections not yet accepted are closed.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.fabric.mu.Lock()
		delete(l.fabric.listeners, l.addr)
		l.fabric.mu.Unlock()
		close(l.closed)
		l.closeBacklog()
	})
	return nil
}

func (l *listener) closeBacklog() {
	for {
		select {
		case c := <-l.backlog:
			c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
