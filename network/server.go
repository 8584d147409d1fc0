package network

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/memory"
)

// Server is an HTTP server on one listener.
type Server struct {
	// Name identifies the server in errors and log lines.
	Name     string
	Listener net.Listener
	// HTTP may be configured further before Run is called, but for its hooks.
	HTTP *http.Server
	// OnState is called with the state of each connection as the Listener returned it;
	// may be nil.
	OnState func(net.Conn, http.ConnState)

	inflight *inflight
	conns    *clientConns
}

// ConnectionLimits limit the resources that a connection uses while no handler
// runs.
type ConnectionLimits struct {
	// HeaderWait is the timeout for reading a request's header, IdleWait that
	// between two requests on a connection.
	HeaderWait, IdleWait time.Duration
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// IdleLimit returns a bound on IdleWait that may change, 0 for none; may be nil.
	IdleLimit func() time.Duration
	// Memory bounds what connections and headers take; nil means no bound. Connections
	// take it from Share.
	Memory *memory.Budget
	Share  memory.Share
	// TLS is the configuration of connections with TLS; nil for those without.
	TLS *tls.Config
}

// NewServer returns a server that passes requests to h and tracks the running
// handlers. Errors of net/http are logged to log under the server's name.
func NewServer(name string, l net.Listener, h http.Handler, b ConnectionLimits, log *zap.Logger) *Server {
	conns := &clientConns{limits: b}
	b.Memory.AddReclaimer(conns.reclaim)
	l = &clientListener{Listener: l, conns: conns}
	if b.TLS != nil {
		l = tls.NewListener(l, b.TLS)
	}
	counted := &inflight{handler: &bodyHandler{next: h}}
	s := &Server{Name: name, Listener: l, inflight: counted, conns: conns}
	s.HTTP = &http.Server{
		Handler:           counted,
		ReadHeaderTimeout: b.HeaderWait,
		IdleTimeout:       b.IdleWait,
		MaxHeaderBytes:    b.HeaderBytes,
		ErrorLog:          zap.NewStdLog(log.Named(name)),
		ConnContext:       withConn,
		ConnState:         s.setState,
	}
	return s
}

// setState is the ConnState hook of the http.Server. A connection that can't be used
// again is closed, as net/http would take the rest of a request for the next one.
func (s *Server) setState(nc net.Conn, state http.ConnState) {
	c := asClientConn(nc)
	if c == nil {
		return
	}
	c.setState(state)
	if s.OnState != nil {
		s.OnState(c.Conn, state)
	}
	if state == http.StateIdle && c.mustClose() {
		_ = nc.Close()
	}
}

// Run serves requests until Drain or Close is called or ctx ends. It returns after
// the last handler has returned.
func (s *Server) Run(ctx context.Context) error {
	defer s.inflight.wait()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	err := s.HTTP.Serve(s.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, s.Name)
}

const (
	// drainPoll is the time between two looks whether requests still run.
	drainPoll = 10 * time.Millisecond
	// flushTime is the time in which the last responses are written to connections.
	flushTime = 100 * time.Millisecond
	// uploadShare is the fraction of the grace time after which requests are refused whose
	// bodies are still being read.
	uploadShare = 0.5
)

// Drain closes idle connections, and the others after their responses, and waits for
// running requests, for at most grace; for those whose bodies are still being read, for
// uploadShare of it. Meanwhile the handler may refuse further ones: http.Server.Shutdown
// drops those on connections that had no request yet. Then it stops listening and closes
// the remaining connections. The error means that requests still ran.
func (s *Server) Drain(ctx context.Context, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	s.HTTP.SetKeepAlivesEnabled(false)
	defer time.AfterFunc(time.Duration(uploadShare*float64(grace)), s.conns.giveUpUploads).Stop()
	for s.inflight.running() > 0 {
		if err := delay.For(ctx, drainPoll); err != nil {
			n := s.inflight.running()
			s.Close()
			return errors.Wrapf(err, "%d requests", n)
		}
	}
	flush, cancelFlush := context.WithTimeout(ctx, flushTime)
	defer cancelFlush()
	if s.HTTP.Shutdown(flush) != nil {
		s.Close()
	}
	return nil
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.conns.stopDiscarding()
	// HTTP.Close returns only errors of closing the listener, which don't matter
	// here.
	_ = s.HTTP.Close()
}
