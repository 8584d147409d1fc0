package limit

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// quietGaps is the number of its usual gaps for which a party may be quiet.
	quietGaps = 3
	// longestGap bounds, in times of KnobSilence, what one gap adds to the usual.
	longestGap = 2
	// gapWeight is the weight of the newest gap in the usual one.
	gapWeight = 0.2
)

// hearing tells when a party was heard.
type hearing struct {
	last time.Time
	// gap is a moving mean of the times between two digests. Large domains send
	// seldom.
	gap time.Duration
}

func (h *hearing) hear(now time.Time, silence time.Duration) {
	if !h.last.IsZero() {
		gap := min(now.Sub(h.last), longestGap*silence)
		h.gap += time.Duration(gapWeight * float64(gap-h.gap))
	}
	h.last = now
}

// silent reports whether the party was quiet for too long (rule 4).
func (h *hearing) silent(now time.Time, silence time.Duration) bool {
	return now.Sub(h.last) > max(silence, quietGaps*h.gap)
}

// table holds what the other parties of one split published, by party.
type table map[string]*peer

// peer is what another party published.
type peer struct {
	hearing
	claims map[hbs.WorkspaceID]claim
}

// take notes the claims of a party.
func (t table) take(name string, claims []claim, silence time.Duration) {
	p := t[name]
	if p == nil {
		p = &peer{claims: map[hbs.WorkspaceID]claim{}}
		t[name] = p
	}
	p.hear(time.Now(), silence)
	for _, c := range claims {
		if c.zero() {
			delete(p.claims, c.Workspace)
			continue
		}
		p.claims[c.Workspace] = c
	}
}

// oldest returns when the party was heard that was silent for longest; the zero
// time if one was never heard, now without parties.
func (t table) oldest(seats []seat, self string, now time.Time) time.Time {
	oldest := now
	for _, s := range seats {
		if s.name == self {
			continue
		}
		p := t[s.name]
		if p == nil {
			return time.Time{}
		}
		if p.last.Before(oldest) {
			oldest = p.last
		}
	}
	return oldest
}

// anySilent reports whether a party is silent or was never heard.
func (t table) anySilent(seats []seat, self string, now time.Time, silence time.Duration) bool {
	for _, s := range seats {
		if s.name == self {
			continue
		}
		if p := t[s.name]; p == nil || p.silent(now, silence) {
			return true
		}
	}
	return false
}

// claim returns a party's claim of a workspace; nothing when there is none.
func (t table) claim(name string, id hbs.WorkspaceID) claim {
	if p := t[name]; p != nil {
		return p.claims[id]
	}
	return claim{}
}

// keep drops parties without a seat.
func (t table) keep(seats []seat) {
	seated := make(map[string]bool, len(seats))
	for _, s := range seats {
		seated[s.name] = true
	}
	for name := range t {
		if !seated[name] {
			delete(t, name)
		}
	}
}
