// Package replay plays a recorded trace against real router instances and
// simulated endpoints and platform (stand-ins) in one process, and measures what
// callers and endpoints observed.
//
// With the virtual clock the whole fleet runs inside a testing/synctest bubble on
// an in-memory network; with the real clock it runs on loopback TCP. Every measure
// comes from the callers or from the records of the stand-ins, never from what a
// router reports about itself.
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

// Process is the configuration that a router instance is started with.
type Process struct {
	Settings settings.Settings
	Network  hbs.Network
	// Policy names the placement policy; empty selects the router's default.
	Policy string
	Seed   uint64
	Log    *zap.Logger
}

// Node controls one running router instance.
type Node struct {
	// Run serves until a graceful stop has completed or ctx ends, which aborts
	// the running requests.
	Run func(ctx context.Context) error
	// Stop requests a graceful stop and returns without waiting for it.
	Stop func()
	// Pause freezes the whole instance, including its timers, until Resume. Both
	// are nil if only the instance's network traffic can be held.
	Pause, Resume func() error
}

// Starter creates a router instance.
type Starter func(p Process) Node

// Clock selects virtual or real time.
type Clock string

const (
	ClockVirtual Clock = "virtual"
	ClockReal    Clock = "real"
)

const (
	// domainDelay is the one-way network delay between two failure domains.
	domainDelay = time.Millisecond
	// listLag is the delay before a change shows in the platform's lists of
	// endpoints and instances.
	listLag = 700 * time.Millisecond
	// readyWait limits the time in which the fleet must become ready.
	readyWait = 20 * time.Second
	// settleTime is the time from the fleet's readiness to the first request.
	settleTime = 2 * time.Second
	// answerGrace is how long a caller waits for an answer after its deadline.
	answerGrace = 5 * time.Second
)

// Replay plays one trace. The exported fields are set before Run.
type Replay struct {
	Trace *trace.Trace
	Start Starter
	// Policy names the placement policy; empty selects the router's default.
	Policy string
	Seed   uint64
	Clock  Clock
	Faults []Fault
	// Load multiplies the arrival rate; 0 means 1.
	Load float64
	// Without, if set, drops the requests of this size.
	Without trace.Work
	Log     *zap.Logger

	rng     *rand.Rand
	fleet   *fleet
	callers *callers
	probes  []*probe

	mu      sync.Mutex
	results []*result
	err     error
	// departures are the endpoints that the platform listed as leaving.
	departures []departure
	rollouts   []rollout
	limits     []workspaceLimit
	// servableShare is, for each model, the share of the load offered during
	// crests that its engines have the capacity to serve.
	servableShare map[hbs.ModelName]float64
	// began is when the first request of the trace was due.
	began time.Time
}

// Run plays the trace and returns its report. With the virtual clock it must be
// called inside a bubble, see RunWithT.
func (r *Replay) Run(ctx context.Context) (rep *Report, err error) {
	defer func() { err = errors.Wrapf(err, "replay %s", r.Trace.Header.Name) }()
	r.prepareTrace()
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
	_ = delay.For(ctx, settleTime)
	r.play(ctx)
	if r.err != nil {
		return nil, r.err
	}
	return r.measure(), nil
}

// awaitDials waits for dials whose request has already been canceled. net/http
// dials in goroutines of its own, and a synctest bubble must not end before them.
func (r *Replay) awaitDials() {
	if r.Clock == ClockVirtual {
		time.Sleep(network.DialTimeout)
	}
}

// prepareTrace replaces the trace by a copy to which Load, Without and the
// workspace surges have been applied.
func (r *Replay) prepareTrace() {
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
	r.addSurges(t)
	r.Trace = t
}

// network returns the in-memory or the loopback networks, depending on the clock.
func (r *Replay) network() networks {
	if r.Clock == ClockReal {
		return loopback{}
	}
	return &inMemory{&memnet.Fabric{Delay: domainDelay}}
}

// play sends all requests and applies all faults at their times.
func (r *Replay) play(ctx context.Context) {
	r.began = time.Now()
	r.fleet.recordBaseline()
	var faults conc.WaitGroup
	faults.Go(func() { r.applyFaults(ctx, r.began) })
	var sends conc.WaitGroup
	for i := range r.Trace.Requests {
		q := &r.Trace.Requests[i]
		_ = delay.For(ctx, time.Until(r.began.Add(q.Arrival())))
		sends.Go(func() { r.sendRequest(ctx, q) })
	}
	sends.Wait()
	faults.Wait()
}

// sendRequest sends one request and any repetition of it. Callers repeat a request
// when the trace says so, and a request with an idempotency key also when a
// stalled instance did not answer it.
func (r *Replay) sendRequest(ctx context.Context, q *trace.Request) {
	var wg conc.WaitGroup
	if q.AgainSeconds > 0 {
		wg.Go(func() {
			_ = delay.For(ctx, trace.Seconds(q.AgainSeconds))
			r.addResult(r.callers.send(ctx, q, true))
		})
	}
	res := r.callers.send(ctx, q, false)
	r.addResult(res)
	if res.unansweredInStall() {
		r.addResult(r.callers.send(ctx, q, true))
	}
	wg.Wait()
}

func (r *Replay) addResult(res *result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// addError records a fault that could not be applied. The replay then fails, as its
// measures would not show the effect of that fault.
func (r *Replay) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = errors.CombineErrors(r.err, err)
}
