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
	// historiesPerSeed is what the users ask for, for each of the seeds.
	historiesPerSeed = 10_000
	// shares of a seed's histories run side by side.
	shares = 4
	// unbounded is a rate of begun requests that no history reaches.
	unbounded = 1000
	// retention is short, so that a history can outlive it.
	retention = time.Hour
	// healed is when every late write has landed and every claim has lapsed.
	healed = 3 * time.Minute
)

// directory is a fixed directory.
type directory struct{ roster hbs.Roster }

func (d *directory) Roster() *hbs.Roster      { return &d.roster }
func (d *directory) Changed() <-chan struct{} { return nil }

// node is one instance: a claim store and its way to the platform.
type node struct {
	store  *claim.Store
	client *objects.Client
	stop   context.CancelFunc
	// opens counts the attempts that called Open here.
	opens int
}

// history is one deployment that requests of one key are played against.
type history struct {
	shared *objects.Store
	nodes  []*node
	wg     conc.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// calm switches faults off.
	calm    bool
	runs    int
	ranAs   hbs.AttemptID
	notRun  int
	trace   strings.Builder
	broken  string
	faults  float64
	outages []window
	begun   time.Time
}

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
	policy := knob.NewFixed(claim.Knobs).With(claim.KnobRetention, retention.Seconds()).With(claim.KnobBeginRate, beginRate).With(claim.KnobCollect, 86400)
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

// plan draws what happens to one call of node i.
func (h *history) plan(i int) func(objects.Op, hbs.ObjectKind) objects.Plan {
	return func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
		h.mu.Lock()
		defer h.mu.Unlock()
		p := objects.Plan{Before: h.span(3 * time.Millisecond), After: h.span(3 * time.Millisecond)}
		if h.calm {
			return p
		}
		p = h.draw(i, p)
		fmt.Fprintf(&h.trace, "%v r%d %s %+v\n", time.Since(h.begun), i, op, p)
		return p
	}
}

