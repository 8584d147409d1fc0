package limit

import (
	"cmp"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// participant is an instance or a domain that gets a part of a split.
type participant struct {
	name string
	// instances is the number of instances: 1, or those of the domain.
	instances int
}

// view is the part of a roster that the splits need.
type view struct {
	roster *hbs.Roster
	domain hbs.DomainName
	// siblings are the instances of this domain, domains all domains. Both
	// include this instance or its domain and are sorted by name.
	siblings, domains []participant
}

// refreshView updates the view to the newest roster (rule 5).
func (l *Limiter) refreshView() *view {
	roster := l.Directory.Roster()
	if l.view.roster == roster {
		return &l.view
	}
	l.view = newView(roster, l.Self, l.view.domain)
	if l.siblings == nil {
		l.siblings, l.domains = claimTable{}, claimTable{}
		l.accounts = map[hbs.WorkspaceID]*account{}
		l.sums = map[hbs.WorkspaceID]*sum{}
		l.representatives = map[hbs.InstanceID]*representative{}
		l.unreachableUntil = map[hbs.InstanceID]time.Time{}
	}
	l.updateEpochs(roster, time.Now())
	l.siblings.retain(l.view.siblings)
	l.domains.retain(l.view.domains)
	l.dropOldRepresentatives()
	return &l.view
}

// representativeTTL is how long the shares of a representative are stored after
// its last digest, so that its successor can continue from them.
const representativeTTL = time.Minute

// dropOldRepresentatives drops representatives whose last digest arrived more
// than representativeTTL before the newest one.
func (l *Limiter) dropOldRepresentatives() {
	var newest time.Time
	for _, r := range l.representatives {
		if r.last.After(newest) {
			newest = r.last
		}
	}
	for id, r := range l.representatives {
		if newest.Sub(r.last) > representativeTTL {
			delete(l.representatives, id)
		}
	}
}

// newView returns the view of a roster. If the roster lacks this instance, its
// domain is the given one.
func newView(roster *hbs.Roster, self hbs.InstanceID, domain hbs.DomainName) view {
	for _, i := range roster.Instances {
		if i.ID == self {
			domain = i.Domain
		}
	}
	sizes := map[hbs.DomainName]int{}
	v := view{roster: roster, domain: domain, siblings: []participant{{string(self), 1}}}
	for _, i := range roster.Instances {
		if i.ID == self {
			continue
		}
		sizes[i.Domain]++
		if i.Domain == domain {
			v.siblings = append(v.siblings, participant{string(i.ID), 1})
		}
	}
	sizes[domain]++
	for name, n := range sizes {
		v.domains = append(v.domains, participant{string(name), n})
	}
	byName := func(a, b participant) int { return cmp.Compare(a.name, b.name) }
	slices.SortFunc(v.siblings, byName)
	slices.SortFunc(v.domains, byName)
	return v
}
