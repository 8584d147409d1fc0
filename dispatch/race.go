package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
)

// attempts runs the attempt at p, with a hedge when it is slow.
func (s *serving) attempts(ctx context.Context, p hbs.Placement) attempt.Result {
	after, may := s.hedges.After(s.req, &p, s.admission.Delay(s.req, &p), s.Placer.Slowness(&p))
	if !may || s.tries > 0 {
		res := s.run(ctx, s.call(&p))
		s.note(&res)
		return res
	}
	r := &race{serving: s, won: make(chan struct{}), ends: make(chan int, maxRunners)}
	return r.run(ctx, &p, after)
}

// askAgain is the time after which a hedge that was refused is asked for again.
const askAgain = 100 * time.Millisecond

// maxRunners is the number of attempts that may run beside each other.
const maxRunners = 2

// race is up to two attempts of one request. The one whose answer starts
// first wins and cancels the other.
type race struct {
	*serving

	wg conc.WaitGroup
	// ends gets the number of each attempt that ended.
	ends chan int
	// refused: the budget did not allow a hedge yet.
	refused bool

	mu      sync.Mutex
	runners []*runner
	// winner is nil until won is closed.
	winner *runner
	won    chan struct{}
}

type runner struct {
	cancel context.CancelFunc
	// result is set when the attempt ended.
	result attempt.Result
}

func (r *race) run(ctx context.Context, p *hbs.Placement, after time.Duration) attempt.Result {
	defer r.cancelAll()
	r.launch(ctx, p)
	hedge := time.NewTimer(after)
	defer hedge.Stop()
	for waiting := true; waiting; {
		select {
		case <-r.ends:
			waiting = false
		case <-r.won:
			waiting = false
		case <-hedge.C:
			waiting = !r.hedge(ctx, p)
			hedge.Reset(askAgain)
		}
	}
	r.wg.Wait()
	return r.settle()
}

// launch starts the attempt at p.
func (r *race) launch(ctx context.Context, p *hbs.Placement) {
	ctx, cancel := context.WithCancel(ctx)
	me := &runner{cancel: cancel}
	r.mu.Lock()
	n := len(r.runners)
	r.runners = append(r.runners, me)
	r.mu.Unlock()
	c := r.call(p)
	c.Win = func() bool { return r.claim(me) }
	r.wg.Go(func() {
		me.result = r.serving.run(ctx, c)
		r.ends <- n
	})
}

// hedge starts the second attempt where there is room and budget. It reports
// whether it did.
func (r *race) hedge(ctx context.Context, first *hbs.Placement) bool {
	if r.decided() {
		return false
	}
	if !r.hedges.Allow(r.req, r.Placer.Slowness(first)) {
		r.denied()
		return false
	}
	p, ok := r.admission.TryPlace(r.req, r.avoid)
	if !ok {
		r.hedges.Refund(r.req)
		return false
	}
	r.launch(ctx, &p)
	return true
}

// denied counts the first refusal only.
func (r *race) denied() {
	if !r.refused {
		r.hedges.Denied()
	}
	r.refused = true
}

func (r *race) decided() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil
}

// claim makes me the winner unless there is one.
func (r *race) claim(me *runner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return r.winner == me
	}
	r.winner = me
	close(r.won)
	for _, other := range r.runners {
		if other != me {
			other.cancel()
		}
	}
	return true
}

func (r *race) cancelAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runner := range r.runners {
		runner.cancel()
	}
}

// settle returns the result of the race: the winner's, else the last one's
// that is not a mere cancel.
func (r *race) settle() attempt.Result {
	result := r.runners[0].result
	for i, runner := range r.runners {
		r.note(&runner.result)
		switch {
		case runner == r.winner:
			result = runner.result
			if i > 0 {
				r.hedges.Won()
			}
		case r.winner != nil:
			r.hedges.Lost(&runner.result)
		case runner.result.End != hbs.EndCanceled:
			result = runner.result
		}
	}
	return result
}
