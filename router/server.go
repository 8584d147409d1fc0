package router

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamstage/hornbeamstage/entry"
	"github.com/hornbeamstage/hornbeamstage/settings"
)

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

// idleWait is how long an unused connection of a caller is kept.
const idleWait = 2 * time.Minute

// server is one HTTP listener.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
	inflight *inflight
}

func (r *Router) listenCallers(p *parts) (s *server, err error) {
	defer func() { err = errors.Wrap(err, "callers' listener") }()
	l, err := r.Network.Listen(r.Settings.Listen.Callers)
	if err != nil {
		return nil, err
	}
	l = &headerListener{Listener: l, refused: p.entry.CountHeaderTimeout}
	s = r.newServer("callers", l, p.entry.Routes())
	s.http.ConnState = noteState
	return s, nil
}

func (r *Router) listenOperators(p *parts) (s *server, err error) {
	defer func() { err = errors.Wrap(err, "operators' listener") }()
	l, err := r.Network.Listen(r.Settings.Listen.Operators)
	if err != nil {
		return nil, err
	}
	if mode := r.Settings.TLS.Operators; mode != settings.OperatorsPlain {
		keys, err := p.peers.OperatorConfig(mode == settings.OperatorsMutual)
		if err != nil {
			l.Close()
			return nil, err
		}
		l = tls.NewListener(l, keys)
	}
	return r.newServer("operators", l, r.operatorRoutes(p)), nil
}

func (r *Router) newServer(name string, l net.Listener, h http.Handler) *server {
	log := r.Log.Named(name)
	counted := &inflight{handler: h}
	return &server{
		name:     name,
		listener: l,
		inflight: counted,
		http: &http.Server{
			Handler:           counted,
			ReadHeaderTimeout: time.Duration(r.Settings.Listen.HeaderWait),
			IdleTimeout:       idleWait,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          zap.NewStdLog(log),
		},
	}
}

// run serves until drain or close, or until ctx ends. It returns when the last
// handler has.
func (s *server) run(ctx context.Context) error {
	defer s.inflight.wait()
	s.http.BaseContext = func(net.Listener) context.Context { return entry.WithLife(ctx) }
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, s.name)
}

// drain stops listening and waits for running requests, at most grace.
func (s *server) drain(ctx context.Context, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.close()
	}
	return err
}

// close cuts all connections.
func (s *server) close() {
	// Close only reports errors of listeners that are gone anyway.
	_ = s.http.Close()
}
