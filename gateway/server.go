package gateway

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/hornbeamstage/hornbeamstage/meter"
	"github.com/hornbeamstage/hornbeamstage/network"
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

func (g *Gateway) listen(name string, addr netip.AddrPort, h http.Handler) (s *network.Server, err error) {
	defer func() { err = errors.Wrapf(err, "%s listener", name) }()
	l, err := g.Network.Listen(addr)
	if err != nil {
		return nil, err
	}
	s = network.NewServer(name, l, h)
	s.HTTP.ReadHeaderTimeout = headerWait
	s.HTTP.IdleTimeout = idleWait
	s.HTTP.MaxHeaderBytes = maxHeaderBytes
	s.HTTP.ErrorLog = zap.NewStdLog(g.Log.Named(name))
	return s, nil
}

func (g *Gateway) operatorRoutes() http.Handler {
	m := httprouter.New()
	m.GET(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { g.writeReady(w) })
	m.Handler(http.MethodGet, "/metrics", &meter.Exposition{Registry: g.Metrics, Meters: g.Meters})
	return m
}
