package placement

import (
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// ObserveSignals records what an endpoint, as it was in the roster then, reported in the
// response to an attempt that began at began.
func (p *Placer) ObserveSignals(e *hbs.Endpoint, began time.Time, s hbs.EndpointSignals) {
	p.start()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[e.ID]
	if m == nil || !m.rec.SameIncarnation(e) {
		return
	}
	if s.Malformed != "" {
		p.Log.Warn("signal of an endpoint not decoded", zap.String("endpoint", string(e.ID)), zap.String("header", s.Malformed))
	}
	was, _ := m.pressure.Limit()
	now := time.Now()
	if !m.pressure.Observe(now, began, s) {
		return
	}
	p.countLimited()
	limit, limited := m.pressure.Limit()
	until, paused := m.pressure.Paused(now)
	p.Log.Info("what an endpoint takes changed", zap.String("endpoint", string(e.ID)), zap.String("service", string(e.Service)),
		zap.Bool("limited", limited), zap.Float64("from", was), zap.Float64("to", limit), zap.Float64("own_share", m.pressure.Share()),
		zap.Bool("paused", paused), zap.Duration("paused_for", max(0, until.Sub(now))), zap.Duration("response_after", now.Sub(began)))
}

// countLimited updates the number of endpoints that name a limit.
func (p *Placer) countLimited() {
	n := int64(0)
	for _, m := range p.members {
		if _, ok := m.pressure.Limit(); ok {
			n++
		}
	}
	p.meters.limited.Update(n)
}

// othersInRoster returns the other live instances. The caller holds mu.
func (p *Placer) othersInRoster() (ids []hbs.InstanceID, ok bool) {
	for i := range p.roster.Instances {
		if in := &p.roster.Instances[i]; in.ID != p.Self.ID && in.State == hbs.InstanceLive {
			ids = append(ids, in.ID)
		}
	}
	return ids, true
}

// canWait reports whether a request may wait until at for its attempt.
func canWait(req *hbs.Request, at time.Time) bool {
	for _, end := range []time.Time{req.Deadline, req.FirstEventDeadline} {
		if !end.IsZero() && !at.Before(end) {
			return false
		}
	}
	return true
}

// neverSent reports whether an attempt ended before anything was sent. An attempt that
// admission gave up takes no time.
func neverSent(r *hbs.AttemptResult) bool {
	return r.End == hbs.EndUnreached || r.End == hbs.EndCanceled && r.Duration == 0
}
