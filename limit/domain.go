package limit

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// sum is the state of one workspace at a representative: the domain's claim and
// share.
type sum struct {
	localState
	// unclaimedAt is when this instance first computed that no domain claims
	// anything; zero while one does.
	unclaimedAt time.Time
}

// total returns the sum of the claims that the domain's instances published for
// a workspace.
func (l *Limiter) total(id hbs.WorkspaceID) claim {
	all := claim{Workspace: id}
	if a := l.accounts[id]; a != nil {
		all.add(a.state.published)
	}
	for _, p := range l.siblings {
		all.add(p.claims[id])
	}
	return all
}

// computeShares updates the sums and computes the domain's shares. It stores
// them as received from this instance and returns them. There are none while
// this instance is not complete and another representative is (rule 9).
func (l *Limiter) computeShares(now time.Time) (complete bool, shares []share) {
	v := l.refreshView()
	complete = !l.domains.anySilent(v.domains, string(v.domain), now, l.silence())
	var active *representative
	if !complete {
		active = l.activeRepresentative(now)
	}
	for _, id := range l.activeWorkspaces(active == nil) {
		if l.sums[id] == nil {
			l.sums[id] = &sum{}
		}
	}
	for id, s := range l.sums {
		limits := l.Limits(id)
		if limits.none() {
			delete(l.sums, id)
			continue
		}
		if active != nil {
			l.standBy(id, s, active, limits, now)
			continue
		}
		computed := l.domainShare(id, &s.localState, limits, complete, now)
		if s.expired(computed.Unclaimed, now) {
			delete(l.sums, id)
		}
		shares = append(shares, computed)
	}
	if local := l.representatives[l.Self]; local != nil {
		clear(local.shares)
	}
	l.storeShares(l.Self, complete, shares)
	return complete, shares
}

// activeRepresentative returns another representative that is complete and not
// silent, or nil.
func (l *Limiter) activeRepresentative(now time.Time) (found *representative) {
	var name hbs.InstanceID
	for id, r := range l.representatives {
		eligible := id != l.Self && r.complete && !r.silent(now, l.silence())
		if eligible && (found == nil || id < name) {
			found, name = r, id
		}
	}
	return found
}

// standBy updates s from the shares of the active representative, so that this
// instance can continue from them.
func (l *Limiter) standBy(id hbs.WorkspaceID, s *sum, active *representative, limits Limits, now time.Time) {
	if received, ok := active.shares[id]; ok {
		s.adopt(&received, limits)
		return
	}
	if c := l.total(id); c.zero() && s.withdrawn(now) {
		delete(l.sums, id)
	}
}

// expired reports whether the end of all claims has been published for long
// enough, to the instances of the domain and to the other domains.
func (s *sum) expired(unclaimed bool, now time.Time) bool {
	switch {
	case !unclaimed:
		s.unclaimedAt = time.Time{}
		return false
	case s.unclaimedAt.IsZero():
		s.unclaimedAt = now
	}
	return now.Sub(s.unclaimedAt) > zeroClaimPeriod && s.withdrawn(now)
}

// activeWorkspaces returns the workspaces for which any participant claims
// something. With fromSilent, it adds those of which a silent representative sent
// a share.
func (l *Limiter) activeWorkspaces(fromSilent bool) (ids []hbs.WorkspaceID) {
	for id, a := range l.accounts {
		if !a.state.published.zero() {
			ids = append(ids, id)
		}
	}
	for _, t := range []claimTable{l.siblings, l.domains} {
		for _, p := range t {
			for id := range p.claims {
				ids = append(ids, id)
			}
		}
	}
	for name, r := range l.representatives {
		if !fromSilent || name == l.Self || !r.silent(time.Now(), l.silence()) {
			continue
		}
		for id := range r.shares {
			ids = append(ids, id)
		}
	}
	return ids
}

// domainShare computes the domain's share of one workspace.
func (l *Limiter) domainShare(id hbs.WorkspaceID, s *localState, limits Limits, complete bool, now time.Time) share {
	if !s.hasBaseline {
		if other, _ := l.currentShare(id, l.Self, now); other != nil {
			s.adopt(other, limits)
		}
	}
	d := l.domainSplitter(id, limits, s.effective())
	alloc := s.clamp(d.share(), !complete, d.even())
	if complete && l.unclaimed(id) {
		return share{Workspace: id, Unclaimed: true}
	}
	result := share{
		Workspace:     id,
		Concurrency:   alloc.concurrency,
		OthersRunning: alloc.othersRunning,
		Demand:        roundToFloat16(s.confirmed.Demand),
		Wanted:        roundToFloat16(s.confirmed.Wanted),
	}
	if limits.RequestsPerSecond > 0 {
		result.Rate = min(roundToFloat16(alloc.rate/limits.RequestsPerSecond), 1)
	}
	return result
}

// unclaimed reports whether no domain claims anything.
func (l *Limiter) unclaimed(id hbs.WorkspaceID) bool {
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

// adopt sets the state to the share that another representative sent (rule 9).
func (s *localState) adopt(other *share, limits Limits) {
	s.confirmed = claim{Workspace: other.Workspace, Demand: other.Demand, Wanted: other.Wanted}
	s.baseline = allocation{rate: other.Rate * limits.RequestsPerSecond, concurrency: other.Concurrency}
	s.hasBaseline = true
}

// stopRepresenting drops the state of an instance that no longer represents its
// domain.
func (l *Limiter) stopRepresenting() {
	delete(l.representatives, l.Self)
	clear(l.sums)
}
