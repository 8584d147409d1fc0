package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hornbeamstage/hornbeamstage/network"
)

// connectTimeout bounds one connection attempt; the round trip to a peer takes
// milliseconds.
const connectTimeout = time.Second

// connPool holds one connection per peer address.
type connPool struct {
	server *Server
	// idleTimeout is the time after which an unused connection is closed; 0
	// disables it.
	idleTimeout time.Duration

	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

func (c *connPool) get(addr netip.AddrPort) (conn *grpc.ClientConn, err error) {
	defer func() { err = errors.Wrapf(err, "connect to %s", addr) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		return conn, nil
	}
	conn, err = grpc.NewClient("passthrough:///"+addr.String(), c.options(addr)...)
	if err != nil {
		return nil, err
	}
	c.conns[addr] = conn
	return conn, nil
}

func (c *connPool) options(addr netip.AddrPort) []grpc.DialOption {
	creds := insecure.NewCredentials()
	if c.server.TLS != nil {
		creds = credentials.NewTLS(c.server.TLS.clientConfig(c.server.verifyServer(addr)))
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return c.server.Network.Dial(ctx, addr)
		}),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(Codec{}), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithMaxHeaderListSize(network.MaxHeaderBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(c.idleTimeout),
	}
}

// drop closes the connection to addr. The next call dials a new one.
func (c *connPool) drop(addr netip.AddrPort) {
	c.mu.Lock()
	conn := c.conns[addr]
	delete(c.conns, addr)
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

func (c *connPool) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		conn.Close()
		delete(c.conns, addr)
	}
}

func (c *connPool) call(ctx context.Context, addr netip.AddrPort, method string, q, a any) error {
	conn, err := c.get(addr)
	if err != nil {
		return err
	}
	return conn.Invoke(withVersion(ctx, Version), method, q, a)
}
