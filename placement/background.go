package placement

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/cacheevent"
	"github.com/hornbeamstage/hornbeamstage/load"
)

const (
	// maintenanceInterval is the time between two runs of maintainOnce, which
	// evaluates stragglers and removes old entries.
	maintenanceInterval = 250 * time.Millisecond
	// cleanupInterval is the time between two clean-ups of the demand and of
	// the list of stored prefixes.
	cleanupInterval = time.Second
	// sweepInterval is the time between two sweeps of the belief table.
	sweepInterval = time.Minute
	// maxEventTokens bounds the prefix length in an event of KindStored. Events
	// above it are dropped.
	maxEventTokens = 1 << 24
)

// Run runs the background tasks of placement until ctx ends. It reads the load
// reports and cache events of the endpoints assigned to this instance and
// removes old state.
func (p *Placer) Run(ctx context.Context) error {
	p.start()
	poller := load.Poller{
		Network:        p.Network,
		Interval:       p.Policy.Duration(keyReportInterval, hbs.Scope{Domain: p.Self.Domain}),
		ReadsPerSecond: p.Policy.Number(keyReportRate, hbs.Scope{Domain: p.Self.Domain}),
		Endpoints:      p.reportEndpoints,
		OnReport:       p.onReport,
	}
	readers := cacheevent.Readers{
		Network:        p.Network,
		Endpoints:      p.eventEndpoints,
		Changed:        p.Directory.Changed,
		BytesPerSecond: p.Policy.Number(keyEventBytes, hbs.Scope{Domain: p.Self.Domain}),
		OnEvent:        p.onEvent,
		OnFailure:      p.onEventFailure,
	}
	tasks := pool.New().WithContext(ctx).WithCancelOnError()
	tasks.Go(poller.Run)
	tasks.Go(readers.Run)
	tasks.Go(p.maintain)
	return tasks.Wait()
}

// maintain periodically adopts new rosters and removes old state.
func (p *Placer) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		p.mu.Lock()
		now := time.Now()
		p.refreshRoster(now)
		p.maintainOnce(now)
		if now.Sub(swept) >= sweepInterval {
			p.sweep(now)
			swept = now
		}
		p.mu.Unlock()
	}
}

func (p *Placer) maintainOnce(now time.Time) {
	if now.Sub(p.cleanedUp) >= cleanupInterval {
		p.heat.Expire(now)
		p.stored.removeExpired(now)
		p.cleanedUp = now
	}
	ejected := 0
	for _, g := range p.groups {
		g.evaluate(now)
		if !p.EqualWeights {
			g.rebalance(now)
		}
		for _, m := range g.members {
			m.ledger.ExpirePeers(now)
			if m.score.Ejected() {
				ejected++
			}
		}
	}
	p.meters.ejected.Update(int64(ejected))
}

// reportEndpoints returns the endpoints whose load reports this instance reads.
func (p *Placer) reportEndpoints() []hbs.Endpoint {
	return p.assignedEndpoints(func(c *hbs.Capabilities) bool { return c.LoadReports })
}

// eventEndpoints returns the endpoints whose cache events this instance reads.
func (p *Placer) eventEndpoints() []hbs.Endpoint {
	return p.assignedEndpoints(func(c *hbs.Capabilities) bool { return c.CacheEvents })
}

// assignedEndpoints returns the capable engines that rendezvous hashing assigns
// to this instance. Each engine is read by one instance of its domain, or of
// the region when its domain has no instance.
func (p *Placer) assignedEndpoints(capable func(*hbs.Capabilities) bool) []hbs.Endpoint {
	p.start()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshRoster(time.Now())
	var assigned []hbs.Endpoint
	for _, m := range p.members {
		if m.rec.Kind != hbs.KindEngine || m.rec.State == hbs.StateLeaving || !capable(&m.rec.Capabilities) {
			continue
		}
		if p.isReader(m) {
			assigned = append(assigned, m.rec)
		}
	}
	return assigned
}

