// Package memnet is an in-memory network between failure domains.
//
// Its connections block on channels and timers only, so that a whole fleet
// runs inside one testing/synctest bubble. It delays bytes between domains and
// can cut two domains off from each other, as a lost route does: bytes wait
// and new connections time out, nothing is reset. It can also hold all bytes
// from and to one process, whose timers go on.
package memnet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/network"
)

// firstEphemeralPort numbers the dialling ends of connections.
const firstEphemeralPort = 40000

// Fabric is the network. The zero value has no delay.
type Fabric struct {
	// Delay is the one-way time between two different domains. It is set before use.
	Delay time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	cuts      map[pair]chan struct{}
	holds     map[string]chan struct{}
	dialled   uint32
}

// pair names two domains in either order.
type pair struct{ a, b hbs.DomainName }

func pairOf(a, b hbs.DomainName) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// link is the way of a connection: the domains of its ends, and the names of
// their processes or "".
type link struct {
	pair     pair
	from, to string
}

// Network returns the network as a process in domain sees it.
func (f *Fabric) Network(domain hbs.DomainName) hbs.Network { return f.Process(domain, "") }

// Process returns the network as the named process in domain sees it.
func (f *Fabric) Process(domain hbs.DomainName, name string) hbs.Network {
	return &site{fabric: f, domain: domain, process: name}
}

// Hold keeps back all bytes from and to the named process until Release. Others
// can still connect to it, as the operating system of a stalled process accepts
// connections for it; its own new connections wait.
func (f *Fabric) Hold(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holds == nil {
		f.holds = map[string]chan struct{}{}
	}
	if f.holds[name] == nil {
		f.holds[name] = make(chan struct{})
	}
}

// Release lets the bytes that were held and all later ones through.
func (f *Fabric) Release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if released := f.holds[name]; released != nil {
		close(released)
		delete(f.holds, name)
	}
}

// Cut stops all bytes between a and b until Heal.
func (f *Fabric) Cut(a, b hbs.DomainName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cuts == nil {
		f.cuts = map[pair]chan struct{}{}
	}
	if f.cuts[pairOf(a, b)] == nil {
		f.cuts[pairOf(a, b)] = make(chan struct{})
	}
}

// Heal lets the bytes that waited and all later ones through.
func (f *Fabric) Heal(a, b hbs.DomainName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if healed := f.cuts[pairOf(a, b)]; healed != nil {
		close(healed)
		delete(f.cuts, pairOf(a, b))
	}
}

// blocked returns nil when bytes of a link pass, else a channel that is closed
// when what keeps them back ends.
func (f *Fabric) blocked(l link) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range []chan struct{}{f.cuts[l.pair], f.holds[l.from], f.holds[l.to]} {
		if c != nil {
			return c
		}
	}
	return nil
}

func (f *Fabric) delay(p pair) time.Duration {
	if p.a == p.b {
		return 0
	}
	return f.Delay
}

// site is the network of one process.
type site struct {
	fabric  *Fabric
	domain  hbs.DomainName
	process string
}

// Listen implements hornbeamstage.Network.
func (s *site) Listen(addr netip.AddrPort) (net.Listener, error) {
	f := s.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listeners[addr] != nil {
		return nil, errors.Wrapf(syscall.EADDRINUSE, "listen on %s", addr)
	}
	l := &listener{
		fabric:   f,
		domain:   s.domain,
		process:  s.process,
		addr:     addr,
		accepted: make(chan net.Conn, acceptBacklog),
		closed:   make(chan struct{}),
	}
	if f.listeners == nil {
		f.listeners = map[netip.AddrPort]*listener{}
	}
	f.listeners[addr] = l
	return l, nil
}

// Dial implements hornbeamstage.Network.
func (s *site) Dial(ctx context.Context, addr netip.AddrPort) (conn net.Conn, err error) {
	defer func() { err = errors.Wrapf(err, "dial %s", addr) }()
	ctx, cancel := context.WithTimeout(ctx, network.DialTimeout)
	defer cancel()
	l, local, err := s.find(addr)
	if err != nil {
		return nil, err
	}
	way := link{pairOf(s.domain, l.domain), s.process, l.process}
	if err := s.crossTo(ctx, way.pair); err != nil {
		return nil, err
	}
	near, far := newConnPair(s.fabric, way, local, addr)
	if !l.offer(far) {
		return nil, syscall.ECONNREFUSED
	}
	return near, nil
}

func (s *site) find(addr netip.AddrPort) (*listener, netip.AddrPort, error) {
	f := s.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.listeners[addr]
	if l == nil {
		return nil, netip.AddrPort{}, syscall.ECONNREFUSED
	}
	f.dialled++
	host := netip.AddrFrom4([4]byte{10, 255, byte(f.dialled >> 22), byte(f.dialled >> 14)})
	return l, netip.AddrPortFrom(host, firstEphemeralPort+uint16(f.dialled&0x3fff)), nil
}

// crossTo waits for one round trip of the pair.
func (s *site) crossTo(ctx context.Context, p pair) error {
	for {
		passes := s.fabric.blocked(link{p, s.process, ""})
		if passes == nil {
			break
		}
		select {
		case <-passes:
		case <-ctx.Done():
			return dialError(ctx)
		}
	}
	d := 2 * s.fabric.delay(p)
	if d == 0 {
		return ctx.Err()
	}
	if delay.For(ctx, d) != nil {
		return dialError(ctx)
	}
	return nil
}

// dialError is what a dialler of the operating system returns when ctx ends.
func dialError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return os.ErrDeadlineExceeded
	}
	return ctx.Err()
}
