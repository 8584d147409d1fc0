package placement

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

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
func (f *Placer) Run(ctx context.Context) error {
	f.start()
	poller := load.Poller{
		Network:        f.Network,
		Interval:       f.Policy.Duration(keyReportInterval, hbs.Scope{Domain: f.Self.Domain}),
		ReadsPerSecond: f.Policy.Number(keyReportRate, hbs.Scope{Domain: f.Self.Domain}),
		Endpoints:      f.reportEndpoints,
		OnReport:       f.onReport,
	}
	readers := cacheevent.Readers{
		Network:        f.Network,
		Endpoints:      f.eventEndpoints,
		Changed:        f.Directory.Changed,
		BytesPerSecond: f.Policy.Number(keyEventBytes, hbs.Scope{Domain: f.Self.Domain}),
		OnEvent:        f.onEvent,
	}
	tasks := pool.New().WithContext(ctx).WithCancelOnError()
	tasks.Go(poller.Run)
	tasks.Go(readers.Run)
	tasks.Go(f.maintain)
	return tasks.Wait()
}

// maintain periodically adopts new rosters and removes old state.
func (f *Placer) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		f.mu.Lock()
		now := time.Now()
		f.refreshRoster(now)
		f.maintainOnce(now)
		if now.Sub(swept) >= sweepInterval {
			f.sweep(now)
			swept = now
		}
		f.mu.Unlock()
	}
}

func (f *Placer) maintainOnce(now time.Time) {
	if now.Sub(f.cleanedUp) >= cleanupInterval {
		f.heat.Expire(now)
		f.stored.removeExpired(now)
		f.cleanedUp = now
	}
	ejected := 0
	for _, g := range f.groups {
		g.evaluate(now)
		if !f.EqualWeights {
			g.rebalance(now)
		}
		for _, m := range g.members {
			m.ledger.ExpirePeers(now)
			if m.score.Ejected() {
				ejected++
			}
		}
	}
	f.meters.ejected.Update(int64(ejected))
}

// reportEndpoints returns the endpoints whose load reports this instance reads.
func (f *Placer) reportEndpoints() []hbs.Endpoint {
	return f.assignedEndpoints(func(c *hbs.Capabilities) bool { return c.LoadReports })
}

// eventEndpoints returns the endpoints whose cache events this instance reads.
func (f *Placer) eventEndpoints() []hbs.Endpoint {
	return f.assignedEndpoints(func(c *hbs.Capabilities) bool { return c.CacheEvents })
}

// assignedEndpoints returns the capable engines that rendezvous hashing assigns
// to this instance. Each engine is read by one instance of its domain, or of
// the region when its domain has no instance.
func (f *Placer) assignedEndpoints(capable func(*hbs.Capabilities) bool) []hbs.Endpoint {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshRoster(time.Now())
	var assigned []hbs.Endpoint
	for _, m := range f.members {
		if m.rec.Kind != hbs.KindEngine || m.rec.State == hbs.StateLeaving || !capable(&m.rec.Capabilities) {
			continue
		}
		if f.isReader(m) {
			assigned = append(assigned, m.rec)
		}
	}
	return assigned
}

// isReader reports whether this instance has the highest rendezvous hash for m
// among the instances that may read it.
func (f *Placer) isReader(m *member) bool {
	local := m.domain.name == f.Self.Domain
	if !local && (m.domain.hasInstances || m.rec.Region != f.Self.Region) {
		return false
	}
	weight := mix(m.hash ^ hashID(f.Self.ID))
	for i := range f.roster.Instances {
		in := &f.roster.Instances[i]
		if in.ID == f.Self.ID || in.State != hbs.InstanceLive || in.Region != f.Self.Region {
			continue
		}
		if (!local || in.Domain == f.Self.Domain) && mix(m.hash^hashID(in.ID)) > weight {
			return false
		}
	}
	return true
}

// onReport stores an endpoint's load report and queues it for the peers.
func (f *Placer) onReport(e hbs.Endpoint, r load.Report, err error) {
	if err != nil {
		f.meters.reportErrors.Inc(1)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[e.ID]
	now := time.Now()
	if m == nil || !f.observe(m, r.Incarnation, r.Weights, now) {
		return
	}
	count := load.Count{Running: float64(r.Running + r.Waiting), Prefill: float64(r.WaitingPromptTokens)}
	at := now.Add(-seconds(r.AgeSeconds))
	m.ledger.ApplyReport(count, at)
	f.reports.add(m, count, at)
}

// onEvent applies a cache event.
func (f *Placer) onEvent(id hbs.EndpointID, e cacheevent.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	now := time.Now()
	if m == nil || !f.observe(m, e.Incarnation, "", now) {
		return
	}
	f.applyEvent(m, &e, now)
}

// applyEvent applies an event of the present incarnation. An eviction that
// leaves tokens of the prefix cached changes only the eviction age.
func (f *Placer) applyEvent(m *member, e *cacheevent.Event, now time.Time) {
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
	f.applyChange(m, e.Kind, key, now)
}

// applyChange applies a change of what m has cached.
func (f *Placer) applyChange(m *member, kind cacheevent.Kind, key hbs.LevelKey, now time.Time) {
	f.meters.events.Inc(1)
	switch kind {
	case cacheevent.KindGap:
		f.meters.gaps.Inc(1)
		m.age.EventsLost(now)
	case cacheevent.KindCleared:
		f.endGeneration(m)
		f.beginGeneration(m)
	case cacheevent.KindStored:
		f.table.Put(key, m.generation, now)
	case cacheevent.KindEvicted:
		f.table.Drop(key, m.generation)
	}
}

// ApplyCacheChange applies a change of what an endpoint with these weights has
// cached. It is for cache events that are not read by Run. The key is ignored
// for KindGap and KindCleared.
func (f *Placer) ApplyCacheChange(id hbs.EndpointID, weights hbs.WeightsVersion, kind cacheevent.Kind, key hbs.LevelKey) {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil || m.generation == 0 || weights != "" && weights != m.rec.Weights {
		return
	}
	f.applyChange(m, kind, key, time.Now())
}

// MarkEventsRead reports that the endpoint's cache events have been read up to
// now. The probabilities of beliefs about it do not fall for a while after
// that.
func (f *Placer) MarkEventsRead(id hbs.EndpointID) {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		m.eventsRead = time.Now()
	}
}
