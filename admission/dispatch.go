package admission

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// dispatch serves waiting requests until none can be placed.
func (q *queue) dispatch() {
	for {
		first, second := q.lanesInOrder()
		if first == nil {
			return
		}
		if q.serve(first) {
			continue
		}
		// Long work may be blocked by its own limit of slots while short work can
		// still be placed (rule 5). If short work can't be placed, neither can
		// long work.
		if second == nil || first != q.lanes[laneLong] || !q.serve(second) {
			return
		}
	}
}

// lanesInOrder returns the lanes with waiting requests in order of service, nil
// in place of empty lanes.
func (q *queue) lanesInOrder() (first, second *lane) {
	short, long := q.lanes[laneShort], q.lanes[laneLong]
	switch {
	case short.n == 0 && long.n == 0:
		return nil, nil
	case short.n == 0:
		return long, nil
	case long.n == 0:
		return short, nil
	case long.startTag < short.startTag:
		return long, short
	}
	return short, long
}

// serve places or refuses the head of l. It reports false if the endpoints are
// full.
func (q *queue) serve(l *lane) bool {
	w := l.head()
	p, err := q.place(w, nil)
	switch {
	case errors.Is(err, hbs.ErrFull):
		return false
	case err != nil:
		q.refuse(w, notPlaced(err))
		return true
	}
	if r := q.lateRefusal(w, &p); r != nil {
		q.c.Placer.Finish(&p, hbs.AttemptResult{End: hbs.EndCanceled, CachedTokens: -1})
		q.release(&p)
		q.refuse(w, r)
		return true
	}
	q.charge(w)
	q.refusedShare *= 1 - refusedSmoothing
	l.remove(w)
	q.updateGauge()
	w.decided <- decision{placement: p}
	return true
}

// notPlaced returns the refusal of a request for which there is no endpoint.
func notPlaced(err error) *hbs.Refusal {
	var closed *hbs.ClosedError
	if errors.As(err, &closed) {
		return hbs.NotRun(hbs.ReasonNoEndpoint, err.Error(), max(time.Until(closed.Opens), minRetryAfter))
	}
	return hbs.NotRun(hbs.ReasonNoEndpoint, "", minRetryAfter)
}

// place calls the Placer and counts the attempt as running. For long work it
// enforces the limit of rule 5.
func (q *queue) place(w *waiter, avoid []hbs.EndpointID) (hbs.Placement, error) {
	if w.long {
		taken := q.c.long.endpointsAtLimit(q.c.Directory, q.c.Policy, w.req)
		avoid = append(taken, avoid...)
	}
	rank := q.engineRank(w)
	req := *w.req
	req.Favoured = rank < rankHeavy
	p, err := q.c.Placer.Place(&req, avoid)
	if w.long && errors.Is(err, hbs.ErrNoEndpoint) && len(avoid) > 0 {
		return p, hbs.ErrFull
	}
	if err != nil {
		return p, err
	}
	if !req.Favoured {
		q.meanWait += waitSmoothing * (p.Wait.Seconds() - q.meanWait)
	}
	p.Priority = enginePriority(w.req, p.CachedTokens, rank)
	q.estimates.running++
	p.Long = w.long
	if p.Long {
		q.c.long.add(p.Endpoint.ID, 1)
	}
	return p, nil
}

// updateLevels recomputes the levels, at most once in levelInterval. While the
// endpoints are not congested, no workspace is light.
func (q *queue) updateLevels(now time.Time) {
	if now.Sub(q.levelsSetAt) < levelInterval {
		return
	}
	q.levelsSetAt = now
	served := min(max(1-q.refusedShare, minServed), maxServed)
	for i, share := range [rankHeavy]float64{minServed, served} {
		q.levels[i] = math.Inf(-1)
		if q.congested() {
			q.levels[i] = q.demand.fairLevel(share, q.c.weight)
		}
	}
}

// congested reports whether requests wait at the endpoints or are refused.
func (q *queue) congested() bool {
	return q.meanWait > congestedWait || q.refusedShare > congestedRefused
}

// workspaceRank returns the rank of a workspace (rule 10).
func (q *queue) workspaceRank(id hbs.WorkspaceID) int {
	for i, level := range q.levels {
		if q.demand.work[id] <= level*q.c.weight(id) {
			return i
		}
	}
	return rankHeavy
}

// engineRank returns the rank of w at the engines. Long work is not favoured, as it
// would delay the short work of all other workspaces.
func (q *queue) engineRank(w *waiter) int {
	if w.long {
		return rankHeavy
	}
	return q.workspaceRank(w.req.Workspace)
}

// release undoes the accounting of place.
func (q *queue) release(p *hbs.Placement) {
	q.estimates.running--
	if p.Long {
		q.c.long.add(p.Endpoint.ID, -1)
	}
}

// charge advances the tags of the lane and the flow for the served request w.
func (q *queue) charge(w *waiter) {
	l := q.lane(w)
	start := l.startTag
	if l.n == 0 {
		start = max(q.virtualTime, l.finishTag)
	}
	q.virtualTime = start
	l.finishTag = start + w.cost/l.share
	l.startTag = l.finishTag
	l.charge(w)
}