func (h *history) draw(i int, p objects.Plan) objects.Plan {
	now := time.Since(h.begun)
	for _, w := range h.outages {
		if (w.node < 0 || w.node == i) && now >= w.start && now < w.end {
			p.Fault = []objects.Fault{objects.FaultRefused, objects.FaultNever, objects.FaultLate}[h.rng.IntN(3)]
			p.Late = h.span(w.end)
			return p
		}
	}
	if h.rng.Float64() >= h.faults {
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

// span draws a time below d; it is never zero, so that calls rarely coincide.
func (h *history) span(d time.Duration) time.Duration {
	return time.Duration(1 + h.rng.Int64N(int64(d)))
}

// script is what one attempt does between its steps.
type script struct {
	node                       int
	start, queue, pause, work  time.Duration
	connectFails, callerLeaves bool
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
	s.callerLeaves = h.rng.IntN(10) == 0
	return s
}

var theRequest = claim.Request{Workspace: "w", Service: "orders", Key: "k", Digest: claim.Digest{1}}

// attempt plays one request and checks its answer.
func (h *history) attempt(s script) {
	time.Sleep(s.start)
	n := h.nodes[s.node]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ticket, record, err := n.store.Begin(ctx, theRequest)
	if n.client.Dead() {
		return
	}
	if ticket == nil {
		h.answered(record, err)
		return
	}
	time.Sleep(s.queue)
	if s.callerLeaves {
		cancel()
	}
	h.mu.Lock()
	n.opens++
	h.mu.Unlock()
	if err := ticket.Open(ctx); err != nil {
		h.answered(nil, err)
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
	h.ranAs = id
	fmt.Fprintf(&h.trace, "%v run %s\n", time.Since(h.begun), id)
	if h.runs > 1 {
		h.breaks("ran twice")
	}
}

// answered checks an answer of an attempt that did not dispatch.
func (h *history) answered(record *claim.Record, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var refusal *hbs.Refusal
	switch {
	case record != nil:
		if h.runs != 1 || record.Attempt != h.ranAs {
			h.breaks("a record without its run")
		}
	case !errors.As(err, &refusal):
		h.breaks(fmt.Sprintf("answer %v is no refusal", err))
	case refusal.Outcome == hbs.OutcomeNotRun:
		h.notRun++
	}
}

// play runs one history and returns what was broken.
func play(rng *rand.Rand) (_ *history, broken string) {
	h := newHistory(rng, 2+rng.IntN(3), unbounded)
	defer h.close()
	h.faults = []float64{0, 0.1, 0.3, 0.6}[rng.IntN(4)]
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
	h.heal()
	h.finalAttempt()
	h.afterRetention()
	return h, h.broken
}

func (h *history) heal() {
	h.mu.Lock()
	h.calm = true
	h.mu.Unlock()
	time.Sleep(healed)
}

// fresh is an instance that joins after all faults.
func (h *history) fresh() *claim.Store {
	return &claim.Store{
		Platform: &objects.Client{Store: h.shared}, Self: hbs.Instance{ID: "fresh", Domain: "d"}, Metrics: metrics.NewRegistry(),
		Directory: &directory{hbs.Roster{Instances: []hbs.Instance{{ID: "fresh", Domain: "d", State: hbs.InstanceLive}}}},
		Policy:    knob.NewFixed(claim.Knobs).With(claim.KnobRetention, retention.Seconds()),
	}
}

// finalAttempt checks that no true not_run burnt the key. Only the death of a
// process that had called Open may leave the key unknown.
func (h *history) finalAttempt() {
	ticket, record, err := h.fresh().Begin(context.Background(), theRequest)
	switch {
	case ticket != nil && h.runs > 0:
		h.breaks("a key that ran was given out again")
	case ticket == nil && record == nil && !h.diedOpening():
		h.breaks(fmt.Sprintf("the key is burnt: %v", err))
	case record != nil:
		h.answered(record, nil)
	}
}

// diedOpening reports whether the claim was left by a process that died.
func (h *history) diedOpening() bool {
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

// afterRetention checks rule C10.
func (h *history) afterRetention() {
	time.Sleep(2 * retention)
	_ = h.fresh().Collect(context.Background())
	if left := h.shared.Objects(hbs.ObjectClaim); len(left) > 0 {
		h.breaks(fmt.Sprintf("not collected: %s", left[0].Value))
	}
}

// breaks keeps the first promise that was broken.
func (h *history) breaks(what string) {
	if h.broken == "" {
		h.broken = what
	}
}

// playShare plays every n-th history of a seed in a bubble of its own.
func playShare(seed, share uint64, tally *tally) {
	synctest.Test(suiteT, func(*testing.T) {
		for i := share; i < historiesPerSeed; i += shares {
			h, broken := play(rand.New(rand.NewPCG(seed, i)))
			if broken != "" {
				tally.fail(fmt.Sprintf("history %d: %s\n%s", i, broken, &h.trace))
				return
			}
			tally.add(h)
		}
	})
}

// tally sums up the histories of one seed.
type tally struct {
	mu                      sync.Mutex
	histories, runs, notRun int
	broken                  string
}

func (t *tally) add(h *history) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.histories++
	t.runs += h.runs
	t.notRun += h.notRun
}

func (t *tally) fail(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = text
}

// Rules C3 to C11 under drawn faults.
var _ = DescribeTable("random histories keep every promise", func(seed uint64) {
	var t tally
	var wg conc.WaitGroup
	for share := range uint64(shares) {
		wg.Go(func() { playShare(seed, share, &t) })
	}
	wg.Wait()
	Expect(t.broken).To(BeEmpty())
	AddReportEntry(fmt.Sprintf("%d histories, %d runs, %d answers not_run", t.histories, t.runs, t.notRun))
},
	Entry("seed 1", uint64(1)),
	Entry("seed 2", uint64(2)),
	Entry("seed 3", uint64(3)),
)
