package router

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamstage/hornbeamstage/entry"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/settings"
)

// maxHeaderBytes bounds the size of a request's header.
const maxHeaderBytes = 64 << 10

// idleTimeout is how long a keep-alive connection may be idle.
const idleTimeout = 2 * time.Minute

func (r *Router) listenCallers(c *components) (s *network.Server, err error) {
	defer func() { err = errors.Wrap(err, "listen for callers") }()
	l, err := r.Network.Listen(r.Settings.Listen.Callers)
	if err != nil {
		return nil, err
	}
	l = &timeoutListener{Listener: l, onRefused: c.entry.CountHeaderTimeout}
	s = r.newServer("callers", l, c.entry.Routes())
	s.HTTP.ConnState = trackConnState
	return s, nil
}

func (r *Router) listenOperators(c *components) (s *network.Server, err error) {
	defer func() { err = errors.Wrap(err, "listen for operators") }()
	l, err := r.Network.Listen(r.Settings.Listen.Operators)
	if err != nil {
		return nil, err
	}
	if mode := r.Settings.TLS.Operators; mode != settings.OperatorsPlain {
		keys, err := c.peers.OperatorConfig(mode == settings.OperatorsMutual)
		if err != nil {
			l.Close()
			return nil, err
		}
		l = tls.NewListener(l, keys)
	}
	return r.newServer("operators", l, r.operatorRoutes(c)), nil
}

func (r *Router) newServer(name string, l net.Listener, h http.Handler) *network.Server {
	bounds := network.ConnectionLimits{HeaderWait: time.Duration(r.Settings.Listen.HeaderWait), IdleWait: idleTimeout, HeaderBytes: maxHeaderBytes}
	return network.NewServer(name, l, h, bounds, r.Log)
}

// runServer runs s. Request contexts carry ctx, so that work which outlives its
// request still ends with the instance.
func runServer(ctx context.Context, s *network.Server) error {
	s.HTTP.BaseContext = func(net.Listener) context.Context { return entry.WithInstanceContext(ctx) }
	return s.Run(ctx)
}
