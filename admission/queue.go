package admission

import (
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// queue holds the waiting requests of one model or service (rule 1).
type queue struct {
	c   *Controller
	key queueKey
	// usedAt is the time of the last request; guarded by c.mu.
	usedAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// counted is the part of Controller.waiting that is this queue's.
	counted int
	// lanes is indexed by laneShort and laneLong.
	lanes [2]*lane
	// virtualTime is the start tag of the lane served last.
	virtualTime float64
	// seq is the sequence number of the last arrival.
	seq       uint64
	estimates estimator
	// demand is the recent demand of the workspaces. refusedShare is the moving
	// average share of requests refused because of their deadline (rule 10).
	demand       demand
	refusedShare float64
	// meanWait is the moving average of the wait at the endpoint, in seconds, that
	// the Placer predicts for requests that are not favoured.
	meanWait float64
	// levels[i] is the work per unit of weight up to which a workspace has rank i.
	// levelsSetAt is the time of the last update.
	levels      [rankHeavy]float64
	levelsSetAt time.Time
}

const (
	// refusedSmoothing is the weight of one decision in refusedShare.
	refusedSmoothing = 0.02
	// minServed and maxServed bound the share of the demand that counts as served
	// when the levels are computed. The maximum is below 1 because work waits at
	// the engines for seconds before any is refused, so ranks must apply before
	// there are refusals. The minimum is needed because in deep overload callers
	// retry, and the share of refusals overstates the lack of capacity.
	minServed = 0.6
	maxServed = 0.8
	// waitSmoothing is the weight of one placement in meanWait.
	waitSmoothing = 0.1
	// congestedWait, in seconds, and congestedRefused are the values of meanWait and
	// refusedShare above which light workspaces are favoured. Below both, favouring
	// them would only delay the short work of others.
	congestedWait    = 0.04
	congestedRefused = 0.05
	// levelInterval is the minimum time between two updates of the levels.
	levelInterval = 100 * time.Millisecond
	// rankHeavy is the rank of workspaces above all levels. Workspaces of a lower
	// rank are light.
	rankHeavy = 2
)

// Indexes of queue.lanes.
const (
	laneShort = 0
	laneLong  = 1
)

func newQueue(c *Controller, key queueKey) *queue {
	q := &queue{c: c, key: key}
	for i := range q.lanes {
		q.lanes[i] = &lane{flows: map[hbs.WorkspaceID]*flow{}}
	}
	return q
}

// isEmpty reports whether no request waits. The caller must not hold q.mu.
func (q *queue) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.len() == 0
}

func (q *queue) scope(req *hbs.Request) hbs.Scope {
	return hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service}
}

// newWaiter returns a waiter for req. The caller need not hold q.mu.
func (q *queue) newWaiter(req *hbs.Request) *waiter {
	return &waiter{
		req:     req,
		long:    Long(q.c.Policy, req),
		urgency: urgency(req),
		index:   -1,
		decided: make(chan decision, 1),
	}
}

// lane returns the lane of w. On the first call for w it sets the waiter's flow,
// cost and predicted service time.
func (q *queue) lane(w *waiter) *lane {
	i, share := laneShort, 1-q.c.Policy.Number(KnobLongShare, q.scope(w.req))
	if w.long {
		i, share = laneLong, 1-share
	}
	l := q.lanes[i]
	l.share = share
	if w.flow == nil {
		w.flow = q.flow(l, w)
		w.cost = Cost(q.c.Policy, w.req, w.flow.lengthRatio)
		w.serviceTime = q.estimates.serviceTime(w.cost)
	}
	return l
}

// flow returns the flow of w in l, which it creates if needed. The weight is
// updated only while the flow is not waiting, as l.totalWeight includes it
// otherwise.
func (q *queue) flow(l *lane, w *waiter) *flow {
	now := time.Now()
	f := l.flows[w.req.Workspace]
	if f == nil {
		f = l.addFlow(w.req.Workspace, now)
	}
	f.usedAt = now
	if f.index < 0 {
		f.weight = q.c.weight(w.req.Workspace)
	}
	return f
}

