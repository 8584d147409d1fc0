package network

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Server is one HTTP listener.
type Server struct {
	// Name is for errors.
	Name     string
	Listener net.Listener
	// HTTP is set up but for its handler before Run.
	HTTP *http.Server

	inflight *inflight
}

// NewServer returns a server that passes requests to h and knows which handlers
// still run. The caller sets the bounds of its HTTP field.
func NewServer(name string, l net.Listener, h http.Handler) *Server {
	counted := &inflight{handler: h}
	return &Server{Name: name, Listener: l, HTTP: &http.Server{Handler: counted}, inflight: counted}
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
