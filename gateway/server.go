package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/hornbeamstage/hornbeamstage/meter"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

const (
	// headerWait and idleWait are longer than any that callers are promised, since
	// a connection that closes while a request is on its way loses it.
	headerWait = 30 * time.Second
	idleWait   = 5 * time.Minute
	// maxHeaderBytes is above any bound that operators publish.
	maxHeaderBytes = 64 << 10
)

// server is one HTTP listener.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

func (g *Gateway) listen(name string, addr netip.AddrPort, h http.Handler) (s *server, err error) {
	defer func() { err = errors.Wrapf(err, "%s listener", name) }()
	l, err := g.Network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &server{name: name, listener: l, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerWait,
		IdleTimeout:       idleWait,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(g.Log.Named(name)),
	}}, nil
}

// run serves until drain or close, or until ctx ends.
func (s *server) run(ctx context.Context) error {
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

func (g *Gateway) operatorRoutes() http.Handler {
	m := httprouter.New()
	m.GET(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { g.writeReady(w) })
	m.Handler(http.MethodGet, "/metrics", &meter.Exposition{Registry: g.Metrics, Meters: g.Meters})
	return m
}
