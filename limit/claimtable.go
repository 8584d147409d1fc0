package limit

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// silentGaps is the number of its mean gaps after which a participant is
	// silent.
	silentGaps = 3
	// maxGapSilences bounds a gap that is added to the mean, as a multiple of
	// KnobSilence.
	maxGapSilences = 2
	// gapWeight is the weight of the newest gap in the mean.
	gapWeight = 0.2
)

// liveness tracks when digests from a sender arrive.
type liveness struct {
	last time.Time
	// meanGap is a moving mean of the time between two digests. Instances of
	// large domains send less often.
	meanGap time.Duration
}

// observe records a digest that arrived now.
func (l *liveness) observe(now time.Time, silence time.Duration) {
	if !l.last.IsZero() {
		gap := min(now.Sub(l.last), maxGapSilences*silence)
		l.meanGap += time.Duration(gapWeight * float64(gap-l.meanGap))
	}
	l.last = now
}

// silent reports whether no digest from the sender has arrived for too long (rule
// 4).
func (l *liveness) silent(now time.Time, silence time.Duration) bool {
	return now.Sub(l.last) > max(silence, silentGaps*l.meanGap)
}

// claimTable holds what the other participants of a split published, by name.
type claimTable map[string]*peer

// peer is the state of another participant.
type peer struct {
	liveness
	claims map[hbs.WorkspaceID]claim
}

// update stores the claims that a participant published.
func (t claimTable) update(name string, claims []claim, silence time.Duration) {
	p := t[name]
	if p == nil {
		p = &peer{claims: map[hbs.WorkspaceID]claim{}}
		t[name] = p
	}
	p.observe(time.Now(), silence)
	for _, c := range claims {
		if c.zero() {
			delete(p.claims, c.Workspace)
			continue
		}
		p.claims[c.Workspace] = c
	}
}

// oldestContact returns the earliest of the times at which the last digest from
// each other participant arrived. It returns the zero time if none has arrived
// from one of them, and now if there are no others.
func (t claimTable) oldestContact(participants []participant, self string, now time.Time) time.Time {
	oldest := now
	for _, other := range participants {
		if other.name == self {
			continue
		}
		p := t[other.name]
		if p == nil {
			return time.Time{}
		}
		if p.last.Before(oldest) {
			oldest = p.last
		}
	}
	return oldest
}

// anySilent reports whether another participant is silent or has never sent a
// digest.
func (t claimTable) anySilent(participants []participant, self string, now time.Time, silence time.Duration) bool {
	for _, other := range participants {
		if other.name == self {
			continue
		}
		if p := t[other.name]; p == nil || p.silent(now, silence) {
			return true
		}
	}
	return false
}

// claim returns a participant's claim for a workspace, zero if there is none.
func (t claimTable) claim(name string, id hbs.WorkspaceID) claim {
	if p := t[name]; p != nil {
		return p.claims[id]
	}
	return claim{}
}

// retain drops peers that are not among the participants.
func (t claimTable) retain(participants []participant) {
	present := make(map[string]bool, len(participants))
	for _, p := range participants {
		present[p.name] = true
	}
	for name := range t {
		if !present[name] {
			delete(t, name)
		}
	}
}
