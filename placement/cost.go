package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/heat"
	"github.com/hornbeamstage/hornbeamstage/load"
)

// The window of rule 6: endpoints whose costs differ by less than the larger of
// both are alike.
const (
	alikeShare   = 0.03
	alikeSeconds = 0.003
)

// lateCost is added, in seconds, where a favoured request is predicted to come
// late (rule 9). It is above any other cost.
const lateCost = 60

// cheapest returns the candidate with the lowest cost that is not at its limits,
// or nil (rules 4 to 7 of Fleet). It tells whether any candidate was reachable
// and whether there was any at all.
func (f *Fleet) cheapest(g *group, req *hbs.Request, avoid []hbs.EndpointID, now time.Time) (best *member, reachable, found bool) {
	for _, m := range g.candidates {
		m.full = true
		if avoided(&m.rec, avoid) {
			continue
		}
		found = true
		if now.Before(m.paused) || now.Before(m.domain.paused) {
			continue
		}
		reachable = true
		f.price(g, m, req, now)
		if !m.full && (best == nil || m.cost < best.cost) {
			best = m
		}
	}
	if best == nil {
		return nil, reachable, found
	}
	return f.draw(g, best.cost), true, true
}

// draw returns one of the candidates that cost nearly the same as the cheapest.
func (f *Fleet) draw(g *group, cheapest float64) (drawn *member) {
	bound := cheapest + max(alikeSeconds, alikeShare*cheapest)
	n := 0
	for _, m := range g.candidates {
		if m.full || m.cost > bound {
			continue
		}
		n++
		if f.rnd.IntN(n) == 0 {
			drawn = m
		}
	}
	return drawn
}

// price sets the cost of m and whether it is at its limits.
func (f *Fleet) price(g *group, m *member, req *hbs.Request, now time.Time) {
	t := &g.tuning
	perToken := g.rates.perToken * m.score.Slowness()
	total := m.ledger.Total(now, 1/perToken)
	slots := float64(max(1, m.rec.Slots))
	prompt := float64(req.PromptTokens)
	if m.believed = m.cached; m.ring == 0 && len(req.Levels) > 0 {
		m.cached += g.rates.credit * max(0, prompt-m.cached)
	}
	f.importable(g, m, req, now)
	m.cached += m.imported
	miss := max(0, prompt-m.cached)

	prefill, running := total.Prefill, total.Running
	if req.Favoured { // rule 9
		prefill, running = m.ledger.Favoured()
	}
	m.wait = prefill * perToken
	if over := running - slots + 1; over > 0 {
		m.wait += over / slots * g.rates.perOutput * float64(req.ExpectedTokens)
	}
	m.first = g.rates.base*m.score.Slowness() + m.wait + m.importTime + miss*perToken
	slowdown := m.lastGap.slowdown(now)
	m.cost = m.first + t.batchCost*total.Running/slots
	m.cost += (slowdown - 1) * (g.rates.base + miss*perToken)
	m.cost += slowdown * t.stallCost * miss * g.rates.perToken * min(total.Running, slots)
	m.cost += f.spreadCost(g, m) * g.rates.perToken * offSet(m, prompt, g.shared)
	m.cost += t.rolloutCost(g, m, req)
	if m.domain.name != f.Self.Domain {
		m.cost += t.hop
	}
	if req.Favoured && g.late(m, req, now) {
		m.cost += lateCost
	}
	m.full = full(m, t, req, total, miss*perToken)
}

// rolloutCost returns what rule 10 of Fleet adds to the cost of m.
func (t *tuning) rolloutCost(g *group, m *member, req *hbs.Request) (cost float64) {
	switch m.rec.Rollout {
	case hbs.RolloutNext:
		return t.oldCost + t.dueCost*g.rates.perOutput*float64(req.ExpectedTokens)
	case hbs.RolloutBehind:
		return t.oldCost
	}
	return 0
}

