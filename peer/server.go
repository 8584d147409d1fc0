package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/network"
)

// Server exchanges heartbeats, digests and updates with other instances.
type Server struct {
	// Self returns this instance's record; its domain and peer address do not
	// change. Not nil.
	Self func() hbs.Instance
	// Seeds are peer addresses to contact while no instance is known there.
	Seeds []netip.AddrPort
	// Objects are the mirrored objects to synchronize with other instances.
	Objects *mirror.Set
	// Sections are the digests to exchange. Names are unique.
	Sections []hbs.Section
	Network  hbs.Network
	Policy   hbs.Policy
	Metrics  metrics.Registry
	Log      *zap.Logger
	// TLS is nil for plaintext connections, which are only allowed on a loopback
	// address unless AllowPlaintext is set.
	TLS            *TLS
	AllowPlaintext bool
	// HandleAsk handles the requests that other instances send with Ask. It returns
	// an error if data can't be decoded. If nil, requests are rejected.
	HandleAsk func(from hbs.InstanceID, data []byte) ([]byte, error)
	// Memory bounds what connections and messages of other instances take; nil means no
	// bound.
	Memory *memory.Budget
	// Rand is the source of the heartbeat jitter. Not nil.
	Rand *rand.Rand

	once             sync.Once
	identityFailures *identityFailures
	members          *members
	conns            *connPool
	askConns         *connPool
	relays           *relayQueues
	pullQueue        chan pullTask
	// forwardQueue holds the pushes to forward. The group of a push that starts
	// at this instance is the whole domain.
	forwardQueue chan Push
	// regionKindSeen is set once a peer stores or pulls the kind of this
	// instance's region.
	regionKindSeen atomic.Bool
	// pulled is set when a pull brought updates; the next heartbeat resets it.
	pulled atomic.Bool
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.TLS != nil {
			s.TLS.OnReload = s.logReload
		}
		s.members = newMembers(s)
		s.identityFailures = &identityFailures{byAddr: map[string]string{}}
		s.conns = &connPool{server: s, conns: map[netip.AddrPort]*grpc.ClientConn{}}
		s.askConns = &connPool{server: s, conns: map[netip.AddrPort]*grpc.ClientConn{}, idleTimeout: askIdleTimeout}
		s.relays = &relayQueues{dropped: s.counter(meterRelayDropped)}
		s.pullQueue = make(chan pullTask, pullBacklog)
		s.forwardQueue = make(chan Push, forwardBacklog)
	})
}

// Run listens on the peer address and runs the exchange until ctx ends.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "peer server") }()
	s.init()
	if err := s.checkPlaintext(); err != nil {
		return err
	}
	listener, err := s.Network.Listen(s.Self().PeerAddress)
	if err != nil {
		return err
	}
	connections := &inbound{memory: s.Memory, open: map[string]*inboundConn{}}
	listener = &inboundListener{Listener: listener, all: connections}
	server := s.newServer(connections)
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	tasks.Go(func(ctx context.Context) error { return serve(ctx, server, listener) })
	tasks.Go(s.sendHeartbeats)
	tasks.Go(s.runPulls)
	tasks.Go(s.runForwards)
	tasks.Go(s.bootstrap)
	err = tasks.Wait()
	s.conns.closeAll()
	s.askConns.closeAll()
	return err
}

// checkPlaintext checks the TLS files. Without TLS it returns an error if the
// peer address can be reached from other machines, unless AllowPlaintext is
// set.
func (s *Server) checkPlaintext() error {
	if s.TLS != nil {
		return s.TLS.Check()
	}
	addr := s.Self().PeerAddress
	if !addr.Addr().IsLoopback() && !s.AllowPlaintext {
		return errors.Newf("no keys are set and %s is not a loopback address; set tls.certificate, tls.key and tls.authority, or tls.allow_plain", addr)
	}
	s.Log.Warn("connections between peers are not encrypted", zap.Stringer("address", addr))
	return nil
}

// OperatorConfig returns the TLS configuration of the operators' listener, which
// uses the same keys as connections between instances. If mutual, clients need a
// certificate of the authority, which need not name an instance. It returns an
// error if TLS is nil or its files are unusable.
func (s *Server) OperatorConfig(mutual bool) (*tls.Config, error) {
	s.init()
	if s.TLS == nil {
		return nil, errors.New("TLS for operators needs tls.certificate, tls.key and tls.authority")
	}
	return s.TLS.operatorConfig(mutual), s.TLS.Check()
}

// logReload logs a failed reload of the TLS files, and the end of the failure if
// err is nil.
func (s *Server) logReload(err error) {
	if err == nil {
		s.Log.Info("changed keys are in use")
		return
	}
	s.counter(meterKeysUnusable).Inc(1)
	s.Log.Error("changed keys are unusable; the previous keys stay in use", zap.Error(err))
}

// windowBytes is the flow-control window. If it is not set, gRPC measures the
// bandwidth-delay product with a ping for each message, which costs as many bytes
// as a small heartbeat.
const windowBytes = 1 << 20

func (s *Server) newServer(connections *inbound) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.ForceServerCodec(Codec{}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(network.MaxHeaderBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: unusedTimeout}),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.StatsHandler(connections),
		grpc.UnaryInterceptor(checkUnary),
		grpc.StreamInterceptor(checkStream),
	}
	if s.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(s.TLS.serverConfig(s.verifyClient))))
	}
	server := grpc.NewServer(options...)
	server.RegisterService(&serviceDesc, &handler{s})
	return server
}

// serve runs server until ctx ends. Streams are then closed at once rather than
// gracefully, since senders reopen them anyway.
func serve(ctx context.Context, server *grpc.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve")
	}
	server.Stop()
	return ctx.Err()
}

// Alive returns the live instances that send heartbeats to this one, and this
// one, sorted by ID. Leaving instances are included.
func (s *Server) Alive() []hbs.Instance {
	s.init()
	return s.members.alive()
}

// IsRepresentative reports whether this instance is one of its domain's
// representatives, which are also the instances that watch the platform.
func (s *Server) IsRepresentative() bool {
	s.init()
	return s.members.rank() < s.representativeCount()
}

// representativeCount returns the configured number of representatives of the
// domain.
func (s *Server) representativeCount() int {
	return int(s.Policy.Number(mirror.KnobWatchers, hbs.Scope{Domain: s.Self().Domain}))
}

// Broadcast pushes updates to the live instances of the domain. It does not
// block; if the queue is full, it drops them, and anti-entropy repairs that
// (rule 5).
func (s *Server) Broadcast(updates []mirror.Update) {
	s.init()
	select {
	case s.forwardQueue <- Push{Updates: updates, Group: s.members.activePeers()}:
	default:
		s.counter(meterBroadcastDropped).Inc(1)
	}
}

// summaries returns the summaries to send in heartbeats. An instance that stores
// the endpoints of all regions includes its region's kind only once a peer uses it.
func (s *Server) summaries() []mirror.Summary {
	if s.Objects.RegionOnly || s.regionKindSeen.Load() {
		return s.Objects.Summaries()
	}
	return s.Objects.PlatformSummaries()
}

func (s *Server) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.Metrics)
}
