package placement

import (
	"maps"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/backpressure"
	"github.com/hornbeamstage/hornbeamstage/belief"
	"github.com/hornbeamstage/hornbeamstage/straggler"
)

// refreshRoster adopts the directory's roster when it has changed.
func (p *Placer) refreshRoster(now time.Time) {
	roster := p.Directory.Roster()
	if roster == p.roster {
		return
	}
	p.roster = roster
	for _, d := range p.domains {
		d.hasInstances = d.name == p.Self.Domain
	}
	for i := range roster.Instances {
		if in := &roster.Instances[i]; in.State == hbs.InstanceLive {
			p.domain(in.Domain).hasInstances = true
		}
	}
	p.updateMembers(roster, now)
	p.regroup(now)
}

func (p *Placer) updateMembers(roster *hbs.Roster, now time.Time) {
	listed := make(map[hbs.EndpointID]bool, len(roster.Endpoints))
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		listed[e.ID] = true
		p.updateMember(e, now)
	}
	for id, m := range p.members {
		if !listed[id] {
			p.endGeneration(m)
			delete(p.members, id)
			delete(p.byHash, wireID(m.hash))
		}
	}
	p.removeDomains(roster)
	p.countLimited()
}

// removeDomains removes the failure domains without endpoints and instances.
func (p *Placer) removeDomains(roster *hbs.Roster) {
	listed := map[hbs.DomainName]bool{p.Self.Domain: true}
	for i := range roster.Endpoints {
		listed[roster.Endpoints[i].Domain] = true
	}
	maps.DeleteFunc(p.domains, func(name hbs.DomainName, d *domain) bool { return !listed[name] && !d.hasInstances })
}

func (p *Placer) updateMember(e *hbs.Endpoint, now time.Time) {
	m := p.members[e.ID]
	if m == nil {
		m = &member{hash: hashID(e.ID)}
		p.members[e.ID] = m
		p.byHash[wireID(m.hash)] = m
	}
	if !m.rec.SameIncarnation(e) {
		m.pressure = backpressure.State{Endpoint: e.ID, Shares: &p.shares}
	}
	m.rec = *e
	m.domain = p.domain(e.Domain)
	inc, weights := e.Incarnation, e.Weights
	if inc == m.rosterIncarnation {
		inc = ""
	}
	if weights == m.rosterWeights {
		weights = ""
	}
	m.rosterIncarnation, m.rosterWeights = e.Incarnation, e.Weights
	p.observe(m, inc, weights, now)
}

func (p *Placer) domain(name hbs.DomainName) *domain {
	d := p.domains[name]
	if d == nil {
		own := name == p.Self.Domain
		d = &domain{name: name, hash: hashID(name), hasInstances: own, own: own}
		p.domains[name] = d
	}
	return d
}

// emptyGroupTTL is how long a group without endpoints is kept: its learned rates are
// useful when the endpoints come back.
const emptyGroupTTL = 10 * time.Minute

// regroup assigns the members to the groups of their model and service.
func (p *Placer) regroup(now time.Time) {
	for _, g := range p.groups {
		g.members, g.scores = g.members[:0], g.scores[:0]
		g.eligible = nil
	}
	for _, m := range p.members {
		g := p.group(groupKey{model: m.rec.Model, service: m.rec.Service})
		m.group = g
		g.members = append(g.members, m)
	}
	for _, g := range p.groups {
		slices.SortFunc(g.members, func(a, b *member) int { return compareID(a.rec.ID, b.rec.ID) })
		for _, m := range g.members {
			g.scores = append(g.scores, &m.score)
		}
		if len(g.members) > 0 {
			g.lastMember = now
		}
	}
	maps.DeleteFunc(p.groups, func(_ groupKey, g *group) bool { return now.Sub(g.lastMember) > emptyGroupTTL })
}

func (p *Placer) group(key groupKey) *group {
	g := p.groups[key]
	if g == nil {
		g = &group{key: key, rates: newRates()}
		p.groups[key] = g
	}
	return g
}

// observe processes a report of an endpoint's incarnation and weights, either of
// which may be empty. New values begin a cache generation without beliefs. It
// returns false when the report is from an earlier incarnation.
func (p *Placer) observe(m *member, inc hbs.Incarnation, weights hbs.WeightsVersion, _ time.Time) bool {
	began, current := m.identity.Observe(inc, weights)
	if began {
		p.meters.generations.Inc(1)
		p.endGeneration(m)
	}
	if m.generation == 0 {
		p.beginGeneration(m)
	}
	return current
}

func (p *Placer) beginGeneration(m *member) {
	gen := p.generations.Begin()
	if gen == 0 {
		p.sweep(time.Now())
		gen = p.generations.Begin()
	}
	m.generation = gen
	m.age = belief.EvictionAge{}
	m.score = straggler.Score{}
	if int(gen) >= len(p.byGeneration) {
		p.byGeneration = slices.Grow(p.byGeneration, int(gen)+1-len(p.byGeneration))[:int(gen)+1]
	}
	p.byGeneration[gen] = m
}

func (p *Placer) endGeneration(m *member) {
	if m.generation == 0 {
		return
	}
	p.byGeneration[m.generation] = nil
	p.generations.End(m.generation)
	m.generation = 0
}

// sweep removes the beliefs of ended cache generations.
func (p *Placer) sweep(now time.Time) {
	remaining := p.table.Sweep(now, p.generations.Ended)
	p.generations.Reclaim()
	p.meters.beliefs.Update(int64(remaining))
}

func compareID(a, b hbs.EndpointID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
