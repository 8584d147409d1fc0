package limit

import "time"

const (
	// restNews is the time for which a claim of nothing is still published, so
	// that all parties learn of its end.
	restNews = 10 * time.Second
	// nearHold is the time for which a claim is still published after it was
	// last near the share, so that noise does not begin and end it all the time.
	nearHold = 5 * time.Second
	// shrinkBelow is the share of the settled demand under which the newest one
	// is used at once. Always the lesser of two noisy values would leave a part
	// of a rate unused; a rate is a mean, so that a short excess does not matter.
	shrinkBelow = 0.6
)

// standing is what a party knows of its own part in the split of a workspace.
type standing struct {
	// published is the newest claim that was sent, settled one that all parties
	// know, and settling the next to become so (rule 1).
	published, settled, settling claim
	// settlingAt is zero while nothing settles.
	publishedAt, settlingAt time.Time
	// nearAt is when the claim was last near the share, restAt when nothing was
	// first published after something.
	nearAt, restAt time.Time
	// agreed is the last split that was computed when all parties were heard;
	// valid only when hasAgreed.
	agreed    split
	hasAgreed bool
}

// due returns what to publish of the claim c, and whether to do so (rule 8).
func (s *standing) due(c claim, near bool, now time.Time) (claim, bool) {
	if near {
		s.nearAt = now
	}
	if !s.nearAt.IsZero() && now.Sub(s.nearAt) <= nearHold {
		return c.coarse(), true
	}
	nothing := claim{Workspace: c.Workspace}
	return nothing, !s.resting(now)
}

// resting reports whether no party holds an older claim than nothing.
func (s *standing) resting(now time.Time) bool {
	if !s.published.zero() {
		return false
	}
	return s.restAt.IsZero() || now.Sub(s.restAt) > restNews
}

// settle lets what was sent settle. heard is when the party was heard that was
// silent for longest.
func (s *standing) settle(heard time.Time) {
	if s.settlingAt.IsZero() || !heard.After(s.settlingAt) {
		return
	}
	s.settled = s.settling
	newer := s.publishedAt.After(s.settlingAt)
	s.settlingAt = time.Time{}
	if newer {
		s.settling, s.settlingAt = s.published, s.publishedAt
	}
}

// publish notes that c was sent.
func (s *standing) publish(c claim, now time.Time) {
	switch {
	case !c.zero():
		s.restAt = time.Time{}
	case !s.published.zero():
		s.restAt = now
	}
	s.published, s.publishedAt = c, now
	if s.settlingAt.IsZero() {
		s.settling, s.settlingAt = c, now
	}
}

// own returns the claim that the party uses for itself (rule 1).
func (s *standing) own() claim {
	c := s.settled
	if s.published.Demand < shrinkBelow*c.Demand {
		c.Demand = s.published.Demand
	}
	c.Wanted = min(c.Wanted, s.published.Wanted)
	return c
}

// hold applies rule 4; even is the share of a party among others of which
// nothing is known.
func (s *standing) hold(now split, silent bool, even split) split {
	if !silent {
		s.agreed, s.hasAgreed = now, true
		return now
	}
	most := even
	if s.hasAgreed {
		most = s.agreed
	}
	now.rate = min(now.rate, most.rate)
	now.concurrency = min(now.concurrency, most.concurrency)
	return now
}