// enqueue adds w to the queue and dispatches. If w then still waits, it applies
// rules 6 and 8.
func (q *queue) enqueue(w *waiter) {
	l := q.lane(w)
	now := time.Now()
	q.demand.add(w.req.Workspace, w.cost, now)
	q.updateLevels(now)
	l.setRank(w.flow, q.workspaceRank(w.req.Workspace))
	q.seq++
	w.seq = q.seq
	if l.n == 0 {
		l.startTag = max(q.virtualTime, l.finishTag)
	}
	l.push(w)
	q.dispatch()
	if w.index < 0 {
		return
	}
	if r := q.earlyRefusal(w); r != nil {
		q.refuse(w, r)
		return
	}
	q.c.count("admission_waited", 1)
	select {
	case q.c.wakeup <- struct{}{}:
	default:
	}
	limit := int(q.c.Policy.Number(KnobQueueLimit, q.scope(w.req)))
	if q.len() > limit {
		q.evict()
	}
	q.updateGauge()
}

// refuse removes the queued request w and delivers its refusal.
func (q *queue) refuse(w *waiter, r *hbs.Refusal) {
	q.lane(w).remove(w)
	q.updateGauge()
	w.decided <- decision{refusal: r}
}

// abandon removes w from the queue and returns the refusal r. If w was placed in
// the meantime, the placement is canceled; if it was refused, that refusal is
// returned instead.
func (q *queue) abandon(w *waiter, r *hbs.Refusal) (hbs.Placement, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		q.lane(w).remove(w)
		q.updateGauge()
		return hbs.Placement{}, r
	}
	d := <-w.decided
	if d.refusal != nil {
		return hbs.Placement{}, d.refusal
	}
	q.c.Placer.Finish(&d.placement, hbs.AttemptResult{End: hbs.EndCanceled, CachedTokens: -1})
	q.release(&d.placement)
	q.dispatch()
	return hbs.Placement{}, r
}

// evict refuses one request of an overflowing queue (rule 8).
func (q *queue) evict() {
	short, shortLoad := q.lanes[laneShort].heaviestFlow()
	long, longLoad := q.lanes[laneLong].heaviestFlow()
	f := short
	if longLoad > shortLoad {
		f = long
	}
	w := f.waiters.last()
	q.c.count("admission_pushed_out", 1)
	q.refuse(w, hbs.NotRun(hbs.ReasonQueueFull, "", q.retryAfter(w, 0)))
}

func laneOf(w *waiter) int {
	if w.long {
		return laneLong
	}
	return laneShort
}

// len returns the number of waiting requests.
func (q *queue) len() int { return q.lanes[laneShort].n + q.lanes[laneLong].n }

// updateGauge adds the change of the queue's length to the number of all waiting
// requests.
func (q *queue) updateGauge() {
	n := q.len()
	total := q.c.waiting.Add(int64(n - q.counted))
	q.counted = n
	metrics.GetOrRegisterGauge("admission_queued", q.c.Metrics).Update(total)
}

// recordResult releases the reservation of an ended attempt and updates the
// estimates.
func (q *queue) recordResult(req *hbs.Request, p *hbs.Placement, r hbs.AttemptResult) {
	w := q.newWaiter(req)
	q.lane(w)
	q.release(p)
	if p.Endpoint.Kind == hbs.KindEngine && req.Stream {
		q.estimates.recordStart(p, r)
	}
	if r.End != hbs.EndComplete {
		return
	}
	w.flow.updateRatio(req, r)
	q.estimates.recordCompletion(Cost(q.c.Policy, req, w.flow.lengthRatio), r)
}

// seconds converts s to a Duration. It limits s so that the result doesn't
// overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
