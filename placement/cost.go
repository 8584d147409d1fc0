package placement

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/heat"
	"github.com/hornbeamstage/hornbeamstage/load"
)

// Endpoints whose costs exceed the lowest by no more than the larger of the two
// bounds count as equally cheap (rule 6).
const (
	tieShare   = 0.03
	tieSeconds = 0.003
)

// lateCost is added, in seconds, where a favoured request is predicted to miss
// its deadline (rule 9). It is meant to exceed the sum of the other costs.
const lateCost = 60

// cheapest returns one of the cheapest candidates below their limits, or nil
// (rules 4 to 7 of Placer). It also reports whether any candidate was reachable
// and whether there was any at all.
func (p *Placer) cheapest(g *group, req *hbs.Request, avoid []hbs.EndpointID, now time.Time) (best *member, reachable, found bool) {
	for _, m := range g.candidates {
		m.full = true
		if avoided(&m.rec, avoid) {
			continue
		}
		if until, paused := m.pressure.Paused(now); paused { // rule 12
			if p.opens.IsZero() || until.Before(p.opens) {
				p.opens = until
			}
			continue
		}
		next := m.pressure.Next(now)
		if !canWait(req, next) {
			continue
		}
		found = true
		if now.Before(m.paused) || now.Before(m.domain.paused) {
			continue
		}
		reachable = true
		if next.After(now) {
			continue
		}
		p.computeCost(g, m, req, now)
		if !m.full && (best == nil || m.cost < best.cost) {
			best = m
		}
	}
	if best == nil {
		return nil, reachable, found
	}
	return p.draw(g, best.cost), true, true
}

// draw returns a random one of the candidates that cost nearly the same as the
// cheapest.
func (p *Placer) draw(g *group, cheapest float64) (drawn *member) {
	bound := cheapest + max(tieSeconds, tieShare*cheapest)
	n := 0
	for _, m := range g.candidates {
		if m.full || m.cost > bound {
			continue
		}
		n++
		if p.rnd.IntN(n) == 0 {
			drawn = m
		}
	}
	return drawn
}

// computeCost sets the predicted times and the cost of m, and whether it is at
// one of its limits.
func (p *Placer) computeCost(g *group, m *member, req *hbs.Request, now time.Time) {
	t := &g.tuning
	perToken := g.rates.perToken * m.score.Slowness()
	total := m.ledger.Total(now, 1/perToken)
	slots := float64(max(1, m.rec.Slots))
	prompt := float64(req.PromptTokens)
	m.cached = m.believed
	if m.tier == 0 && len(req.Levels) > 0 {
		m.cached += g.rates.homeCredit * max(0, prompt-m.cached)
	}
	p.estimateImport(g, m, req, now)
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
	m.firstToken = g.rates.base*m.score.Slowness() + m.wait + m.importTime + miss*perToken
	slowdown := m.lastGap.slowdown(now)
	m.cost = m.firstToken + t.batchCost*total.Running/slots
	m.cost += (slowdown - 1) * (g.rates.base + miss*perToken)
	m.cost += slowdown * t.stallCost * miss * g.rates.perToken * min(total.Running, slots)
	m.cost += p.spreadCost(g, m) * g.rates.perToken * tokensOutsideHome(m, prompt, g.sharedTokens)
	m.cost += t.rolloutCost(g, m, req)
	if m.domain.name != p.Self.Domain {
		m.cost += t.hop
	}
	if req.Favoured && g.missesDeadline(m, req, now) {
		m.cost += lateCost
	}
	m.full = atLimit(m, t, req, total, miss*perToken)
}

// rolloutCost returns the cost of older weights by rule 10 of Placer.
func (t *tuning) rolloutCost(g *group, m *member, req *hbs.Request) (cost float64) {
	switch m.rec.Rollout {
	case hbs.RolloutNext:
		return t.oldCost + t.dueCost*g.rates.perOutput*float64(req.ExpectedTokens)
	case hbs.RolloutOutdated:
		return t.oldCost
	}
	return 0
}

// missesDeadline reports whether the response of m is predicted to end after the
// deadline of the request.
func (g *group) missesDeadline(m *member, req *hbs.Request, now time.Time) bool {
	total := seconds(m.firstToken + g.rates.perOutput*float64(req.ExpectedTokens))
	return !req.Deadline.IsZero() && now.Add(total).After(req.Deadline)
}

