package limit

import "time"

const (
	// zeroClaimPeriod is how long a zero claim is published after a nonzero
	// one, so that all participants learn of it.
	zeroClaimPeriod = 10 * time.Second
	// publishHold is how long a claim is still published after it was last near
	// the share, so that noise does not start and stop it repeatedly.
	publishHold = 5 * time.Second
	// shrinkBelow is the fraction of the confirmed demand below which the
	// newest one is used at once. Always using the lesser of two noisy values
	// would leave a part of a rate unused. An excess for a short time does not
	// matter, since a rate is a mean.
	shrinkBelow = 0.6
)

// localState is the state of a participant's own claim and share in the split
// of a workspace.
type localState struct {
	// published is the newest claim that was sent, confirmed one that all
	// participants know, and pending the next one to be confirmed (rule 1).
	published, confirmed, pending claim
	// pendingAt is when pending was sent; zero if there is none.
	publishedAt, pendingAt time.Time
	// nearShareAt is when the claim was last near the share, zeroAt when a zero
	// claim was first published after a nonzero one.
	nearShareAt, zeroAt time.Time
	// baseline is the last share that was computed while no participant was
	// silent; valid only if hasBaseline.
	baseline    allocation
	hasBaseline bool
}

// toPublish returns the claim to publish for the current claim c, and whether
// to publish it at all (rule 8).
func (s *localState) toPublish(c claim, near bool, now time.Time) (claim, bool) {
	if near {
		s.nearShareAt = now
	}
	if !s.nearShareAt.IsZero() && now.Sub(s.nearShareAt) <= publishHold {
		return c.rounded(), true
	}
	zero := claim{Workspace: c.Workspace}
	return zero, !s.withdrawn(now)
}

// withdrawn reports whether the published claim is zero, and was for so long
// that no participant still has an older one.
func (s *localState) withdrawn(now time.Time) bool {
	if !s.published.zero() {
		return false
	}
	return s.zeroAt.IsZero() || now.Sub(s.zeroAt) > zeroClaimPeriod
}

// confirm confirms the pending claim if digests from all other participants have
// arrived since it was sent. oldest is the result of oldestContact.
func (s *localState) confirm(oldest time.Time) {
	if s.pendingAt.IsZero() || !oldest.After(s.pendingAt) {
		return
	}
	s.confirmed = s.pending
	newer := s.publishedAt.After(s.pendingAt)
	s.pendingAt = time.Time{}
	if newer {
		s.pending, s.pendingAt = s.published, s.publishedAt
	}
}

// recordPublished records that c was sent.
func (s *localState) recordPublished(c claim, now time.Time) {
	switch {
	case !c.zero():
		s.zeroAt = time.Time{}
	case !s.published.zero():
		s.zeroAt = now
	}
	s.published, s.publishedAt = c, now
	if s.pendingAt.IsZero() {
		s.pending, s.pendingAt = c, now
	}
}

// effective returns the claim that the participant uses for itself (rule 1).
func (s *localState) effective() claim {
	c := s.confirmed
	if s.published.Demand < shrinkBelow*c.Demand {
		c.Demand = s.published.Demand
	}
	c.Wanted = min(c.Wanted, s.published.Wanted)
	return c
}

// clamp keeps the share from growing while a participant is silent (rule 4).
// even is the bound if there is no baseline yet.
func (s *localState) clamp(computed allocation, silent bool, even allocation) allocation {
	if !silent {
		s.baseline, s.hasBaseline = computed, true
		return computed
	}
	bound := even
	if s.hasBaseline {
		bound = s.baseline
	}
	computed.rate = min(computed.rate, bound.rate)
	computed.concurrency = min(computed.concurrency, bound.concurrency)
	return computed
}
