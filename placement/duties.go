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
	// tidyEvery is the time between two runs of the small clean-ups and of the
	// judgement of stragglers.
	tidyEvery = 250 * time.Millisecond
	// coolEvery is the time between two clean-ups of the demand.
	coolEvery = time.Second
	// sweepEvery is the time between two sweeps of the belief table.
	sweepEvery = time.Minute
	// maxEventTokens bounds what an event may claim.
	maxEventTokens = 1 << 24
)

// Run does the duties of placement until ctx ends: it reads load reports and
// cache events of this instance's share of the endpoints and cleans up.
func (f *Fleet) Run(ctx context.Context) error {
	f.start()
	poller := load.Poller{
		Network:   f.Network,
		Interval:  f.Policy.Duration(keyReportEvery, hbs.Scope{Domain: f.Self.Domain}),
		PerSecond: f.Policy.Number(keyReportRate, hbs.Scope{Domain: f.Self.Domain}),
		Endpoints: f.reportShare,
		Take:      f.takeReport,
	}
	readers := cacheevent.Readers{
		Network:        f.Network,
		Endpoints:      f.eventShare,
		Changed:        f.Directory.Changed,
		BytesPerSecond: f.Policy.Number(keyEventBytes, hbs.Scope{Domain: f.Self.Domain}),
		Take:           f.takeEvent,
	}
	duties := pool.New().WithContext(ctx).WithCancelOnError()
	duties.Go(poller.Run)
	duties.Go(readers.Run)
	duties.Go(f.tidy)
	return duties.Wait()
}

// tidy does the small clean-ups.
func (f *Fleet) tidy(ctx context.Context) error {
	ticker := time.NewTicker(tidyEvery)
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
		f.refresh(now)
		f.tidyNow(now)
		if now.Sub(swept) >= sweepEvery {
			f.sweep(now)
			swept = now
		}
		f.mu.Unlock()
	}
}

func (f *Fleet) tidyNow(now time.Time) {
	if now.Sub(f.cooled) >= coolEvery {
		f.heat.Tidy(now)
		f.kept.tidy(now)
		f.cooled = now
	}
	ejected := 0
	for _, g := range f.groups {
		g.judge(now)
		if !f.EvenHomes {
			g.rebalance(now)
		}
		for _, m := range g.members {
			m.ledger.Tidy(now)
			if m.score.Ejected() {
				ejected++
			}
		}
	}
	f.meters.ejected.Update(int64(ejected))
}

// reportShare returns the endpoints whose load this instance reads.
func (f *Fleet) reportShare() []hbs.Endpoint {
	return f.share(func(c *hbs.Capabilities) bool { return c.LoadReports })
}

// eventShare returns the endpoints whose cache events this instance reads.
func (f *Fleet) eventShare() []hbs.Endpoint {
	return f.share(func(c *hbs.Capabilities) bool { return c.CacheEvents })
}

// share returns the endpoints that rendezvous hashing gives to this instance:
// each is read by one instance of its domain, or of the region when its domain
// has none.
func (f *Fleet) share(capable func(*hbs.Capabilities) bool) []hbs.Endpoint {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(time.Now())
	var mine []hbs.Endpoint
	for _, m := range f.members {
		if m.rec.Kind != hbs.KindEngine || m.rec.State == hbs.StateLeaving || !capable(&m.rec.Capabilities) {
			continue
		}
		if f.reads(m) {
			mine = append(mine, m.rec)
		}
	}
	return mine
}

func (f *Fleet) reads(m *member) bool {
	own := m.domain.name == f.Self.Domain
	if !own && (m.domain.staffed || m.rec.Region != f.Self.Region) {
		return false
	}
	weight := mix(m.hash ^ hashID(f.Self.ID))
	for i := range f.roster.Instances {
		in := &f.roster.Instances[i]
		if in.ID == f.Self.ID || in.State != hbs.InstanceLive || in.Region != f.Self.Region {
			continue
		}
		if (!own || in.Domain == f.Self.Domain) && mix(m.hash^hashID(in.ID)) > weight {
			return false
		}
	}
	return true
}

// takeReport takes an endpoint's report of its load.
func (f *Fleet) takeReport(e hbs.Endpoint, r load.Report, err error) {
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
	m.ledger.Report(count, at)
	f.reports.add(m, count, at)
}

// takeEvent applies a cache event.
func (f *Fleet) takeEvent(id hbs.EndpointID, e cacheevent.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	now := time.Now()
	if m == nil || !f.observe(m, e.Incarnation, "", now) {
		return
	}
	f.apply(m, &e, now)
}

func (f *Fleet) apply(m *member, e *cacheevent.Event, now time.Time) {
	key, err := e.Key()
	switch e.Kind {
	case cacheevent.KindStored:
		if err != nil || e.Tokens > maxEventTokens {
			return
		}
	case cacheevent.KindEvicted:
		m.age.Evicted(seconds(e.AgeSeconds))
		if err != nil || e.Tokens > 0 {
			return
		}
	}
	f.change(m, e.Kind, key, now)
}

// change applies a change of what m has cached.
func (f *Fleet) change(m *member, kind cacheevent.Kind, key hbs.LevelKey, now time.Time) {
	f.meters.events.Inc(1)
	switch kind {
	case cacheevent.KindGap:
		f.meters.gaps.Inc(1)
		m.age.Lost(now)
	case cacheevent.KindCleared:
		f.endLife(m)
		f.beginLife(m)
	case cacheevent.KindStored:
		f.table.Put(key, m.life, now)
	case cacheevent.KindEvicted:
		f.table.Drop(key, m.life)
	}
}

// TakeCached takes a change of what an endpoint with these weights has cached,
// where the events come from elsewhere than this package's readers. The key of a
// gap or of a cleared cache has no meaning.
func (f *Fleet) TakeCached(id hbs.EndpointID, weights hbs.WeightsVersion, kind cacheevent.Kind, key hbs.LevelKey) {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil || m.life == 0 || weights != "" && weights != m.rec.Weights {
		return
	}
	f.change(m, kind, key, time.Now())
}

// TakeHeard tells that an endpoint's cache events are read up to now, so that
// what is believed of it does not fade.
func (f *Fleet) TakeHeard(id hbs.EndpointID) {
	f.start()
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		m.heard = time.Now()
	}
}
