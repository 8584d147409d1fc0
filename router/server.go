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

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

// idleWait is how long an unused connection of a caller is kept.
const idleWait = 2 * time.Minute

func (r *Router) listenCallers(p *parts) (s *network.Server, err error) {
	defer func() { err = errors.Wrap(err, "callers' listener") }()
	l, err := r.Network.Listen(r.Settings.Listen.Callers)
	if err != nil {
		return nil, err
	}
	l = &headerListener{Listener: l, refused: p.entry.CountHeaderTimeout}
	s = r.newServer("callers", l, p.entry.Routes())
	s.HTTP.ConnState = noteState
	return s, nil
}

func (r *Router) listenOperators(p *parts) (s *network.Server, err error) {
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

func (r *Router) newServer(name string, l net.Listener, h http.Handler) *network.Server {
	bounds := network.Bounds{HeaderWait: time.Duration(r.Settings.Listen.HeaderWait), IdleWait: idleWait, HeaderBytes: maxHeaderBytes}
	return network.NewServer(name, l, h, bounds, r.Log)
}

// run serves s with contexts that know the life of the instance.
func run(ctx context.Context, s *network.Server) error {
	s.HTTP.BaseContext = func(net.Listener) context.Context { return entry.WithLife(ctx) }
	return s.Run(ctx)
}
