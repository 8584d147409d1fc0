package limit

import (
	"cmp"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// seat is a party of a split.
type seat struct {
	name string
	// instances is how many instances the party has.
	instances int
}

// view is what the splits need of one roster.
type view struct {
	roster *hbs.Roster
	domain hbs.DomainName
	// siblings are the instances of the domain and domains all domains, this
	// instance and its domain among them, by name.
	siblings, domains []seat
}

// look brings the view up to the newest roster (rule 5).
func (l *Limiter) look() *view {
	roster := l.Directory.Roster()
	if l.view.roster == roster {
		return &l.view
	}
	l.view = newView(roster, l.Self, l.view.domain)
	if l.siblings == nil {
		l.siblings, l.domains = table{}, table{}
		l.accounts = map[hbs.WorkspaceID]*account{}
		l.sums = map[hbs.WorkspaceID]*sum{}
		l.tellers = map[hbs.InstanceID]*teller{}
		l.unreached = map[hbs.InstanceID]time.Time{}
	}
	l.age(roster, time.Now())
	l.siblings.keep(l.view.siblings)
	l.domains.keep(l.view.domains)
	l.keepTellers()
	return &l.view
}

// tellerLife is the time for which the shares of a representative that is gone
// are kept for the one that goes on from them.
const tellerLife = time.Minute

// keepTellers drops representatives that others have long taken over from.
func (l *Limiter) keepTellers() {
	var newest time.Time
	for _, t := range l.tellers {
		if t.last.After(newest) {
			newest = t.last
		}
	}
	for id, t := range l.tellers {
		if newest.Sub(t.last) > tellerLife {
			delete(l.tellers, id)
		}
	}
}

// newView keeps the domain when the roster lacks this instance.
func newView(roster *hbs.Roster, self hbs.InstanceID, domain hbs.DomainName) view {
	for _, i := range roster.Instances {
		if i.ID == self {
			domain = i.Domain
		}
	}
	sizes := map[hbs.DomainName]int{}
	v := view{roster: roster, domain: domain, siblings: []seat{{string(self), 1}}}
	for _, i := range roster.Instances {
		if i.ID == self {
			continue
		}
		sizes[i.Domain]++
		if i.Domain == domain {
			v.siblings = append(v.siblings, seat{string(i.ID), 1})
		}
	}
	sizes[domain]++
	for name, n := range sizes {
		v.domains = append(v.domains, seat{string(name), n})
	}
	byName := func(a, b seat) int { return cmp.Compare(a.name, b.name) }
	slices.SortFunc(v.siblings, byName)
	slices.SortFunc(v.domains, byName)
	return v
}
