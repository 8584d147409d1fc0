package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
)

// runHedged runs the attempt at p and starts a hedge if it is slow. Only a
// request's first attempt is hedged.
func (s *requestState) runHedged(ctx context.Context, p hbs.Placement) attempt.Result {
	after, may := s.hedges.After(s.req, &p, s.admission.FirstTokenDelay(s.req, &p), s.Placer.Slowness(&p))
	if !may || s.startedCount > 0 {
		res := s.runAttempt(ctx, s.newCall(&p))
		s.recordAttempt(&res)
		return res
	}
	r := &race{requestState: s, won: make(chan struct{}), ended: make(chan int, maxParallelAttempts)}
	return r.run(ctx, &p, after)
}

// hedgeRetryInterval is the time after which a hedge that was refused is tried
// again.
const hedgeRetryInterval = 100 * time.Millisecond

// maxParallelAttempts is the number of attempts that may run at the same time.
const maxParallelAttempts = 2

// race runs up to two attempts of one request in parallel. The attempt whose
// response starts first wins, and the other is canceled.
type race struct {
	*requestState

	wg conc.WaitGroup
	// ended receives the index of each attempt that ends.
	ended chan int
	// denialCounted is set once a hedge was refused for lack of budget.
	denialCounted bool

	mu     sync.Mutex
	racers []*racer
	// winner is nil until an attempt wins, at which point won is closed.
	winner *racer
	won    chan struct{}
}

// racer is one of the attempts of a race.
type racer struct {
	cancel context.CancelFunc
	// result is set when the attempt ends.
	result attempt.Result
}

// run starts the attempt at p, hedges it after the given time, and returns the
// result once all attempts have ended.
func (r *race) run(ctx context.Context, p *hbs.Placement, after time.Duration) attempt.Result {
	defer r.cancelAll()
	r.launch(ctx, p)
	hedge := time.NewTimer(after)
	defer hedge.Stop()
	for waiting := true; waiting; {
		select {
		case <-r.ended:
			waiting = false
		case <-r.won:
			waiting = false
		case <-hedge.C:
			waiting = !r.tryHedge(ctx, p)
			hedge.Reset(hedgeRetryInterval)
		}
	}
	r.wg.Wait()
	return r.pickResult()
}

// launch starts an attempt at p.
func (r *race) launch(ctx context.Context, p *hbs.Placement) {
	ctx, cancel := context.WithCancel(ctx)
	me := &racer{cancel: cancel}
	r.mu.Lock()
	n := len(r.racers)
	r.racers = append(r.racers, me)
	r.mu.Unlock()
	c := r.newCall(p)
	c.Win = func() bool { return r.claimWin(me) }
	r.wg.Go(func() {
		me.result = r.requestState.runAttempt(ctx, c)
		r.ended <- n
	})
}

// tryHedge starts the second attempt if the budget allows it and an endpoint
// has a free slot. It reports whether it did.
func (r *race) tryHedge(ctx context.Context, first *hbs.Placement) bool {
	if r.hasWinner() {
		return false
	}
	if !r.hedges.Allow(r.req, r.Placer.Slowness(first)) {
		r.countDenial()
		return false
	}
	p, ok := r.admission.TryPlace(r.req, r.tried)
	if !ok {
		r.hedges.Refund(r.req)
		return false
	}
	r.launch(ctx, &p)
	return true
}

// countDenial counts only the first refusal of a race in the metric.
func (r *race) countDenial() {
	if !r.denialCounted {
		r.hedges.CountDenied()
	}
	r.denialCounted = true
}

// hasWinner reports whether an attempt has won.
func (r *race) hasWinner() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil
}

// claimWin makes me the winner and cancels the others, unless another attempt
// has already won. It reports whether me is the winner.
func (r *race) claimWin(me *racer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return r.winner == me
	}
	r.winner = me
	close(r.won)
	for _, other := range r.racers {
		if other != me {
			other.cancel()
		}
	}
	return true
}

func (r *race) cancelAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rc := range r.racers {
		rc.cancel()
	}
}

// pickResult returns the winner's result. Without a winner it returns the last
// one that was not canceled, or the first attempt's if all were.
func (r *race) pickResult() attempt.Result {
	result := r.racers[0].result
	for i, rc := range r.racers {
		r.recordAttempt(&rc.result)
		switch {
		case rc == r.winner:
			result = rc.result
			if i > 0 {
				r.hedges.CountWon()
			}
		case r.winner != nil:
			r.hedges.CountLost(&rc.result)
		case rc.result.End != hbs.EndCanceled:
			result = rc.result
		}
	}
	return result
}
