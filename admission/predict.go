package admission

import (
	"fmt"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// queueDeadline returns the time at which w is refused if it still waits (rule 7).
// limited is false if w doesn't wait.
func (q *queue) queueDeadline(w *waiter) (at time.Time, limited bool) {
	if w.index < 0 {
		return at, false
	}
	at = time.Now().Add(q.c.Policy.Duration(KnobMaxWait, q.scope(w.req)))
	if d := w.req.Deadline; !d.IsZero() && d.Add(-w.serviceTime).Before(at) {
		at = d.Add(-w.serviceTime)
	}
	if by := w.req.FirstEventDeadline; !by.IsZero() && by.Before(at) {
		at = by
	}
	return at, true
}

// earlyRefusal returns the refusal of the queued request w if its predicted wait
// is too long, else nil (rule 6).
func (q *queue) earlyRefusal(w *waiter) *hbs.Refusal {
	if !q.estimates.ready() {
		return nil
	}
	wait := q.predictedWait(w)
	left := q.c.Policy.Duration(KnobMaxWait, q.scope(w.req))
	if d := w.req.Deadline; !d.IsZero() {
		left = min(left, time.Until(d)-w.serviceTime)
	}
	if wait <= left {
		return nil
	}
	q.refusedShare += refusedSmoothing * (1 - q.refusedShare)
	q.c.count("admission_refused_early", 1)
	return hbs.NotRun(hbs.ReasonDeadline, fmt.Sprintf("predicted wait %s", wait.Round(time.Millisecond)), q.retryAfter(w, left))
}

// lateRefusal returns the refusal of w if the prediction for the chosen endpoint
// misses its deadline or its limit for the first event, else nil (rule 7).
// Requests of light workspaces are never refused here: the predictions are too
// pessimistic for them while prefixes are still computed for the first time. Nor is one
// refused for the time to decode while no other one runs: only attempts that end correct
// that estimate.
func (q *queue) lateRefusal(w *waiter, p *hbs.Placement) *hbs.Refusal {
	if w.req.Deadline.IsZero() || q.engineRank(w) < rankHeavy {
		return nil
	}
	delay, decode := seconds(*q.estimates.startDelay(p)), q.estimates.decodeTime(w.req, w.flow.lengthRatio)
	if q.estimates.running <= 1 { // w alone
		decode = 0
	}
	need := p.FirstToken + delay + decode
	if need <= time.Until(w.req.Deadline) && q.startsInTime(w.req, p.FirstToken+delay) {
		return nil
	}
	q.estimates.decayDelay(p)
	q.refusedShare += refusedSmoothing * (1 - q.refusedShare)
	q.c.count("admission_refused_late", 1)
	return hbs.NotRun(hbs.ReasonDeadline, fmt.Sprintf("predicted time %s: first token %s, delay %s, decoding %s",
		need.Round(time.Millisecond), p.FirstToken.Round(time.Millisecond), delay.Round(time.Millisecond), decode.Round(time.Millisecond)), minRetryAfter)
}

// startsInTime reports whether a time to first token of first meets the caller's
// limit.
func (q *queue) startsInTime(req *hbs.Request, first time.Duration) bool {
	return req.FirstEventDeadline.IsZero() || first <= time.Until(req.FirstEventDeadline)
}

// predictedWait returns the predicted time to work off the backlog up to and
// including w (rule 6).
func (q *queue) predictedWait(w *waiter) time.Duration {
	l := q.lane(w)
	rate := q.estimates.throughput()
	if other := q.lanes[laneShort+laneLong-laneOf(w)]; other.n > 0 {
		rate *= l.share
	}
	return seconds(l.workAhead(w.flow) / rate)
}

// retryAfter returns the time after which the predicted wait of w will have fallen
// to left, but at least minRetryAfter.
func (q *queue) retryAfter(w *waiter, left time.Duration) time.Duration {
	if !q.estimates.ready() {
		return minRetryAfter
	}
	return max(q.predictedWait(w)-max(left, 0), minRetryAfter)
}
