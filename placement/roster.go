package placement

import (
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/belief"
	"github.com/hornbeamstage/hornbeamstage/straggler"
)

// refresh takes a newer roster.
func (f *Fleet) refresh(now time.Time) {
	roster := f.Directory.Roster()
	if roster == f.roster {
		return
	}
	f.roster = roster
	for _, d := range f.domains {
		d.staffed = d.name == f.Self.Domain
	}
	for i := range roster.Instances {
		if in := &roster.Instances[i]; in.State == hbs.InstanceLive {
			f.domain(in.Domain).staffed = true
		}
	}
	f.updateMembers(roster, now)
	f.regroup()
}

func (f *Fleet) updateMembers(roster *hbs.Roster, now time.Time) {
	listed := make(map[hbs.EndpointID]bool, len(roster.Endpoints))
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		listed[e.ID] = true
		f.updateMember(e, now)
	}
	for id, m := range f.members {
		if !listed[id] {
			f.endLife(m)
			delete(f.members, id)
			delete(f.byHash, wireID(m.hash))
		}
	}
}

func (f *Fleet) updateMember(e *hbs.Endpoint, now time.Time) {
	m := f.members[e.ID]
	if m == nil {
		m = &member{hash: hashID(e.ID)}
		f.members[e.ID] = m
		f.byHash[wireID(m.hash)] = m
	}
	m.rec = *e
	m.domain = f.domain(e.Domain)
	inc, weights := e.Incarnation, e.Weights
	if inc == m.rosterInc {
		inc = ""
	}
	if weights == m.rosterWeights {
		weights = ""
	}
	m.rosterInc, m.rosterWeights = e.Incarnation, e.Weights
	f.observe(m, inc, weights, now)
}

func (f *Fleet) domain(name hbs.DomainName) *domain {
	d := f.domains[name]
	if d == nil {
		d = &domain{name: name, hash: hashID(name), staffed: name == f.Self.Domain}
		f.domains[name] = d
	}
	return d
}

// regroup sorts the members by model and service.
func (f *Fleet) regroup() {
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

func (f *Fleet) group(key groupKey) *group {
	g := f.groups[key]
	if g == nil {
		g = &group{key: key, rates: newRates()}
		f.groups[key] = g
	}
	return g
}

// observe takes word of an endpoint's incarnation and weights, and reports
// whether it is of the current life. A new life starts without beliefs.
func (f *Fleet) observe(m *member, inc hbs.Incarnation, weights hbs.WeightsVersion, _ time.Time) bool {
	began, current := m.identity.Observe(inc, weights)
	if began {
		f.meters.lives.Inc(1)
		f.endLife(m)
	}
	if m.life == 0 {
		f.beginLife(m)
	}
	return current
}

func (f *Fleet) beginLife(m *member) {
	life := f.lives.Begin()
	if life == 0 {
		f.sweep(time.Now())
		life = f.lives.Begin()
	}
	m.life = life
	m.age = belief.Age{}
	m.score = straggler.Score{}
	if int(life) >= len(f.byLife) {
		f.byLife = slices.Grow(f.byLife, int(life)+1-len(f.byLife))[:int(life)+1]
	}
	f.byLife[life] = m
}

func (f *Fleet) endLife(m *member) {
	if m.life == 0 {
		return
	}
	f.byLife[m.life] = nil
	f.lives.End(m.life)
	m.life = 0
}

// sweep removes the beliefs of ended lives.
func (f *Fleet) sweep(now time.Time) {
	kept := f.table.Sweep(now, f.lives.Ended)
	f.lives.Reclaim()
	f.meters.beliefs.Update(int64(kept))
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