// tierShare is the fraction of the spread cost that applies in each tier. The
// home set itself has none; the nearer tiers have less than the rest, so that
// prompts that spill over go there first.
var tierShare = [outerTiers + 1]float64{0, 0.1, 0.4, 1}

// tokensOutsideHome returns the number of tokens whose use on m displaces
// prefixes that are at home there, scaled by the tier of m. These are the
// larger of two numbers: the tokens that m would compute beyond the prefix that
// it is home to, and those beyond it that other requests share, which would
// stay in its cache.
func tokensOutsideHome(m *member, prompt, shared float64) float64 {
	home := float64(m.homeTokens)
	return max(0, prompt-max(home, m.cached), shared-home) * tierShare[m.tier]
}

// atLimit reports whether m is at one of its limits (rules 5, 7 and 9 of
// Placer). promptTime is the time, in seconds, to compute the request's prompt.
func atLimit(m *member, t *tuning, req *hbs.Request, total load.Count, promptTime float64) bool {
	share := t.limitShare
	home := m.homeTokens >= req.PromptTokens && len(req.Levels) > 0
	if home || req.Favoured {
		share = t.homeLimitShare
	}
	switch {
	case total.Running+1 > max(1, float64(m.rec.Slots)*share):
		return true
	case m.score.Ejected() && m.ledger.Local().Running > 0:
		return true
	}
	return !home && total.Prefill > 0 && m.wait+promptTime > t.prefillCap
}

// startAttempt records the attempt in the ledger, the demand and the beliefs.
func (p *Placer) startAttempt(m *member, req *hbs.Request, now time.Time) hbs.Placement {
	g := m.group
	miss := max(0, float64(req.PromptTokens)-m.cached)
	p.attempts++
	first := seconds(m.firstToken)
	placed := hbs.Placement{
		Attempt:       p.attemptID(),
		Endpoint:      m.rec,
		CachedTokens:  int(m.cached - m.imported),
		Wait:          seconds(m.wait),
		FirstToken:    first,
		FirstTokenP95: seconds(m.firstToken * g.rates.tail),
	}
	if limit, ok := m.pressure.Limit(); ok {
		placed.Limit = &limit
	}
	m.pressure.Take(now)
	p.meters.decisions.Inc(1)
	if m.homeTokens < req.PromptTokens && len(req.Levels) > 0 {
		p.meters.spills.Inc(1)
		p.recordSpill(m, req, now)
	}
	a := &placedAttempt{member: m, generation: m.generation, weights: m.rec.Weights, levels: req.Levels, prompt: req.PromptTokens}
	a.load.Started = now
	a.load.Expected = first
	a.load.Favoured = req.Favoured
	if req.Model != "" {
		a.load.Prefill = max(1, int(miss))
	}
	a.queuedTokens = m.wait / (g.rates.perToken * m.score.Slowness())
	a.cached = m.cached
	a.believed, a.home = m.believed, m.tier == 0
	a.fromStore = m.fromStore
	a.slowness = m.score.Slowness()
	p.placedAttempts[placed.Attempt] = a
	m.ledger.Start(&a.load)
	placed.LoadFromStore = p.usesStore(g, m) && (m.fromStore > 0 || !p.StoreReported)
	placed.LoadFrom = p.loadFrom(g, m, req)
	if n := p.levelsToStore(g, m, req); n > 0 {
		placed.StoreTokens = req.Levels[n-1].Tokens
		a.storeLevels = req.Levels[:n]
		p.meters.storeRequests.Inc(1)
	}
	if m.imported > 0 {
		p.meters.loads.Inc(1)
	}
	work := p.heat.Record(req.Levels, p.work(g, m, req), now)
	for _, home := range g.homes {
		home.balance.addWork(work/float64(len(g.homes)), now)
	}
	a.idle = p.idleTime(m, req.Levels, now)
	for _, l := range req.Levels {
		p.table.Put(l.Key, m.generation, now)
	}
	return placed
}

// work returns the engine time that a request needs.
func (p *Placer) work(g *group, m *member, req *hbs.Request) heat.Work {
	decode := float64(req.ExpectedTokens) * g.rates.perOutput / float64(max(1, m.rec.Slots))
	return heat.Work{Decode: seconds(decode), PerToken: seconds(g.rates.perToken), Prompt: req.PromptTokens}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
