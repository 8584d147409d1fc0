// Package replay plays a recorded trace against real router instances and
// stand-ins in one process, and measures what callers and endpoints saw.
//
// In virtual time the whole fleet runs inside a testing/synctest bubble over
// an in-memory network; in real time it runs over loopback TCP. Every measure
// comes from the callers' side or from the stand-ins' own records, never from
// what a router says of itself.
package replay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/settings"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// Process is what a router instance is started with.
type Process struct {
	Settings settings.Settings
	Network  hbs.Network
	// Policy names the placement; empty is the router's own.
	Policy string
	Seed   uint64
	Log    *zap.Logger
}

// Node is one router instance.
type Node struct {
	// Run serves until a stop has been carried out or ctx ends, which cuts
	// running requests.
	Run func(ctx context.Context) error
	// Stop asks for a graceful stop.
	Stop func()
	// Pause freezes the instance with its timers until Resume. Both are nil
	// where only its bytes can be held.
	Pause, Resume func() error
}

// Starter makes a router instance.
type Starter func(p Process) Node

// Clock is the clock of a replay.
type Clock string

// The clocks.
const (
	ClockVirtual Clock = "virtual"
	ClockReal    Clock = "real"
)

// Times of a replay.
const (
	// domainDelay is the one-way time between two failure domains.
	domainDelay = time.Millisecond
	// listLag is how late the platform's lists of endpoints and instances are.
	listLag = 700 * time.Millisecond
	// readyWait bounds the start of the fleet.
	readyWait = 20 * time.Second
	// settle is the time from the fleet's start to the first request.
	settle = 2 * time.Second
	// patience is how long a caller waits after its deadline.
	patience = 5 * time.Second
)

// Replay plays one trace. Exported fields are set before Run.
type Replay struct {
	Trace *trace.Trace
	Start Starter
	// Policy names the placement; empty is the router's own.
	Policy string
	Seed   uint64
	Clock  Clock
	Faults []Fault
	// Load multiplies the rate of arrivals; 0 is 1.
	Load float64
	// Without drops the requests of one size of work.
	Without trace.Work
	Log     *zap.Logger

	rng     *rand.Rand
	fleet   *fleet
	callers *callers
	probes  []*probe

	mu      sync.Mutex
	results []*result
	err     error
	// departures are the endpoints that were listed as leaving.
	departures []departure
	rollouts   []rollout
	limits     []limitSet
	// servable is the part of each model's crest that its engines can serve.
	servable map[hbs.ModelName]float64
	// began is the time of the trace's start.
	began time.Time
}

// Run plays the trace and returns its report. In virtual time it must be
// called inside a bubble, see Enter.
func (r *Replay) Run(ctx context.Context) (rep *Report, err error) {
	defer func() { err = errors.Wrapf(err, "replay %s", r.Trace.Header.Name) }()
	r.adjust()
	ctx, cancel := context.WithCancel(ctx)
	r.fleet = newFleet(r.Trace.Header.Fleet, r.Seed, r.Log, r.network())
	r.fleet.start(ctx, r.Start, r.Policy, r.Trace.Header.Workspaces)
	r.callers = newCallers(r)
	defer func() {
		r.callers.close()
		cancel()
		r.fleet.wait()
		r.awaitDials()
	}()
	if err := r.fleet.ready(ctx, readyWait); err != nil {
		return nil, err
	}
	_ = delay.For(ctx, settle)
	r.play(ctx)
	if r.err != nil {
		return nil, r.err
	}
	return r.measure(), nil
}

// awaitDials waits for connections that nobody asks for any more: net/http makes
// them in goroutines of its own, and a bubble must not end before they do.
func (r *Replay) awaitDials() {
	if r.Clock == ClockVirtual {
		time.Sleep(network.DialTimeout)
	}
}

// adjust applies Load, Without and surges to a copy of the requests.
func (r *Replay) adjust() {
	r.rng = rand.New(rand.NewPCG(r.Seed, 4))
	load := r.Load
	if load <= 0 {
		load = 1
	}
	t := &trace.Trace{Header: r.Trace.Header}
	t.Header.Seconds /= load
	t.Header.Crests = nil
	for _, c := range r.Trace.Header.Crests {
		t.Header.Crests = append(t.Header.Crests, trace.Crest{From: c.From / load, To: c.To / load})
	}
	for _, q := range r.Trace.Requests {
		if r.Without != "" && q.Work == r.Without {
			continue
		}
		q.At /= load
		t.Requests = append(t.Requests, q)
	}
	r.surge(t)
	r.Trace = t
}

// network returns the network of each domain.
func (r *Replay) network() domains {
	if r.Clock == ClockReal {
		return loopback{}
	}
	return &virtual{&memnet.Fabric{Delay: domainDelay}}
}

// play sends all requests and applies all faults at their times.
func (r *Replay) play(ctx context.Context) {
	r.began = time.Now()
	r.fleet.mark()
	var duties conc.WaitGroup
	duties.Go(func() { r.applyFaults(ctx, r.began) })
	var sends conc.WaitGroup
	for i := range r.Trace.Requests {
		q := &r.Trace.Requests[i]
		_ = delay.For(ctx, time.Until(r.began.Add(q.Arrival())))
		sends.Go(func() { r.request(ctx, q) })
	}
	sends.Wait()
	duties.Wait()
}

// request plays one request and, where its caller does, its repetition. With an
// idempotency key callers also repeat what a stalled instance did not answer.
func (r *Replay) request(ctx context.Context, q *trace.Request) {
	var wg conc.WaitGroup
	if q.AgainSeconds > 0 {
		wg.Go(func() {
			_ = delay.For(ctx, trace.Seconds(q.AgainSeconds))
			r.keep(r.callers.send(ctx, q, true))
		})
	}
	res := r.callers.send(ctx, q, false)
	r.keep(res)
	if res.stuck() {
		r.keep(r.callers.send(ctx, q, true))
	}
	wg.Wait()
}

func (r *Replay) keep(res *result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// failed notes a fault that could not be applied; the replay then proves nothing.
func (r *Replay) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = errors.CombineErrors(r.err, err)
}