// isReader reports whether this instance has the highest rendezvous hash for m
// among the instances that may read it.
func (p *Placer) isReader(m *member) bool {
	local := m.domain.name == p.Self.Domain
	if !local && (m.domain.hasInstances || m.rec.Region != p.Self.Region) {
		return false
	}
	weight := mix(m.hash ^ hashID(p.Self.ID))
	for i := range p.roster.Instances {
		in := &p.roster.Instances[i]
		if in.ID == p.Self.ID || in.State != hbs.InstanceLive || in.Region != p.Self.Region {
			continue
		}
		if (!local || in.Domain == p.Self.Domain) && mix(m.hash^hashID(in.ID)) > weight {
			return false
		}
	}
	return true
}

// onReport stores an endpoint's load report and queues it for the peers.
func (p *Placer) onReport(e hbs.Endpoint, r load.Report, err error) {
	if err != nil {
		p.meters.reportErrors.Inc(1)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[e.ID]
	now := time.Now()
	if m == nil || !p.observe(m, r.Incarnation, r.Weights, now) {
		return
	}
	count := load.Count{Running: float64(r.Running + r.Waiting), Prefill: float64(r.WaitingPromptTokens)}
	at := now.Add(-seconds(r.AgeSeconds))
	m.ledger.ApplyReport(count, at)
	p.reports.add(m, count, at)
}

// onEventFailure counts and logs a stream of cache events that ended.
func (p *Placer) onEventFailure(id hbs.EndpointID, err error) {
	p.meters.eventErrors.Inc(1)
	p.Log.Warn("cache events interrupted", zap.String("endpoint", string(id)), zap.Error(err))
}

// onEvent applies a cache event.
func (p *Placer) onEvent(id hbs.EndpointID, e cacheevent.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	now := time.Now()
	if m == nil || !p.observe(m, e.Incarnation, "", now) {
		return
	}
	p.applyEvent(m, &e, now)
}

// applyEvent applies an event of the current incarnation. An eviction that
// leaves tokens of the prefix cached changes only the eviction age.
func (p *Placer) applyEvent(m *member, e *cacheevent.Event, now time.Time) {
	key, err := e.Key()
	switch e.Kind {
	case cacheevent.KindStored:
		if err != nil || e.Tokens > maxEventTokens {
			return
		}
	case cacheevent.KindEvicted:
		m.age.ObserveEviction(seconds(e.AgeSeconds))
		if err != nil || e.Tokens > 0 {
			return
		}
	}
	p.applyChange(m, e.Kind, key, now)
}

// applyChange applies a change of what m has cached.
func (p *Placer) applyChange(m *member, kind cacheevent.Kind, key hbs.LevelKey, now time.Time) {
	p.meters.events.Inc(1)
	switch kind {
	case cacheevent.KindGap:
		p.meters.gaps.Inc(1)
		m.age.EventsLost(now)
	case cacheevent.KindCleared:
		p.endGeneration(m)
		p.beginGeneration(m)
	case cacheevent.KindStored:
		p.table.Put(key, m.generation, now)
	case cacheevent.KindEvicted:
		p.table.Drop(key, m.generation)
	}
}

// ApplyCacheChange applies a change of what an endpoint with these weights has
// cached. It is for cache events that are not read by Run. The key is ignored
// for KindGap and KindCleared.
func (p *Placer) ApplyCacheChange(id hbs.EndpointID, weights hbs.WeightsVersion, kind cacheevent.Kind, key hbs.LevelKey) {
	p.start()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	if m == nil || m.generation == 0 || weights != "" && weights != m.rec.Weights {
		return
	}
	p.applyChange(m, kind, key, time.Now())
}

// MarkEventsRead reports that the endpoint's cache events have been read up to
// now. The probabilities of beliefs about it do not fall for a while after
// that.
func (p *Placer) MarkEventsRead(id hbs.EndpointID) {
	p.start()
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil {
		m.eventsRead = time.Now()
	}
}
