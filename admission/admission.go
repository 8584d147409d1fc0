// Package admission decides which waiting request is placed next and which are
// refused.
//
// Order of service is start-time fair queueing (Goyal, Vin and Cheng, 1996) on
// two levels. Work is measured in expected output tokens, a prompt token
// counting KnobPromptWeight of one.
//
//  1. Each model and each plain service has a bounded queue of its own.
//  2. A queue has two classes: requests of at most KnobLongTokens are short,
//     the others long. When both wait, long work gets KnobLongShare of the
//     admitted work and short work the rest, so neither starves.
//  3. Within a class each workspace is a flow. A flow that starts to wait gets
//     the start tag max(v, its last finish tag), where v is the start tag of the
//     flow served last. Serving a request of cost c moves the flow's tag by
//     c divided by the workspace's weight. The flow with the least tag is next.
//  4. Within a flow the more urgent priority is first, then the earlier arrival.
//  5. Long work may take at most KnobLongSlots of an endpoint's slots (at least
//     one), counting the peers' long work too. Long work that finds no such slot
//     lets short work go first.
//  6. A request whose deadline or KnobMaxWait cannot be met at the present rate
//     is refused on arrival. Its wait is predicted by what its own flow has
//     waiting over the flow's fair share of the rate, so that a workspace under
//     its share is not refused for another one's backlog.
//  7. A request is refused at the moment at which its deadline can no longer be
//     met, or the first event comes too late for the caller, and on placement when
//     the prediction of the chosen endpoint says so, unless its workspace is light
//     (rule 10).
//     It never waits longer for its refusal.
//  8. A full queue pushes out the last request of the flow that waits with the
//     most work for its weight.
//  9. Nothing is queued while there is room: a request waits only after the
//     Placer answered ErrFull. The queue is tried again whenever an attempt of
//     this instance ends, and each KnobTick for news of the peers.
//  10. A workspace is light that asks for no more than it would get if all were
//     held to the one level at which they ask for most of their demand (max-min
//     fairness). There are two levels, and three ranks by them. Requests of a
//     lower rank go before all others, here and at the engines: fair order alone
//     can't protect a workspace whose requests come in bursts, or where engines
//     have queues too. The ranks hold from when work waits at endpoints, as engines
//     queue it for seconds before any is refused, and not before: going first,
//     light workspaces would keep the short work of others waiting. Long work has no rank at the engines, where it would
//     keep all short work waiting.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Controller admits requests. Its fields are set before use.
type Controller struct {
	Placer    hbs.Placer
	Directory hbs.Directory
	Policy    hbs.Policy
	Metrics   metrics.Registry
	// Weight returns a workspace's share in fair queueing; positive. Nil gives
	// all the same.
	Weight func(hbs.WorkspaceID) float64

	once sync.Once
	long *longWork
	// waiting has room for one signal that a request has begun to wait.
	waiting chan struct{}

	mu     sync.Mutex
	queues map[queueKey]*queue
}

type queueKey struct {
	model   hbs.ModelName
	service hbs.ServiceName
}

func (c *Controller) start() {
	c.once.Do(func() {
		c.queues = map[queueKey]*queue{}
		c.long = newLongWork()
		c.waiting = make(chan struct{}, 1)
	})
}

func (c *Controller) weight(w hbs.WorkspaceID) float64 {
	if c.Weight == nil {
		return 1
	}
	return c.Weight(w)
}

// Run tries the queues again at each tick until ctx ends (rule 9). While nothing
// waits there are no ticks: waking an idle process costs more than the try.
func (c *Controller) Run(ctx context.Context) error {
	c.start()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.waiting:
			c.tick(ctx)
		}
	}
}

// tick tries the queues until they are empty or ctx ends.
func (c *Controller) tick(ctx context.Context) {
	tick := time.NewTicker(c.Policy.Duration(KnobTick, hbs.Scope{}))
	defer tick.Stop()
	for c.tryAll() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// tryAll returns how many requests still wait.
func (c *Controller) tryAll() (n int) {
	for _, q := range c.all() {
		q.mu.Lock()
		q.pump()
		n += q.len()
		q.mu.Unlock()
	}
	return n
}

func (c *Controller) all() []*queue {
	c.mu.Lock()
	defer c.mu.Unlock()
	qs := make([]*queue, 0, len(c.queues))
	for _, q := range c.queues {
		qs = append(qs, q)
	}
	return qs
}

func (c *Controller) queue(req *hbs.Request) *queue {
	c.start()
	c.mu.Lock()
	defer c.mu.Unlock()
	key := queueKey{req.Model, req.Service}
	q := c.queues[key]
	if q == nil {
		q = newQueue(c, key)
		c.queues[key] = q
	}
	return q
}

// Place waits until req is placed or refused. The error is a *hbs.Refusal.
func (c *Controller) Place(ctx context.Context, req *hbs.Request) (hbs.Placement, error) {
	q := c.queue(req)
	w := q.newWaiter(req)
	q.mu.Lock()
	q.arrive(w)
	giveUp, limited := q.giveUp(w)
	q.mu.Unlock()
	var timeout <-chan time.Time
	if limited {
		t := time.NewTimer(time.Until(giveUp))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case d := <-w.decided:
		return d.placement, d.err()
	case <-ctx.Done():
		return q.abandon(w, c.left(ctx))
	case <-timeout:
		return q.abandon(w, c.tooLate(q))
	}
}

// left returns the refusal of a request whose context ended in the queue.
func (c *Controller) left(ctx context.Context) *hbs.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.count("admission_expired", 1)
		return hbs.NotRun(hbs.ReasonExpired, "", minRetryAfter)
	}
	return hbs.NotRun(hbs.ReasonCanceled, "", 0)
}

// tooLate returns the refusal of a request that gave up waiting (rule 7).
func (c *Controller) tooLate(*queue) *hbs.Refusal {
	c.count("admission_given_up", 1)
	return hbs.NotRun(hbs.ReasonDeadline, "no endpoint became free in time", minRetryAfter)
}

// TryPlace places req at once outside avoid, or reports false. Nothing waits.
func (c *Controller) TryPlace(req *hbs.Request, avoid []hbs.EndpointID) (hbs.Placement, bool) {
	q := c.queue(req)
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.newWaiter(req)
	p, err := q.place(w, avoid)
	if err != nil {
		return hbs.Placement{}, false
	}
	q.charge(w)
	return p, true
}

// Finish ends the booking of a placement and tries the queue again.
func (c *Controller) Finish(req *hbs.Request, p *hbs.Placement, r hbs.AttemptResult) {
	c.Placer.Finish(p, r)
	q := c.queue(req)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finished(req, p, r)
	q.pump()
}

// Delay returns by how much the time to the first token of requests like req
// placed as at exceeds its prediction, but for one in twenty.
func (c *Controller) Delay(req *hbs.Request, at *hbs.Placement) time.Duration {
	q := c.queue(req)
	q.mu.Lock()
	defer q.mu.Unlock()
	return seconds(*q.pace.delay(at))
}

func (c *Controller) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(n)
}
