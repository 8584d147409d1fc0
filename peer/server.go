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

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// Server is this instance's part in the exchange between instances.
type Server struct {
	// Self returns this instance's record; its domain and peer address do not
	// change. Not nil.
	Self func() hbs.Instance
	// Seeds are peer addresses to ask when nothing else is known.
	Seeds []netip.AddrPort
	// Objects are the mirrored objects that are kept equal between instances.
	Objects *mirror.Set
	// Sections are the digests to exchange. Names are unique.
	Sections []hbs.Section
	Network  hbs.Network
	Policy   hbs.Policy
	Metrics  metrics.Registry
	Log      *zap.Logger
	// TLS is nil for connections in plain text, which are allowed between
	// loopback addresses only unless AllowPlain is set.
	TLS        *TLS
	AllowPlain bool
	// Answer answers what another instance asks with Ask; an error means that data
	// was not understood. Nil for nothing.
	Answer func(from hbs.InstanceID, data []byte) ([]byte, error)
	// Rand spreads the times of heartbeats. Not nil.
	Rand *rand.Rand

	once     sync.Once
	suspects *suspects
	members  *members
	conns    *conns
	askConns *conns
	relays   *relays
	pulls    chan pullTask
	// forwards are pushes to pass on; those that start here have the whole
	// domain as their group.
	forwards chan Push
	// asked is set once an instance asked for the kinds of this one's region.
	asked atomic.Bool
	// pulled is set when a pull brought something, until the next heartbeat.
	pulled atomic.Bool
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.TLS != nil {
			s.TLS.Failed = s.keysFailed
		}
		s.members = newMembers(s)
		s.suspects = &suspects{at: map[string]string{}}
		s.conns = &conns{server: s, open: map[netip.AddrPort]*grpc.ClientConn{}}
		s.askConns = &conns{server: s, open: map[netip.AddrPort]*grpc.ClientConn{}, idle: askIdle}
		s.relays = &relays{dropped: s.counter(meterRelayDropped)}
		s.pulls = make(chan pullTask, pullBacklog)
		s.forwards = make(chan Push, spreadBacklog)
	})
}

// Run listens and exchanges until ctx ends.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "peers") }()
	s.init()
	if err := s.checkPlain(); err != nil {
		return err
	}
	listener, err := s.Network.Listen(s.Self().PeerAddress)
	if err != nil {
		return err
	}
	server := s.newServer()
	duties := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	duties.Go(func(ctx context.Context) error { return serve(ctx, server, listener) })
	duties.Go(s.beat)
	duties.Go(s.pullDuty)
	duties.Go(s.spreadDuty)
	duties.Go(s.bootstrap)
	err = duties.Wait()
	s.conns.closeAll()
	s.askConns.closeAll()
	return err
}

// checkPlain refuses plain text on an address that other machines reach.
func (s *Server) checkPlain() error {
	if s.TLS != nil {
		return s.TLS.Check()
	}
	addr := s.Self().PeerAddress
	if !addr.Addr().IsLoopback() && !s.AllowPlain {
		return errors.Newf("no keys are set and %s is not a loopback address; set tls.certificate, tls.key and tls.authority, or tls.allow_plain", addr)
	}
	s.Log.Warn("peers talk in plain text", zap.Stringer("address", addr))
	return nil
}

// OperatorConfig returns the configuration for a listener of operators with the
// keys between instances. When mutual, callers need a certificate of the
// authority; it need not name an instance. Without keys it is an error.
func (s *Server) OperatorConfig(mutual bool) (*tls.Config, error) {
	s.init()
	if s.TLS == nil {
		return nil, errors.New("TLS for operators needs tls.certificate, tls.key and tls.authority")
	}
	return s.TLS.operatorConfig(mutual), s.TLS.Check()
}

// keysFailed logs that changed files of keys are not used, and that they are.
func (s *Server) keysFailed(err error) {
	if err == nil {
		s.Log.Info("changed keys are in use")
		return
	}
	s.counter(meterKeysUnusable).Inc(1)
	s.Log.Error("changed keys are not usable, the last good ones stay in use", zap.Error(err))
}

// windowBytes is the flow-control window. gRPC measures the path with a ping at
// each message unless the window is set, which would cost as much as a small
// heartbeat.
const windowBytes = 1 << 20

func (s *Server) newServer() *grpc.Server {
	options := []grpc.ServerOption{
		grpc.ForceServerCodec(Codec{}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.UnaryInterceptor(checkUnary),
		grpc.StreamInterceptor(checkStream),
	}
	if s.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(s.TLS.serverConfig(s.accept))))
	}
	server := grpc.NewServer(options...)
	server.RegisterService(&serviceDesc, &handler{s})
	return server
}

// serve ends with ctx; streams are cut then, for the senders open new ones to
// whoever listens next.
func serve(ctx context.Context, server *grpc.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve")
	}
	server.Stop()
	return ctx.Err()
}

// Alive returns the instances whose heartbeats come, this one included, sorted
// by ID. Leaving instances are among them.
func (s *Server) Alive() []hbs.Instance {
	s.init()
	return s.members.alive()
}

// Chosen reports whether this instance is one of its domain's representatives
// and watchers.
func (s *Server) Chosen() bool {
	s.init()
	return s.members.rank() < s.representatives()
}

// representatives is how many instances of the domain speak for it.
func (s *Server) representatives() int {
	return int(s.Policy.Number(mirror.KnobWatchers, hbs.Scope{Domain: s.Self().Domain}))
}

// Spread passes updates on to the domain's live instances. It does not block;
// when the backlog is full the heartbeats' summaries do the work (rule 5).
func (s *Server) Spread(updates []mirror.Update) {
	s.init()
	select {
	case s.forwards <- Push{Updates: updates, Group: s.members.others()}:
	default:
		s.counter(meterSpreadDropped).Inc(1)
	}
}

// summaries returns what heartbeats tell. An instance that holds all endpoints
// tells of its region's only when another one holds no more than these.
func (s *Server) summaries() []mirror.Summary {
	if s.Objects.Part || s.asked.Load() {
		return s.Objects.Summaries()
	}
	return s.Objects.PlatformSummaries()
}

func (s *Server) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.Metrics)
}
