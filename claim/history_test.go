package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/claim"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
)

const (
	// historiesPerSeed is the number of histories that the users require for
	// each seed.
	historiesPerSeed = 10_000
	// sharesPerSeed is the number of parts of a seed's histories that run in
	// parallel.
	sharesPerSeed = 4
	// unlimitedRate is a claim.begin_rate that no history reaches.
	unlimitedRate = 1000
	// retention is short, so that a history can outlive it.
	retention = time.Hour
	// recoveryTime is the time after the last fault until every late write has
	// taken effect and every held claim has expired.
	recoveryTime = 3 * time.Minute
)

// directory is a hornbeamstage.Directory that never changes.
type directory struct{ roster hbs.Roster }

func (d *directory) Roster() *hbs.Roster      { return &d.roster }
func (d *directory) Changed() <-chan struct{} { return nil }

// node is one instance: a claim store and its client of the platform.
type node struct {
	store  *claim.Store
	client *objects.Client
	stop   context.CancelFunc
	// opens counts the attempts that called Open on this instance.
	opens int
}

// history is a simulated deployment on which several requests with the same key
// are run.
type history struct {
	shared *objects.Store
	nodes  []*node
	wg     conc.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// faultsOff makes all calls succeed.
	faultsOff bool
	// runs counts the dispatches; ranAttempt made the last one.
	runs       int
	ranAttempt hbs.AttemptID
	notRun     int
	trace      strings.Builder
	violation  string
	faultRate  float64
	outages    []window
	begun      time.Time
}

// window is an outage of the platform for one instance, or for all if node is
// negative.
type window struct {
	node       int
	start, end time.Duration
}

func newHistory(rng *rand.Rand, n int, beginRate float64) *history {
	h := &history{shared: &objects.Store{}, rng: rng, begun: time.Now()}
	dir := &directory{}
	for i := range n {
		dir.roster.Instances = append(dir.roster.Instances, hbs.Instance{
			ID: hbs.InstanceID(fmt.Sprintf("r%d", i)), Domain: hbs.DomainName(fmt.Sprintf("d%d", i%4)),
			State: hbs.InstanceLive, PeerAddress: netip.MustParseAddrPort("10.0.0.1:1"),
		})
	}
	policy := knob.NewFixed(claim.Knobs).With(claim.KnobRetention, retention.Seconds()).With(claim.KnobBeginRate, beginRate).With(claim.KnobCollectInterval, 86400)
	for i, self := range dir.roster.Instances {
		client := &objects.Client{Store: h.shared, Plan: h.plan(i)}
		store := &claim.Store{Platform: client, Self: self, Directory: dir, Policy: policy, Metrics: metrics.NewRegistry()}
		ctx, stop := context.WithCancel(context.Background())
		h.nodes = append(h.nodes, &node{store: store, client: client, stop: stop})
		h.wg.Go(func() { _ = store.Run(ctx) })
	}
	return h
}

func (h *history) close() {
	for _, n := range h.nodes {
		n.stop()
	}
	h.wg.Wait()
}

// plan returns the function that draws the delays and faults of each call of
// node i.
func (h *history) plan(i int) func(objects.Op, hbs.ObjectKind) objects.Plan {
	return func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
		h.mu.Lock()
		defer h.mu.Unlock()
		p := objects.Plan{Before: h.span(3 * time.Millisecond), After: h.span(3 * time.Millisecond)}
		if h.faultsOff {
			return p
		}
		p = h.drawFault(i, p)
		fmt.Fprintf(&h.trace, "%v r%d %s %+v\n", time.Since(h.begun), i, op, p)
		return p
	}
}

