package network

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Server is one HTTP listener.
type Server struct {
	// Name is for errors.
	Name     string
	Listener net.Listener
	// HTTP may be completed before Run.
	HTTP *http.Server

	inflight *inflight
}

// Bounds limit what a connection may cost while no handler runs.
type Bounds struct {
	// HeaderWait is the time for a request's header, IdleWait that between two
	// requests of a connection.
	HeaderWait, IdleWait time.Duration
	// HeaderBytes bounds a request's header.
	HeaderBytes int
}

// NewServer returns a server that passes requests to h and knows which handlers
// still run. What net/http has to say goes to log, under the server's name.
func NewServer(name string, l net.Listener, h http.Handler, b Bounds, log *zap.Logger) *Server {
	counted := &inflight{handler: h}
	return &Server{Name: name, Listener: l, inflight: counted, HTTP: &http.Server{
		Handler:           counted,
		ReadHeaderTimeout: b.HeaderWait,
		IdleTimeout:       b.IdleWait,
		MaxHeaderBytes:    b.HeaderBytes,
		ErrorLog:          zap.NewStdLog(log.Named(name)),
	}}
}

// Run serves until Drain or Close, or until ctx ends. It returns when the last
// handler has.
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

// Drain stops listening and waits for running requests, at most grace.
func (s *Server) Drain(ctx context.Context, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	err := s.HTTP.Shutdown(ctx)
	if err != nil {
		s.Close()
	}
	return err
}

// Close cuts all connections.
func (s *Server) Close() {
	// Close only reports errors of listeners that are gone anyway.
	_ = s.HTTP.Close()
}
