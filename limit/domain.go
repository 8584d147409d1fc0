package limit

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// sum is the domain's own claim of a workspace.
type sum struct {
	standing
	// quietAt is when the domain was first told that no domain claims anything;
	// zero while one does.
	quietAt time.Time
}

// total adds up what the domain's instances published of a workspace.
func (l *Limiter) total(id hbs.WorkspaceID) claim {
	all := claim{Workspace: id}
	if a := l.accounts[id]; a != nil {
		all.add(a.standing.published)
	}
	for _, p := range l.siblings {
		all.add(p.claims[id])
	}
	return all
}

// represent brings the sums up to date and tells this instance the domain's
// shares, which it returns. There are none while another representative hears
// all domains and this one does not (rule 9).
func (l *Limiter) represent(now time.Time) (whole bool, shares []share) {
	v := l.look()
	whole = !l.domains.anySilent(v.domains, string(v.domain), now, l.silence())
	var guide *teller
	if !whole {
		guide = l.guide(now)
	}
	for _, id := range l.claimed(guide == nil) {
		if l.sums[id] == nil {
			l.sums[id] = &sum{}
		}
	}
	for id, s := range l.sums {
		b := l.Bounds(id)
		if b.none() {
			delete(l.sums, id)
			continue
		}
		if guide != nil {
			l.stepBack(id, s, guide, b, now)
			continue
		}
		told := l.domainShare(id, &s.standing, b, whole, now)
		if s.ended(told.Rest, now) {
			delete(l.sums, id)
		}
		shares = append(shares, told)
	}
	if own := l.tellers[l.Self]; own != nil {
		clear(own.shares)
	}
	l.told(l.Self, whole, shares)
	return whole, shares
}

// guide returns another representative that hears all domains, or nil.
func (l *Limiter) guide(now time.Time) (found *teller) {
	var name hbs.InstanceID
	for id, t := range l.tellers {
		good := id != l.Self && t.whole && !t.silent(now, l.silence())
		if good && (found == nil || id < name) {
			found, name = t, id
		}
	}
	return found
}

// stepBack keeps the sum ready to go on from what the guide tells.
func (l *Limiter) stepBack(id hbs.WorkspaceID, s *sum, guide *teller, b Bounds, now time.Time) {
	if told, ok := guide.shares[id]; ok {
		s.follow(&told, b)
		return
	}
	if c := l.total(id); c.zero() && s.resting(now) {
		delete(l.sums, id)
	}
}

// ended reports whether the domain and the others were told of the end of all
// claims for long enough.
func (s *sum) ended(rest bool, now time.Time) bool {
	switch {
	case !rest:
		s.quietAt = time.Time{}
		return false
	case s.quietAt.IsZero():
		s.quietAt = now
	}
	return now.Sub(s.quietAt) > restNews && s.resting(now)
}

// claimed returns the workspaces of which any party claims something, and with
// tellers also those of which another representative told a share.
func (l *Limiter) claimed(tellers bool) (ids []hbs.WorkspaceID) {
	for id, a := range l.accounts {
		if !a.standing.published.zero() {
			ids = append(ids, id)
		}
	}
	for _, t := range []table{l.siblings, l.domains} {
		for _, p := range t {
			for id := range p.claims {
				ids = append(ids, id)
			}
		}
	}
	for name, t := range l.tellers {
		if !tellers || name == l.Self || !t.silent(time.Now(), l.silence()) {
			continue
		}
		for id := range t.shares {
			ids = append(ids, id)
		}
	}
	return ids
}

// domainShare computes the domain's share of one workspace.
func (l *Limiter) domainShare(id hbs.WorkspaceID, s *standing, b Bounds, whole bool, now time.Time) share {
	if !s.hasAgreed {
		if other, _ := l.best(id, l.Self, now); other != nil {
			s.follow(other, b)
		}
	}
	d := l.overDomains(id, b, s.own())
	part := s.hold(d.share(), !whole, d.even())
	if whole && l.atRest(id) {
		return share{Workspace: id, Rest: true}
	}
	told := share{
		Workspace:   id,
		Concurrency: part.concurrency,
		Outside:     part.othersRunning,
		Demand:      coarse(s.settled.Demand),
		Wanted:      coarse(s.settled.Wanted),
	}
	if b.RequestsPerSecond > 0 {
		told.Rate = min(coarse(part.rate/b.RequestsPerSecond), 1)
	}
	return told
}

// atRest reports whether no domain claims anything.
func (l *Limiter) atRest(id hbs.WorkspaceID) bool {
	if c := l.total(id); !c.zero() {
		return false
	}
	for _, p := range l.domains {
		if _, ok := p.claims[id]; ok {
			return false
		}
	}
	return true
}

// follow goes on from what another representative told (rule 9).
func (s *standing) follow(other *share, b Bounds) {
	s.settled = claim{Workspace: other.Workspace, Demand: other.Demand, Wanted: other.Wanted}
	s.agreed = split{rate: other.Rate * b.RequestsPerSecond, concurrency: other.Concurrency}
	s.hasAgreed = true
}

// resign forgets the sums of an instance that no longer represents its domain.
func (l *Limiter) resign() {
	delete(l.tellers, l.Self)
	clear(l.sums)
}
