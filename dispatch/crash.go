package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
)

const (
	// maxCrashes is the number of engines that may crash under one request.
	maxCrashes = 2
	// probeTimeout bounds the dial that finds out whether an engine crashed. It allows
	// many round trips within a region.
	probeTimeout = 200 * time.Millisecond
	// probeInterval is the time for which a refused dial holds, well below the time in
	// which an engine starts again. An engine that breaks connections without crashing
	// gets one dial at a time.
	probeInterval = 250 * time.Millisecond
)

// crashGate refuses a request that crashes engines. Otherwise next, which may be nil,
// decides.
type crashGate struct {
	watch *crashWatch
	next  hbs.Gate
}

// Open implements hornbeamstage.Gate.
func (g *crashGate) Open(ctx context.Context) error {
	w := g.watch
	if r := w.Crashes.Begin(w.req); r != nil {
		return r
	}
	w.connected = time.Now()
	if g.next == nil {
		return nil
	}
	return g.next.Open(ctx)
}

// crashWatch watches one attempt at an engine.
type crashWatch struct {
	*requestState
	call *attempt.Call
	// proven is set once events have arrived twice.
	proven atomic.Bool
	// connected is when the attempt had a connection and was about to send; zero if it
	// never was.
	connected time.Time
}

// watchCrash returns a watch of an attempt that has not started, or nil if there is
// nothing to watch for.
func (s *requestState) watchCrash(c *attempt.Call) *crashWatch {
	if s.Crashes == nil {
		return nil
	}
	w := &crashWatch{requestState: s, call: c}
	c.Gate = &crashGate{w, c.Gate}
	onGap := c.OnGap
	c.OnGap = func(gap time.Duration) {
		if !w.proven.Swap(true) {
			s.Crashes.Answered(s.req)
		}
		onGap(gap)
	}
	return w
}

// conclude reports what the ended attempt proves, and records in its result whether
// its engine crashed.
func (w *crashWatch) conclude(ctx context.Context, res *attempt.Result) {
	if w.connected.IsZero() {
		return
	}
	defer w.Crashes.End(w.req)
	complete := res.End == hbs.EndComplete
	answered := complete && !(w.req.Stream && res.OutputTokens == 0)
	switch {
	case w.proven.Load(), !complete && res.End != hbs.EndBroken, mismatched(res):
	case answered && !res.Unframed:
		w.Crashes.Answered(w.req)
	default:
		w.probe(ctx, res, answered)
	}
}

// probe finds out whether the engine crashed. What ended with its connection was an
// answer only if it didn't.
func (w *crashWatch) probe(ctx context.Context, res *attempt.Result, answered bool) {
	e := &w.call.Placement.Endpoint
	switch {
	case w.probes.refused(ctx, w.Network, e):
		if r := w.Directory.Roster().Endpoint(e.ID); r == nil || r.State == hbs.StateDraining || r.State == hbs.StateLeaving {
			// It was to end.
			return
		}
		res.Crashed = true
		res.NoRetry = !w.Crashes.Crashed(w.req, e, w.connected)
	case answered:
		w.Crashes.Answered(w.req)
	}
}

// mismatched reports whether an attempt ended because its response was another's, which
// says nothing of the engine.
func mismatched(res *attempt.Result) bool {
	return res.Refusal != nil && res.Refusal.Reason == hbs.ReasonAnswerMismatch
}

// crashProbes finds out whether engines listen, with one dial for all attempts that
// broke before it began. The zero value is ready to use.
type crashProbes struct {
	mu     sync.Mutex
	probes map[hbs.EndpointID]*crashProbe
}

// crashProbe is one dial. refused is set before done is closed.
type crashProbe struct {
	started time.Time
	done    chan struct{}
	refused bool
}

// refused reports whether e refuses connections. A dial that began earlier and found it
// listening says nothing: it may have crashed since.
func (c *crashProbes) refused(ctx context.Context, n hbs.Network, e *hbs.Endpoint) bool {
	broken := time.Now()
	for {
		p, first := c.probe(e.ID, broken)
		if first {
			p.run(ctx, n, e)
		}
		<-p.done
		if p.refused || !p.started.Before(broken) {
			return p.refused
		}
	}
}

// probe returns a dial of an endpoint to wait for, and whether the caller has to run
// it.
func (c *crashProbes) probe(id hbs.EndpointID, broken time.Time) (p *crashProbe, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if p = c.probes[id]; p != nil && now.Sub(p.started) < probeInterval && p.serves(broken) {
		return p, false
	}
	for old, o := range c.probes {
		if now.Sub(o.started) > probeInterval+probeTimeout {
			delete(c.probes, old)
		}
	}
	if c.probes == nil {
		c.probes = map[hbs.EndpointID]*crashProbe{}
	}
	p = &crashProbe{started: now, done: make(chan struct{})}
	c.probes[id] = p
	return p, true
}

// serves reports whether the dial's result, or its end, is of use to an attempt that
// broke at a time.
func (p *crashProbe) serves(broken time.Time) bool {
	select {
	case <-p.done:
		return p.refused || !p.started.Before(broken)
	default:
		return true
	}
}

// run dials. It outlives the request, as others may wait for the result.
func (p *crashProbe) run(ctx context.Context, n hbs.Network, e *hbs.Endpoint) {
	defer close(p.done)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	conn, err := n.Dial(ctx, e.Address)
	if err == nil {
		_ = conn.Close()
		return
	}
	p.refused = errors.Is(err, syscall.ECONNREFUSED)
}
