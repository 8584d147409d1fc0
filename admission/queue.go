package admission

import (
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// queue is the requests of one model or service (rule 1).
type queue struct {
	c   *Controller
	key queueKey

	// mu guards all below.
	mu sync.Mutex
	// lanes are short and long.
	lanes [2]*lane
	// v is the start tag of the lane served last.
	v    float64
	seq  uint64
	pace pace
	// demand is what workspaces ask for; refused is the decaying share of the
	// requests that were refused for their deadline (rule 10).
	demand  demand
	refused float64
	// waits is the decaying mean of the waits, in seconds, that the Placer
	// predicted for requests that were not favoured.
	waits float64
	// levels are the work for each unit of weight up to which a workspace has a
	// rank; looked is when they were set.
	levels [rankHeavy]float64
	looked time.Time
}

const (
	// refusedRate is the weight of one decision in the share of refused requests.
	refusedRate = 0.02
	// leastServed and mostServed bound the share of the demand that is taken as
	// served when the levels are set. Work waits at engines for seconds before any
	// of it is refused, so the order has to hold before there are refusals. In deep
	// overload callers ask again, and the share of refusals overstates the lack.
	leastServed = 0.6
	mostServed  = 0.8
	// waitsRate is the weight of one placement in the mean of the predicted waits.
	waitsRate = 0.1
	// crowdedWait and crowdedRefused are the mean predicted wait, in seconds, and
	// the share of refused requests from which light workspaces are favoured. Below
	// both, their going first would only keep others' short work waiting.
	crowdedWait    = 0.04
	crowdedRefused = 0.05
	// levelEvery is the time between two looks at the demand.
	levelEvery = 100 * time.Millisecond
	// rankHeavy is the rank of workspaces above all levels; lower ones are light.
	rankHeavy = 2
)

// The lanes of a queue.
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

func (q *queue) scope(req *hbs.Request) hbs.Scope {
	return hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service}
}

// newWaiter measures req. It needs no lock.
func (q *queue) newWaiter(req *hbs.Request) *waiter {
	return &waiter{
		req:     req,
		long:    Long(q.c.Policy, req),
		urgency: urgency(req),
		index:   -1,
		decided: make(chan decision, 1),
	}
}

// lane returns the lane of w and sets its flow.
func (q *queue) lane(w *waiter) *lane {
	i, share := laneShort, 1-q.c.Policy.Number(KnobLongShare, q.scope(w.req))
	if w.long {
		i, share = laneLong, 1-share
	}
	l := q.lanes[i]
	l.share = share
	if w.flow == nil {
		w.flow = q.flow(l, w)
		w.cost = Cost(q.c.Policy, w.req, w.flow.ratio)
		w.service = q.pace.service(w.cost)
	}
	return l
}

func (q *queue) flow(l *lane, w *waiter) *flow {
	f := l.flows[w.req.Workspace]
	if f == nil {
		f = &flow{workspace: w.req.Workspace, index: -1, ratio: 1, rank: rankHeavy}
		l.flows[w.req.Workspace] = f
	}
	if f.index < 0 {
		f.weight = q.c.weight(w.req.Workspace)
	}
	return f
}

// arrive queues w, serves what can be served and applies rules 6 and 8.
func (q *queue) arrive(w *waiter) {
	l := q.lane(w)
	now := time.Now()
	q.demand.add(w.req.Workspace, w.cost, now)
	q.look(now)
	l.mark(w.flow, q.rank(w.req.Workspace))
	q.seq++
	w.seq = q.seq
	if l.n == 0 {
		l.start = max(q.v, l.finish)
	}
	l.push(w)
	q.pump()
	if w.index < 0 {
		return
	}
	if r := q.early(w); r != nil {
		q.refuse(w, r)
		return
	}
	q.c.count("admission_waited", 1)
	select {
	case q.c.waiting <- struct{}{}:
	default:
	}
	limit := int(q.c.Policy.Number(KnobQueueLimit, q.scope(w.req)))
	if q.len() > limit {
		q.pushOut()
	}
	q.gauge()
}

// refuse ends the wait of a queued w.
func (q *queue) refuse(w *waiter, r *hbs.Refusal) {
	q.lane(w).remove(w)
	q.gauge()
	w.decided <- decision{refusal: r}
}

// abandon takes w out of the queue. When w was decided in the meantime, that
// decision is taken back.
func (q *queue) abandon(w *waiter, r *hbs.Refusal) (hbs.Placement, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		q.lane(w).remove(w)
		q.gauge()
		return hbs.Placement{}, r
	}
	d := <-w.decided
	if d.refusal != nil {
		return hbs.Placement{}, d.refusal
	}
	q.c.Placer.Finish(&d.placement, hbs.AttemptResult{End: hbs.EndCanceled, CachedTokens: -1})
	q.drop(&d.placement, w.long)
	q.pump()
	return hbs.Placement{}, r
}

// pushOut makes room in a full queue (rule 8).
func (q *queue) pushOut() {
	short, shortLoad := q.lanes[laneShort].heaviest()
	long, longLoad := q.lanes[laneLong].heaviest()
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

func (q *queue) gauge() {
	metrics.GetOrRegisterGauge("admission_queued", q.c.Metrics).Update(int64(q.len()))
}

// finished learns from the end of an attempt.
func (q *queue) finished(req *hbs.Request, p *hbs.Placement, r hbs.AttemptResult) {
	w := q.newWaiter(req)
	q.lane(w)
	q.drop(p, w.long)
	if p.Endpoint.Kind == hbs.KindEngine && req.Stream {
		q.pace.started(p, r)
	}
	if r.End != hbs.EndComplete {
		return
	}
	w.flow.learn(req, r)
	q.pace.learn(Cost(q.c.Policy, req, w.flow.ratio), r)
}

// seconds converts s, bounded to what a Duration holds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
