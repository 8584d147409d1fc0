package admission

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// pump serves the queue while there is room.
func (q *queue) pump() {
	for {
		first, second := q.order()
		if first == nil {
			return
		}
		if q.serve(first) {
			continue
		}
		// Long work that finds no slot lets short work go first (rule 5). When
		// short work finds none, long work finds none either.
		if second == nil || first != q.lanes[laneLong] || !q.serve(second) {
			return
		}
	}
}

// order returns the lanes with waiters, the one to serve first in front.
func (q *queue) order() (first, second *lane) {
	short, long := q.lanes[laneShort], q.lanes[laneLong]
	switch {
	case short.n == 0 && long.n == 0:
		return nil, nil
	case short.n == 0:
		return long, nil
	case long.n == 0:
		return short, nil
	case long.start < short.start:
		return long, short
	}
	return short, long
}

// serve places the head of l, or refuses it. It reports false when there is no
// room for it.
func (q *queue) serve(l *lane) bool {
	w := l.head()
	p, err := q.place(w, nil)
	switch {
	case errors.Is(err, hbs.ErrFull):
		return false
	case err != nil:
		q.refuse(w, hbs.NotRun(hbs.ReasonNoEndpoint, "", minRetryAfter))
		return true
	}
	if r := q.tooSlow(w, &p); r != nil {
		q.c.Placer.Finish(&p, hbs.AttemptResult{End: hbs.EndCanceled, CachedTokens: -1})
		q.drop(&p, w.long)
		q.refuse(w, r)
		return true
	}
	q.charge(w)
	q.refused *= 1 - refusedRate
	l.remove(w)
	q.gauge()
	w.decided <- decision{placement: p}
	return true
}

// place asks the Placer and books long work (rule 5).
func (q *queue) place(w *waiter, avoid []hbs.EndpointID) (hbs.Placement, error) {
	if w.long {
		taken := q.c.long.full(q.c.Directory, q.c.Policy, w.req)
		avoid = append(taken, avoid...)
	}
	rank := q.rankOf(w)
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
		q.waits += waitsRate * (p.Wait.Seconds() - q.waits)
	}
	p.Priority = enginePriority(w.req, p.CachedTokens, rank)
	q.pace.running++
	if w.long {
		q.c.long.add(p.Endpoint.ID, 1)
	}
	return p, nil
}

// look sets the level anew.
func (q *queue) look(now time.Time) {
	if now.Sub(q.looked) < levelEvery {
		return
	}
	q.looked = now
	served := min(max(1-q.refused, leastServed), mostServed)
	for i, share := range [rankHeavy]float64{leastServed, served} {
		q.levels[i] = math.Inf(-1)
		if q.crowded() {
			q.levels[i] = q.demand.level(share, q.c.weight)
		}
	}
}

// crowded reports whether work waits at the endpoints, or is refused.
func (q *queue) crowded() bool { return q.waits > crowdedWait || q.refused > crowdedRefused }

// rank applies rule 10.
func (q *queue) rank(id hbs.WorkspaceID) int {
	for i, level := range q.levels {
		if q.demand.work[id] <= level*q.c.weight(id) {
			return i
		}
	}
	return rankHeavy
}

// rankOf returns the rank of w at engines. Long work is not favoured: it would
// keep the short work of all others waiting.
func (q *queue) rankOf(w *waiter) int {
	if w.long {
		return rankHeavy
	}
	return q.rank(w.req.Workspace)
}

// drop takes back the booking of place.
func (q *queue) drop(p *hbs.Placement, long bool) {
	q.pace.running--
	if long {
		q.c.long.add(p.Endpoint.ID, -1)
	}
}

// charge moves the tags of lane and flow for a served w.
func (q *queue) charge(w *waiter) {
	l := q.lane(w)
	start := l.start
	if l.n == 0 {
		start = max(q.v, l.finish)
	}
	q.v = start
	l.finish = start + w.cost/l.share
	l.start = l.finish
	l.charge(w)
}
