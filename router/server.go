package router

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamstage/hornbeamstage/entry"
	"github.com/hornbeamstage/hornbeamstage/memory"
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
	s = network.NewServer("callers", l, c.entry.Routes(), r.bounds(c, memory.ShareConnections), r.Log)
	s.OnState = trackConnState
	return s, nil
}

func (r *Router) listenOperators(c *components) (s *network.Server, err error) {
	defer func() { err = errors.Wrap(err, "listen for operators") }()
	l, err := r.Network.Listen(r.Settings.Listen.Operators)
	if err != nil {
		return nil, err
	}
	bounds := r.bounds(c, memory.ShareOperators)
	if mode := r.Settings.TLS.Operators; mode != settings.OperatorsPlain {
		if bounds.TLS, err = c.peers.OperatorConfig(mode == settings.OperatorsMutual); err != nil {
			l.Close()
			return nil, err
		}
	}
	return network.NewServer("operators", l, r.operatorRoutes(c), bounds, r.Log), nil
}

// bounds returns the bounds of a listener whose connections take memory from share.
func (r *Router) bounds(c *components, share memory.Share) network.ConnectionLimits {
	return network.ConnectionLimits{
		HeaderWait: time.Duration(r.Settings.Listen.HeaderWait), IdleWait: idleTimeout, HeaderBytes: maxHeaderBytes,
		Memory: c.memory, Share: share,
	}
}

// runServer runs s. Request contexts carry ctx, so that work which outlives its
// request still ends with the instance.
func runServer(ctx context.Context, s *network.Server) error {
	s.HTTP.BaseContext = func(net.Listener) context.Context { return entry.WithInstanceContext(ctx) }
	return s.Run(ctx)
}