func (h *history) drawFault(i int, p objects.Plan) objects.Plan {
	now := time.Since(h.begun)
	for _, w := range h.outages {
		if (w.node < 0 || w.node == i) && now >= w.start && now < w.end {
			p.Fault = []objects.Fault{objects.FaultRefused, objects.FaultNever, objects.FaultLate}[h.rng.IntN(3)]
			p.Late = h.span(w.end)
			return p
		}
	}
	if h.rng.Float64() >= h.faultRate {
		return p
	}
	switch h.rng.IntN(8) {
	case 0:
		p.Fault = objects.FaultRefused
	case 1, 2:
		p.Fault = objects.FaultLost
	case 3:
		p.Fault, p.Late = objects.FaultLate, h.span(20*time.Second)
	case 4:
		p.Fault = objects.FaultNever
	case 5:
		p.Before = h.span(2 * time.Second)
	case 6:
		p.After, p.Pause = h.span(time.Second), h.span(20*time.Second)
	case 7:
		p.KillBefore = h.rng.IntN(6) == 0
		p.KillAfter = !p.KillBefore && h.rng.IntN(6) == 0
		if p.KillBefore || p.KillAfter {
			h.nodes[i].stop()
		}
	}
	return p
}

// span draws a duration of at most d. It is never zero, so that calls rarely
// coincide.
func (h *history) span(d time.Duration) time.Duration {
	return time.Duration(1 + h.rng.Int64N(int64(d)))
}

// script is what one attempt does: when it starts and how long it waits between
// its steps.
type script struct {
	node                        int
	start, queue, pause, work   time.Duration
	connectFails, callerCancels bool
}

func (h *history) script() script {
	s := script{node: h.rng.IntN(len(h.nodes)), start: h.span(time.Millisecond), queue: h.span(time.Millisecond), pause: 1, work: h.span(time.Second)}
	if h.rng.IntN(2) == 0 {
		s.start = h.span(10 * time.Second)
	}
	if h.rng.IntN(4) == 0 {
		s.queue = h.span(12 * time.Second)
	}
	if h.rng.IntN(4) == 0 {
		s.pause = h.span(12 * time.Second)
	}
	s.connectFails = h.rng.IntN(6) == 0
	s.callerCancels = h.rng.IntN(10) == 0
	return s
}

var testRequest = claim.Request{Workspace: "w", Service: "orders", Key: "k", Digest: claim.Digest{1}}

// attempt runs one request and checks its result.
func (h *history) attempt(s script) {
	time.Sleep(s.start)
	n := h.nodes[s.node]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ticket, record, err := n.store.Begin(ctx, testRequest)
	if n.client.Dead() {
		return
	}
	if ticket == nil {
		h.checkResult(record, err)
		return
	}
	time.Sleep(s.queue)
	if s.callerCancels {
		cancel()
	}
	h.mu.Lock()
	n.opens++
	h.mu.Unlock()
	if err := ticket.Open(ctx); err != nil {
		h.checkResult(nil, err)
		return
	}
	time.Sleep(s.pause)
	if n.client.Dead() {
		return
	}
	if s.connectFails {
		_ = ticket.Abandon(context.Background())
		return
	}
	h.run(ticket.Attempt())
	time.Sleep(s.work)
	_ = ticket.Finish(context.Background(), claim.Record{Outcome: hbs.OutcomeAnswered, Status: 200, Body: []byte("ok")})
}

func (h *history) run(id hbs.AttemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs++
	h.ranAttempt = id
	fmt.Fprintf(&h.trace, "%v run %s\n", time.Since(h.begun), id)
	if h.runs > 1 {
		h.violates("ran twice")
	}
}

// checkResult checks the result of an attempt that did not dispatch.
func (h *history) checkResult(record *claim.Record, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var refusal *hbs.Refusal
	switch {
	case record != nil:
		if h.runs != 1 || record.Attempt != h.ranAttempt {
			h.violates("record of an attempt that is not the only run")
		}
	case !errors.As(err, &refusal):
		h.violates(fmt.Sprintf("error %v is not a refusal", err))
	case refusal.Outcome == hbs.OutcomeNotRun:
		h.notRun++
	}
}

// runHistory runs one history and returns the first violation, or an empty
// string.
func runHistory(rng *rand.Rand) (_ *history, violation string) {
	h := newHistory(rng, 2+rng.IntN(3), unlimitedRate)
	defer h.close()
	h.faultRate = []float64{0, 0.1, 0.3, 0.6}[rng.IntN(4)]
	for range rng.IntN(3) {
		start := h.span(10 * time.Second)
		h.outages = append(h.outages, window{node: rng.IntN(len(h.nodes)+1) - 1, start: start, end: start + h.span(20*time.Second)})
	}
	var wg conc.WaitGroup
	h.mu.Lock()
	for range 2 + rng.IntN(4) {
		s := h.script()
		wg.Go(func() { h.attempt(s) })
	}
	h.mu.Unlock()
	wg.Wait()
	h.stopFaults()
	h.checkFinalAttempt()
	h.checkRemoval()
	return h, h.violation
}

