// Package admission queues requests that can't be placed yet, decides which
// waiting request is placed next and refuses requests that would be served too
// late.
//
// The queueing discipline is start-time fair queueing (Goyal, Vin and Cheng,
// 1996) on two levels: between the lanes of a queue and between the workspaces
// of a lane. Work is measured in expected output tokens; a prompt token counts
// as KnobPromptWeight output tokens.
//
//  1. Each model and each plain service has its own bounded queue.
//  2. A queue has two lanes: requests of at most KnobLongTokens are short, the
//     others long. When both lanes have waiting requests, long work gets
//     KnobLongShare of the admitted work and short work the rest, so neither
//     starves.
//  3. Within a lane each workspace is a flow. A flow that becomes backlogged gets
//     the start tag max(v, its last finish tag), where the virtual time v is the
//     start tag of the flow served last. Serving a request of cost c advances the
//     flow's tag by c divided by the workspace's weight. The flow with the
//     smallest start tag is served next.
//  4. Within a flow, requests are ordered by priority, then by arrival.
//  5. Long work may take at most KnobLongSlots of an endpoint's slots (at least
//     one), counting the long work of peer instances too. If the next long
//     request finds no such slot, short work is served first.
//  6. A request is refused on arrival if its predicted wait exceeds KnobMaxWait or
//     the time in which it must be placed to meet its deadline. The prediction
//     divides the backlog of the request's flow by the flow's fair share of the
//     throughput, so that a workspace below its share is not refused because of
//     another one's backlog.
//  7. A waiting request is refused as soon as it can no longer meet its deadline
//     or the caller's limit for the first event. It is refused on placement if the
//     prediction for the chosen endpoint exceeds either of them, unless its
//     workspace is light (rule 10).
//  8. When a queue overflows, the last request of the flow with the largest
//     backlog relative to its weight is evicted.
//  9. The queue is used only when the endpoints are full: a request waits only
//     after the Placer returned ErrFull. Placement is retried whenever an attempt
//     of this instance ends, and every KnobTick because the peers' attempts end
//     too.
//  10. Workspaces are ranked by their recent demand, measured against two max-min
//     fair levels: the demand per unit of weight at which all workspaces would
//     have to be capped for the total to fall to a given share of the demand. A
//     workspace up to the lower level has rank 0, one up to the higher level
//     rank 1; both are light. All others are heavy and have rank 2. Requests of a
//     lower rank are served before all others, in the queue and at the engines.
//     Fair order alone doesn't protect a workspace whose requests come in bursts,
//     nor one whose requests wait in the engines' queues. Ranks apply as soon as
//     work waits at the endpoints, because engines queue it for seconds before any
//     request is refused. They don't apply earlier, when they would only delay the
//     short work of other workspaces. Long work has no rank at the engines, where
//     it would delay all short work.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Controller queues requests and places or refuses them. Its exported fields must
// not change after first use.
type Controller struct {
	Placer    hbs.Placer
	Directory hbs.Directory
	Policy    hbs.Policy
	Metrics   metrics.Registry
	// Weight returns a workspace's weight in fair queueing, which must be
	// positive. If nil, all workspaces have weight 1.
	Weight func(hbs.WorkspaceID) float64

	once sync.Once
	long *longCounts
	// wakeup is signaled when a request starts to wait. It is buffered, so that
	// the signal is not lost while Run is busy.
	wakeup chan struct{}

	// waiting is the number of waiting requests of all queues.
	waiting atomic.Int64

	mu     sync.Mutex
	queues map[queueKey]*queue
	pruner pruner
}

type queueKey struct {
	model   hbs.ModelName
	service hbs.ServiceName
}

// initOnce creates the internal state on the first call.
func (c *Controller) initOnce() {
	c.once.Do(func() {
		c.queues = map[queueKey]*queue{}
		c.long = newLongCounts()
		c.wakeup = make(chan struct{}, 1)
	})
}

func (c *Controller) weight(w hbs.WorkspaceID) float64 {
	if c.Weight == nil {
		return 1
	}
	return c.Weight(w)
}

