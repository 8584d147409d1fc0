package replay

import (
	"cmp"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Limits reports how well the workspace limits that faults set were enforced across
// the whole fleet.
type Limits struct {
	Rate        LimitUsage `json:"rate"`
	Concurrency LimitUsage `json:"concurrency"`
}

// LimitUsage is the usage of one kind of limit, measured once the limit must be in
// force at all instances. Usable is what a single counter for the whole fleet would
// have admitted of the same arrivals.
type LimitUsage struct {
	// Most is the highest usage in any phase, as a fraction of the limit: of the
	// mean rate, or of the largest number of concurrent requests.
	Most float64 `json:"most"`
	// Least is the lowest usage as a fraction of what was usable in any phase
	// without a disturbance, CutLeast the same while a domain was cut off.
	Least    float64 `json:"least"`
	CutLeast float64 `json:"cut_least"`
	// RecoverySeconds is the longest time after a cut was healed, or the balancer's
	// preference changed, until the usage was back at nine tenths of Least.
	RecoverySeconds float64 `json:"recovery_seconds"`
	// Refused is the largest fraction of a workspace's requests that the limit
	// refused.
	Refused float64 `json:"refused_share"`
}

const (
	// Recovery is measured in windows of recoveryWindow seconds, each starting
	// recoveryStep seconds after the one before.
	recoveryWindow = 3.0
	recoveryStep   = 0.5
	// recoveredShare is the fraction of Least from which usage counts as recovered.
	recoveredShare = 0.9
)

// usage is the usage of a limit in one phase.
type usage struct {
	// All are in the unit of the limit. used and usable are means over the phase,
	// most is the peak.
	used, usable, most float64
}

// usageFunc computes the usage in a phase.
type usageFunc func(p phase) usage

// measureLimits measures the enforcement of limits by the answers that callers
// received.
func (r *Replay) measureLimits(rep *Report) {
	for _, w := range r.limits {
		sent := r.sentRequests(w)
		if limit := w.limits.RequestsPerSecond; limit > 0 {
			rep.Limits.Rate.add(r.phases(w), rateUsage(sent, limit), limit)
			rep.Limits.Rate.Refused = max(rep.Limits.Rate.Refused, refusedShare(sent, hbs.ReasonRateLimited))
		}
		if limit := w.limits.Concurrency; limit > 0 {
			rep.Limits.Concurrency.add(r.phases(w), concurrencyUsage(sent, limit), float64(limit))
			rep.Limits.Concurrency.Refused = max(rep.Limits.Concurrency.Refused, refusedShare(sent, hbs.ReasonConcurrency))
		}
	}
}

func (l *LimitUsage) add(phases []phase, usageIn usageFunc, limit float64) {
	for _, p := range phases {
		u := usageIn(p)
		l.Most = max(l.Most, u.most/limit)
		switch p.kind {
		case phaseWhole:
			l.Least = least(l.Least, u)
		case phaseCut:
			l.CutLeast = least(l.CutLeast, u)
		}
	}
	for _, p := range phases {
		if p.kind == phaseRecovering {
			l.RecoverySeconds = max(l.RecoverySeconds, recovery(p, usageIn, recoveredShare*l.Least))
		}
	}
}

// least returns the lower of lowest, where 0 means none so far, and the usage u as a
// fraction of what was usable.
func least(lowest float64, u usage) float64 {
	if u.usable == 0 {
		return lowest
	}
	now := u.used / u.usable
	if lowest == 0 {
		return now
	}
	return min(lowest, now)
}

// recovery returns the time from the start of a phase until usage reached a share
// of what was usable, or the whole phase if it did not.
func recovery(p phase, usageIn usageFunc, share float64) float64 {
	for at := p.from; at+recoveryWindow <= p.to; at += recoveryStep {
		u := usageIn(phase{p.kind, at, at + recoveryWindow})
		if u.used >= share*u.usable {
			return at - p.from
		}
	}
	return p.seconds()
}

// sentRequest is one request of a limited workspace. Times are in seconds from the
// start of the trace.
type sentRequest struct {
	at, end float64
	reason  hbs.Reason
}

func (s *sentRequest) admitted() bool {
	return s.reason != hbs.ReasonRateLimited && s.reason != hbs.ReasonConcurrency
}

// sentRequests returns the requests that the workspace sent while the limit was
// set, by time of sending.
func (r *Replay) sentRequests(w workspaceLimit) (out []sentRequest) {
	for _, res := range r.results {
		s := sentRequest{res.sent.Sub(r.began).Seconds(), res.end.Sub(r.began).Seconds(), res.reason}
		if res.request.Workspace == w.workspace && s.at >= w.from && s.at < w.to {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b sentRequest) int { return cmp.Compare(a.at, b.at) })
	return out
}

func refusedShare(sent []sentRequest, reason hbs.Reason) float64 {
	n := 0
	for _, s := range sent {
		if s.reason == reason {
			n++
		}
	}
	return ratio(n, len(sent))
}

func (l LimitUsage) row(row func(string, string, ...any), name string) {
	if l == (LimitUsage{}) {
		return
	}
	row(name, "used at most %.3f; whole at least %.3f, cut off at least %.3f of what one counter admits; recovered after %.1f s; %.3f refused",
		l.Most, l.Least, l.CutLeast, l.RecoverySeconds, l.Refused)
}
