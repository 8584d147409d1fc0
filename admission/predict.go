package admission

import (
	"fmt"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// giveUp returns the time at which w is refused if it still waits (rule 7).
func (q *queue) giveUp(w *waiter) (at time.Time, limited bool) {
	if w.index < 0 {
		return at, false
	}
	at = time.Now().Add(q.c.Policy.Duration(KnobMaxWait, q.scope(w.req)))
	if d := w.req.Deadline; !d.IsZero() && d.Add(-w.service).Before(at) {
		at = d.Add(-w.service)
	}
	if by := w.req.FirstBy; !by.IsZero() && by.Before(at) {
		at = by
	}
	return at, true
}

// early applies rule 6 to a w that has to wait.
func (q *queue) early(w *waiter) *hbs.Refusal {
	if !q.pace.known() {
		return nil
	}
	wait := q.wait(w)
	left := q.c.Policy.Duration(KnobMaxWait, q.scope(w.req))
	if d := w.req.Deadline; !d.IsZero() {
		left = min(left, time.Until(d)-w.service)
	}
	if wait <= left {
		return nil
	}
	q.refused += refusedRate * (1 - q.refused)
	q.c.count("admission_refused_early", 1)
	return hbs.NotRun(hbs.ReasonDeadline, fmt.Sprintf("predicted wait %s", wait.Round(time.Millisecond)), q.retryAfter(w, left))
}

// tooSlow applies rule 7 to the endpoint chosen for w. Light requests are not
// refused for a prediction: while prefixes are computed for the first time, more
// of them are answered in time than are predicted to be.
func (q *queue) tooSlow(w *waiter, p *hbs.Placement) *hbs.Refusal {
	if w.req.Deadline.IsZero() || q.rankOf(w) < rankHeavy {
		return nil
	}
	delay, decode := seconds(*q.pace.delay(p)), q.pace.decode(w.req, w.flow.ratio)
	need := p.FirstToken + delay + decode
	if need <= time.Until(w.req.Deadline) && q.startsInTime(w.req, p.FirstToken+delay) {
		return nil
	}
	q.pace.relax(p)
	q.refused += refusedRate * (1 - q.refused)
	q.c.count("admission_refused_late", 1)
	return hbs.NotRun(hbs.ReasonDeadline, fmt.Sprintf("predicted time %s: first token %s, delay %s, decoding %s",
		need.Round(time.Millisecond), p.FirstToken.Round(time.Millisecond), delay.Round(time.Millisecond), decode.Round(time.Millisecond)), minRetryAfter)
}

// startsInTime tells whether a first token that comes after first comes before the
// caller gives it up.
func (q *queue) startsInTime(req *hbs.Request, first time.Duration) bool {
	return req.FirstBy.IsZero() || first <= time.Until(req.FirstBy)
}

// wait predicts how long w waits, itself included (rule 6).
func (q *queue) wait(w *waiter) time.Duration {
	l := q.lane(w)
	rate := q.pace.rate()
	if other := q.lanes[laneShort+laneLong-laneOf(w)]; other.n > 0 {
		rate *= l.share
	}
	return seconds(l.ahead(w.flow) / rate)
}

// retryAfter tells when w would find a wait of at most left.
func (q *queue) retryAfter(w *waiter, left time.Duration) time.Duration {
	if !q.pace.known() {
		return minRetryAfter
	}
	return max(q.wait(w)-max(left, 0), minRetryAfter)
}
