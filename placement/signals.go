package placement

import (
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// ObserveSignals records what an endpoint, as it was in the roster then, told in the
// response to an attempt that began at began.
func (p *Placer) ObserveSignals(e *hbs.Endpoint, began time.Time, s hbs.EndpointSignals) {
	p.start()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[e.ID]
	if m == nil || m.rec.Incarnation != e.Incarnation {
		return
	}
	if s.Malformed != "" {
		p.Log.Warn("signal of an endpoint not decoded", zap.String("endpoint", string(e.ID)), zap.String("header", s.Malformed))
		return
	}
	was := m.signals
	m.signals = s
	if was != s {
		p.Log.Info("endpoint's limit changed", zap.String("endpoint", string(e.ID)), zap.String("service", string(e.Service)),
			zap.Bool("limited", s.Limited), zap.Float64("from", was.RequestsPerSecond), zap.Float64("to", s.RequestsPerSecond),
			zap.Duration("response_after", time.Since(began)))
	}
}
