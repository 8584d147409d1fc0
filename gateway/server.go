package gateway

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/meter"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// serverBounds has timeouts longer than any wait that callers are promised,
// since closing a connection loses a request that is already on its way, and a
// header limit above any that operators publish.
var serverBounds = network.ConnectionLimits{HeaderWait: 30 * time.Second, IdleWait: 5 * time.Minute, HeaderBytes: 64 << 10}

// listen returns a server whose connections take memory from share.
func (g *Gateway) listen(name string, addr netip.AddrPort, h http.Handler, share memory.Share) (s *network.Server, err error) {
	defer func() { err = errors.Wrapf(err, "%s listener", name) }()
	l, err := g.Network.Listen(addr)
	if err != nil {
		return nil, err
	}
	bounds := serverBounds
	bounds.Memory, bounds.Share, bounds.IdleLimit = g.memory, share, g.idleLimit
	return network.NewServer(name, l, h, bounds, g.Log), nil
}

// idleLimit returns how long the operators let connections be idle, 0 if they say
// nothing.
func (g *Gateway) idleLimit() time.Duration {
	if t := g.routes.current(); t != nil {
		return t.Limits.IdleWait
	}
	return 0
}

func (g *Gateway) operatorRoutes() http.Handler {
	m := httprouter.New()
	m.GET(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { g.writeReady(w) })
	m.Handler(http.MethodGet, "/metrics", &meter.Exposition{Registry: g.Metrics, Meters: g.Meters})
	return m
}