func (h *history) stopFaults() {
	h.mu.Lock()
	h.faultsOff = true
	h.mu.Unlock()
	time.Sleep(recoveryTime)
}

// newInstance returns the store of an instance that joins after all faults.
func (h *history) newInstance() *claim.Store {
	return &claim.Store{
		Platform: &objects.Client{Store: h.shared}, Self: hbs.Instance{ID: "fresh", Domain: "d"}, Metrics: metrics.NewRegistry(),
		Directory: &directory{hbs.Roster{Instances: []hbs.Instance{{ID: "fresh", Domain: "d", State: hbs.InstanceLive}}}},
		Policy:    knob.NewFixed(claim.Knobs).With(claim.KnobRetention, retention.Seconds()),
	}
}

// checkFinalAttempt checks that a key whose requests were all not run can be
// used again. Only the death of a process that had called Open may leave the key
// unknown.
func (h *history) checkFinalAttempt() {
	ticket, record, err := h.newInstance().Begin(context.Background(), testRequest)
	switch {
	case ticket != nil && h.runs > 0:
		h.violates("a key whose request ran was claimed again")
	case ticket == nil && record == nil && !h.holderDiedAfterOpen():
		h.violates(fmt.Sprintf("the key can't be used again: %v", err))
	case record != nil:
		h.checkResult(record, nil)
	}
}

// holderDiedAfterOpen reports whether the holder of the claim died after an
// attempt on it had called Open.
func (h *history) holderDiedAfterOpen() bool {
	var left claim.Claim
	for _, obj := range h.shared.Objects(hbs.ObjectClaim) {
		_ = json.Unmarshal(obj.Value, &left)
	}
	for _, n := range h.nodes {
		if n.store.Self.ID == left.Holder {
			return n.client.Dead() && n.opens > 0
		}
	}
	return false
}

// checkRemoval checks that the claim is removed after the retention (C10).
func (h *history) checkRemoval() {
	time.Sleep(2 * retention)
	_ = h.newInstance().Collect(context.Background())
	if left := h.shared.Objects(hbs.ObjectClaim); len(left) > 0 {
		h.violates(fmt.Sprintf("claim not removed: %s", left[0].Value))
	}
}

// violates stores the first violation.
func (h *history) violates(what string) {
	if h.violation == "" {
		h.violation = what
	}
}

// runShare runs every n-th history of a seed, with n = sharesPerSeed, in its
// own synctest bubble.
func runShare(seed, share uint64, tally *totals) {
	synctest.Test(suiteT, func(*testing.T) {
		for i := share; i < historiesPerSeed; i += sharesPerSeed {
			h, violation := runHistory(rand.New(rand.NewPCG(seed, i)))
			if violation != "" {
				tally.fail(fmt.Sprintf("history %d: %s\n%s", i, violation, &h.trace))
				return
			}
			tally.add(h)
		}
	})
}

// totals sums up the histories of one seed.
type totals struct {
	mu                      sync.Mutex
	histories, runs, notRun int
	violation               string
}

func (t *totals) add(h *history) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.histories++
	t.runs += h.runs
	t.notRun += h.notRun
}

func (t *totals) fail(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violation = text
}

// Checks rules C3 to C11 under random faults.
var _ = DescribeTable("random histories satisfy the protocol", func(seed uint64) {
	var t totals
	var wg conc.WaitGroup
	for share := range uint64(sharesPerSeed) {
		wg.Go(func() { runShare(seed, share, &t) })
	}
	wg.Wait()
	Expect(t.violation).To(BeEmpty())
	AddReportEntry(fmt.Sprintf("%d histories, %d runs, %d answers not_run", t.histories, t.runs, t.notRun))
},
	Entry("seed 1", uint64(1)),
	Entry("seed 2", uint64(2)),
	Entry("seed 3", uint64(3)),
)