// late tells whether the answer of m is predicted to end after the deadline.
func (g *group) late(m *member, req *hbs.Request, now time.Time) bool {
	need := seconds(m.first + g.rates.perOutput*float64(req.ExpectedTokens))
	return !req.Deadline.IsZero() && now.Add(need).After(req.Deadline)
}

// ringShare is the share of the cost of spreading by ring.
var ringShare = [rings + 1]float64{0, 0.1, 0.4, 1}

// offSet returns the number of tokens whose use on m takes room from the
// prefixes that are at home there: those that m would compute off their set, or
// keep in its cache off their set although others share them.
func offSet(m *member, prompt, shared float64) float64 {
	home := float64(m.home)
	return max(0, prompt-max(home, m.cached), shared-home) * ringShare[m.ring]
}

// full tells whether m is at one of its limits (rules 5, 7 and 9 of Fleet). own is
// the time to compute the request's prompt.
func full(m *member, t *tuning, req *hbs.Request, total load.Count, own float64) bool {
	share := t.limitShare
	home := m.home >= req.PromptTokens && len(req.Levels) > 0
	if home || req.Favoured {
		share = t.homeShare
	}
	switch {
	case total.Running+1 > max(1, float64(m.rec.Slots)*share):
		return true
	case m.score.Ejected() && m.ledger.Own().Running > 0:
		return true
	}
	return !home && total.Prefill > 0 && m.wait+own > t.prefillCap
}

// book takes the work into the ledger and the beliefs.
func (f *Fleet) book(m *member, req *hbs.Request, now time.Time) hbs.Placement {
	g := m.group
	miss := max(0, float64(req.PromptTokens)-m.cached)
	f.attempts++
	first := seconds(m.first)
	p := hbs.Placement{
		Attempt:      f.attemptID(),
		Endpoint:     m.rec,
		CachedTokens: int(m.cached - m.imported),
		Wait:         seconds(m.wait),
		FirstToken:   first,
		Tail:         seconds(m.first * g.rates.tail),
	}
	f.meters.decisions.Inc(1)
	if m.home < req.PromptTokens && len(req.Levels) > 0 {
		f.meters.spills.Inc(1)
		f.tell(m, req, now)
	}
	b := &booking{member: m, life: m.life, weights: m.rec.Weights, levels: req.Levels, prompt: req.PromptTokens}
	b.load.Started = now
	b.load.Expected = first
	b.load.Favoured = req.Favoured
	if req.Model != "" {
		b.load.Prefill = max(1, int(miss))
	}
	b.queued = m.wait / (g.rates.perToken * m.score.Slowness())
	b.cached = m.cached
	b.believed, b.home = m.believed, m.ring == 0
	b.kept = m.kept
	b.slowness = m.score.Slowness()
	f.bookings[p.Attempt] = b
	m.ledger.Start(&b.load)
	p.LoadKept = f.usesStore(g, m) && (m.kept > 0 || !f.KeptHeard)
	p.LoadFrom = f.loadFrom(g, m, req)
	if n := f.keep(g, m, req); n > 0 {
		p.KeepTokens = req.Levels[n-1].Tokens
		b.keep = req.Levels[:n]
		f.meters.keeps.Inc(1)
	}
	if m.imported > 0 {
		f.meters.loads.Inc(1)
	}
	work := f.heat.Use(req.Levels, f.work(g, m, req), now)
	for _, home := range g.homes {
		home.balance.use(work/float64(len(g.homes)), now)
	}
	b.idle = f.idle(m, req.Levels, now)
	for _, l := range req.Levels {
		f.table.Put(l.Key, m.life, now)
	}
	return p
}

// work is the engine time that a request needs.
func (f *Fleet) work(g *group, m *member, req *hbs.Request) heat.Work {
	decode := float64(req.ExpectedTokens) * g.rates.perOutput / float64(max(1, m.rec.Slots))
	return heat.Work{Decode: seconds(decode), PerToken: seconds(g.rates.perToken), Prompt: req.PromptTokens}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
