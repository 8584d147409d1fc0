// Package memnet is an in-memory network between failure domains.
//
// Its connections block on channels and timers only, so that a whole fleet can run
// inside one testing/synctest bubble. It delays bytes between domains and can
// partition two domains as a lost route does: bytes are delayed until the partition
// ends and new connections time out, but nothing is reset. It can also hold all
// bytes from and to one process, whose timers continue.
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

// firstEphemeralPort is the lowest port of the dialling ends of connections.
const firstEphemeralPort = 40000

// Fabric is the network. The zero value is ready to use and has no delay.
type Fabric struct {
	// Delay is the one-way latency between two different domains. It is set before use.
	Delay time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	cuts      map[pair]chan struct{}
	held      map[string]chan struct{}
	dialled   uint32
}

// pair is an unordered pair of domains; pairOf sorts them.
type pair struct{ a, b hbs.DomainName }

func pairOf(a, b hbs.DomainName) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// link identifies the path of a connection: the domains of its ends, and the names
// of their processes, empty for a process without a name.
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

// Hold delays all bytes from and to the named process until Release. Others can
// still connect to it, as the operating system completes connections for a stalled
// process; connections that the process itself dials wait.
func (f *Fabric) Hold(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == nil {
		f.held = map[string]chan struct{}{}
	}
	if f.held[name] == nil {
		f.held[name] = make(chan struct{})
	}
}

// Release ends Hold: delivery of the held bytes and of later ones resumes.
func (f *Fabric) Release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if released := f.held[name]; released != nil {
		close(released)
		delete(f.held, name)
	}
}

// Partition partitions a and b: bytes between them are delayed until Heal.
func (f *Fabric) Partition(a, b hbs.DomainName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cuts == nil {
		f.cuts = map[pair]chan struct{}{}
	}
	if f.cuts[pairOf(a, b)] == nil {
		f.cuts[pairOf(a, b)] = make(chan struct{})
	}
}

// Heal ends a partition: delivery of the delayed bytes and of later ones resumes.
func (f *Fabric) Heal(a, b hbs.DomainName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if healed := f.cuts[pairOf(a, b)]; healed != nil {
		close(healed)
		delete(f.cuts, pairOf(a, b))
	}
}

// blocked returns nil if l is open, else a channel that is closed when the partition
// or hold that blocks it ends. Another one may block it then.
func (f *Fabric) blocked(l link) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range []chan struct{}{f.cuts[l.pair], f.held[l.from], f.held[l.to]} {
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
		fabric:  f,
		domain:  s.domain,
		process: s.process,
		addr:    addr,
		backlog: make(chan net.Conn, acceptBacklog),
		closed:  make(chan struct{}),
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
	path := link{pairOf(s.domain, l.domain), s.process, l.process}
	if err := s.handshake(ctx, path.pair); err != nil {
		return nil, err
	}
	near, far := newConnPair(s.fabric, path, local, addr)
	if !l.enqueue(far) {
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

// handshake waits until neither a partition of the domains nor a hold of the dialling
// process blocks the link, and then for one round trip.
func (s *site) handshake(ctx context.Context, p pair) error {
	for {
		unblocked := s.fabric.blocked(link{p, s.process, ""})
		if unblocked == nil {
			break
		}
		select {
		case <-unblocked:
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

// dialError returns an error like that of net.Dialer when ctx ends: a timeout if the
// deadline passed.
func dialError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return os.ErrDeadlineExceeded
	}
	return ctx.Err()
}