// Run retries the queues every KnobTick until ctx ends (rule 9). The ticker is
// stopped while all queues are empty, since waking an idle process costs more
// than the retry itself.
func (c *Controller) Run(ctx context.Context) error {
	c.initOnce()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wakeup:
			c.retryUntilEmpty(ctx)
		}
	}
}

// retryUntilEmpty retries the queues every KnobTick until they are empty or ctx
// ends.
func (c *Controller) retryUntilEmpty(ctx context.Context) {
	tick := time.NewTicker(c.Policy.Duration(KnobTick, hbs.Scope{}))
	defer tick.Stop()
	for c.dispatchAll() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// dispatchAll dispatches from all queues and returns the number of requests that
// still wait.
func (c *Controller) dispatchAll() (n int) {
	for _, q := range c.allQueues() {
		q.mu.Lock()
		q.dispatch()
		n += q.len()
		q.mu.Unlock()
	}
	return n
}

func (c *Controller) allQueues() []*queue {
	c.mu.Lock()
	defer c.mu.Unlock()
	qs := make([]*queue, 0, len(c.queues))
	for _, q := range c.queues {
		qs = append(qs, q)
	}
	return qs
}

// queue returns the queue for req, which it creates if needed.
func (c *Controller) queue(req *hbs.Request) *queue {
	c.initOnce()
	c.mu.Lock()
	defer c.mu.Unlock()
	key := queueKey{req.Model, req.Service}
	now := time.Now()
	q := c.queues[key]
	if q == nil {
		c.removeUnusedQueues(now)
		q = newQueue(c, key)
		c.queues[key] = q
	}
	q.usedAt = now
	return q
}

// removeUnusedQueues removes unused queues: callers may name models that don't exist.
// The caller holds c.mu.
func (c *Controller) removeUnusedQueues(now time.Time) {
	prune(&c.pruner, c.queues, func(q *queue) bool { return now.Sub(q.usedAt) > unusedAfter && q.isEmpty() })
}

// Place blocks until req is placed or refused. The error is a *hbs.Refusal.
func (c *Controller) Place(ctx context.Context, req *hbs.Request) (hbs.Placement, error) {
	q := c.queue(req)
	w := q.newWaiter(req)
	q.mu.Lock()
	q.enqueue(w)
	giveUp, limited := q.queueDeadline(w)
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
		return q.abandon(w, c.contextRefusal(ctx))
	case <-timeout:
		return q.abandon(w, c.timeoutRefusal())
	}
}

// contextRefusal returns the refusal for a request whose context ended while it
// was queued.
func (c *Controller) contextRefusal(ctx context.Context) *hbs.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.count("admission_expired", 1)
		return hbs.NotRun(hbs.ReasonExpired, "", minRetryAfter)
	}
	return hbs.NotRun(hbs.ReasonCanceled, "", 0)
}

// timeoutRefusal returns the refusal for a request that reached its queue
// deadline (rule 7).
func (c *Controller) timeoutRefusal() *hbs.Refusal {
	c.count("admission_given_up", 1)
	return hbs.NotRun(hbs.ReasonDeadline, "no endpoint became free in time", minRetryAfter)
}

// TryPlace places req on an endpoint that is not in avoid. It never queues the
// request, and reports false if it can't be placed now.
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

// Finish releases the reservation of placement p and retries the queue.
func (c *Controller) Finish(req *hbs.Request, p *hbs.Placement, r hbs.AttemptResult) {
	c.Placer.Finish(p, r)
	q := c.queue(req)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordResult(req, p, r)
	q.dispatch()
}

// FirstTokenDelay returns an estimate of the 95th percentile of the time to
// first token minus its prediction, for requests to the model or service of req
// with the engine priority of at.
func (c *Controller) FirstTokenDelay(req *hbs.Request, at *hbs.Placement) time.Duration {
	q := c.queue(req)
	q.mu.Lock()
	defer q.mu.Unlock()
	return seconds(*q.estimates.startDelay(at))
}

func (c *Controller) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(n)
}
