package placement

import (
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/belief"
	"github.com/hornbeamstage/hornbeamstage/straggler"
)

// refreshRoster adopts the directory's roster when it has changed.
func (f *Placer) refreshRoster(now time.Time) {
	roster := f.Directory.Roster()
	if roster == f.roster {
		return
	}
	f.roster = roster
	for _, d := range f.domains {
		d.hasInstances = d.name == f.Self.Domain
	}
	for i := range roster.Instances {
		if in := &roster.Instances[i]; in.State == hbs.InstanceLive {
			f.domain(in.Domain).hasInstances = true
		}
	}
	f.updateMembers(roster, now)
	f.regroup()
}

func (f *Placer) updateMembers(roster *hbs.Roster, now time.Time) {
	listed := make(map[hbs.EndpointID]bool, len(roster.Endpoints))
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		listed[e.ID] = true
		f.updateMember(e, now)
	}
	for id, m := range f.members {
		if !listed[id] {
			f.endGeneration(m)
			delete(f.members, id)
			delete(f.byHash, wireID(m.hash))
		}
	}
}

func (f *Placer) updateMember(e *hbs.Endpoint, now time.Time) {
	m := f.members[e.ID]
	if m == nil {
		m = &member{hash: hashID(e.ID)}
		f.members[e.ID] = m
		f.byHash[wireID(m.hash)] = m
	}
	m.rec = *e
	m.domain = f.domain(e.Domain)
	inc, weights := e.Incarnation, e.Weights
	if inc == m.rosterIncarnation {
		inc = ""
	}
	if weights == m.rosterWeights {
		weights = ""
	}
	m.rosterIncarnation, m.rosterWeights = e.Incarnation, e.Weights
	f.observe(m, inc, weights, now)
}

func (f *Placer) domain(name hbs.DomainName) *domain {
	d := f.domains[name]
	if d == nil {
		d = &domain{name: name, hash: hashID(name), hasInstances: name == f.Self.Domain}
		f.domains[name] = d
	}
	return d
}

// regroup assigns the members to the groups of their model and service.
func (f *Placer) regroup() {
	for _, g := range f.groups {
		g.members, g.scores = g.members[:0], g.scores[:0]
		g.eligible = nil
	}
	for _, m := range f.members {
		g := f.group(groupKey{model: m.rec.Model, service: m.rec.Service})
		m.group = g
		g.members = append(g.members, m)
	}
	for _, g := range f.groups {
		slices.SortFunc(g.members, func(a, b *member) int { return compareID(a.rec.ID, b.rec.ID) })
		for _, m := range g.members {
			g.scores = append(g.scores, &m.score)
		}
	}
}

func (f *Placer) group(key groupKey) *group {
	g := f.groups[key]
	if g == nil {
		g = &group{key: key, rates: newRates()}
		f.groups[key] = g
	}
	return g
}

// observe takes a reported incarnation and weights version of an endpoint,
// either of which may be empty. New values start a cache generation without
// beliefs. It returns false when the report is from an earlier incarnation.
func (f *Placer) observe(m *member, inc hbs.Incarnation, weights hbs.WeightsVersion, _ time.Time) bool {
	fresh, current := m.identity.Observe(inc, weights)
	if fresh {
		f.meters.generations.Inc(1)
		f.endGeneration(m)
	}
	if m.generation == 0 {
		f.beginGeneration(m)
	}
	return current
}

func (f *Placer) beginGeneration(m *member) {
	gen := f.generations.Begin()
	if gen == 0 {
		f.sweep(time.Now())
		gen = f.generations.Begin()
	}
	m.generation = gen
	m.age = belief.EvictionAge{}
	m.score = straggler.Score{}
	if int(gen) >= len(f.byGeneration) {
		f.byGeneration = slices.Grow(f.byGeneration, int(gen)+1-len(f.byGeneration))[:int(gen)+1]
	}
	f.byGeneration[gen] = m
}

func (f *Placer) endGeneration(m *member) {
	if m.generation == 0 {
		return
	}
	f.byGeneration[m.generation] = nil
	f.generations.End(m.generation)
	m.generation = 0
}

// sweep removes the beliefs of ended cache generations.
func (f *Placer) sweep(now time.Time) {
	remaining := f.table.Sweep(now, f.generations.Ended)
	f.generations.Reclaim()
	f.meters.beliefs.Update(int64(remaining))
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
