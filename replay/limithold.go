package replay

import (
	"cmp"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Limits tells how the limits that faults set held over the whole fleet.
type Limits struct {
	Rate        LimitHold `json:"rate"`
	Concurrency LimitHold `json:"concurrency"`
}

// LimitHold is the use of one sort of limit, from when it is in force
// everywhere. What could be used is what one counter for the whole fleet would
// have admitted of the same arrivals.
type LimitHold struct {
	// Most is the greatest use in any phase, cut off or not, as a part of the
	// limit: the mean rate, or the most requests that ran at once.
	Most float64 `json:"most"`
	// Least is the least use while the fleet is whole, as a part of what could
	// be used; CutLeast the same while a domain is cut off.
	Least    float64 `json:"least"`
	CutLeast float64 `json:"cut_least"`
	// RecoverySeconds is the longest time after a cut healed, or the entry moved,
	// until nine tenths of Least are used.
	RecoverySeconds float64 `json:"recovery_seconds"`
	// Refused is the part of the arrivals that the limit refused, of the
	// workspace with the most.
	Refused float64 `json:"refused_share"`
}

// Recovery is looked for in windows, each a step after the one before, in
// seconds.
const (
	recoveryWindow = 3.0
	recoveryStep   = 0.5
	// recovered is the part of the use while the fleet is whole that counts as
	// recovered.
	recovered = 0.9
)

// use is how much of a limit was used in a phase.
type use struct {
	// used and usable are in the unit of limit; most is the greatest use.
	used, usable, most float64
}

// limitUse computes the use in a phase.
type limitUse func(p phase) use

// measureLimits judges the limits by what callers were told.
func (r *Replay) measureLimits(rep *Report) {
	for _, set := range r.limits {
		own := r.sendings(set)
		if limit := set.limits.RequestsPerSecond; limit > 0 {
			rep.Limits.Rate.add(r.phases(set), rateUse(own, limit), limit)
			rep.Limits.Rate.Refused = max(rep.Limits.Rate.Refused, refusedShare(own, hbs.ReasonRateLimited))
		}
		if limit := set.limits.Concurrency; limit > 0 {
			rep.Limits.Concurrency.add(r.phases(set), concurrencyUse(own, limit), float64(limit))
			rep.Limits.Concurrency.Refused = max(rep.Limits.Concurrency.Refused, refusedShare(own, hbs.ReasonConcurrency))
		}
	}
}

func (h *LimitHold) add(phases []phase, of limitUse, limit float64) {
	for _, p := range phases {
		u := of(p)
		h.Most = max(h.Most, u.most/limit)
		switch p.kind {
		case phaseWhole:
			h.Least = least(h.Least, u)
		case phaseCut:
			h.CutLeast = least(h.CutLeast, u)
		}
	}
	for _, p := range phases {
		if p.kind == phaseRecovering {
			h.RecoverySeconds = max(h.RecoverySeconds, recovery(p, of, recovered*h.Least))
		}
	}
}

// least returns the lesser of the use so far, 0 for none, and that of u.
func least(known float64, u use) float64 {
	if u.usable == 0 {
		return known
	}
	now := u.used / u.usable
	if known == 0 {
		return now
	}
	return min(known, now)
}

// recovery returns how long after its start a phase used less than a share of
// what could be used.
func recovery(p phase, of limitUse, share float64) float64 {
	for at := p.from; at+recoveryWindow <= p.to; at += recoveryStep {
		u := of(phase{p.kind, at, at + recoveryWindow})
		if u.used >= share*u.usable {
			return at - p.from
		}
	}
	return p.seconds()
}

// sending is one request of a limited workspace. Times are in seconds from the
// start of the trace.
type sending struct {
	at, end float64
	reason  hbs.Reason
}

func (s *sending) admitted() bool {
	return s.reason != hbs.ReasonRateLimited && s.reason != hbs.ReasonConcurrency
}

// sendings returns those of the workspace while the limit was set, by arrival.
func (r *Replay) sendings(set limitSet) (out []sending) {
	for _, res := range r.results {
		s := sending{res.due.Sub(r.began).Seconds(), res.end.Sub(r.began).Seconds(), res.reason}
		if res.request.Workspace == set.workspace && s.at >= set.from && s.at < set.to {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b sending) int { return cmp.Compare(a.at, b.at) })
	return out
}

func refusedShare(own []sending, reason hbs.Reason) float64 {
	n := 0
	for _, s := range own {
		if s.reason == reason {
			n++
		}
	}
	return ratio(n, len(own))
}

func (h LimitHold) row(row func(string, string, ...any), name string) {
	if h == (LimitHold{}) {
		return
	}
	row(name, "used at most %.3f; whole at least %.3f, cut off at least %.3f of what one counter admits; recovered after %.1f s; %.3f refused",
		h.Most, h.Least, h.CutLeast, h.RecoverySeconds, h.Refused)
}
