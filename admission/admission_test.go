package admission_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/admission"
	"github.com/hornbeamstage/hornbeamstage/knob"
)

var suiteT *testing.T

func TestAdmission(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

// tokenTime is the time per output token on fakePlacer.
const tokenTime = 10 * time.Millisecond

// fakePlacer is a Placer and Directory of endpoints with a fixed number of slots.
type fakePlacer struct {
	endpoints []hbs.Endpoint
	// byModel is set if endpoints run only requests for their model.
	byModel bool

	// first is the predicted time to first token. wait is the part of it that is
	// spent in the endpoint's queue.
	first, wait time.Duration

	mu       sync.Mutex
	reserved map[hbs.EndpointID]int
}

func newFakePlacer(endpoints, each int) *fakePlacer {
	s := &fakePlacer{reserved: map[hbs.EndpointID]int{}, first: tokenTime}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, hbs.Endpoint{ID: hbs.EndpointID(rune('a' + i)), Model: "m", Slots: each})
	}
	return s
}

func (s *fakePlacer) Roster() *hbs.Roster { return &hbs.Roster{Endpoints: s.endpoints} }

func (s *fakePlacer) Changed() <-chan struct{} { return nil }

func (s *fakePlacer) Place(req *hbs.Request, avoid []hbs.EndpointID) (hbs.Placement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := hbs.ErrNoEndpoint
	for _, e := range s.endpoints {
		if e.State == hbs.StateDraining || s.byModel && e.Model != req.Model || slices.Contains(avoid, e.ID) {
			continue
		}
		if err = hbs.ErrFull; s.reserved[e.ID] < e.Slots {
			s.reserved[e.ID]++
			return hbs.Placement{Endpoint: e, FirstToken: s.first, Wait: s.wait}, nil
		}
	}
	return hbs.Placement{}, err
}

func (s *fakePlacer) FirstToken(*hbs.Placement, time.Duration, int) {}

func (s *fakePlacer) Slowness(*hbs.Placement) float64 { return 1 }

func (s *fakePlacer) ObserveGap(*hbs.Placement, time.Duration) {}

func (s *fakePlacer) ObserveMinGap(*hbs.Placement, time.Duration) {}

func (s *fakePlacer) Finish(p *hbs.Placement, _ hbs.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved[p.Endpoint.ID]--
}

// load describes the request stream of one workspace.
type load struct {
	workspace hbs.WorkspaceID
	// rate is in requests per second. tokens is the mean length; lengths are
	// uniform from half to one and a half times the mean.
	rate     float64
	tokens   int
	deadline time.Duration
}

// favouredBelow is the lowest engine priority of requests that are not favoured
// and have normal urgency.
const favouredBelow = 20

// lowestLevelBelow is the lowest engine priority of requests of rank 1, which are
// above the lowest fair level.
const lowestLevelBelow = 10

// stats counts the outcomes of the requests of one load.
type stats struct {
	// good requests end before their deadline, late ones after it. favoured counts
	// the placed requests with a priority below favouredBelow, lowestLevel those
	// below lowestLevelBelow.
	sent, good, late, refused, favoured, lowestLevel int
	// work is the total service time of the good requests.
	work  time.Duration
	waits []time.Duration
}

func (t *stats) p99() time.Duration {
	slices.Sort(t.waits)
	return t.waits[len(t.waits)*99/100]
}

// harness runs loads against a controller in virtual time.
type harness struct {
	Gomega
	c      *admission.Controller
	placer *fakePlacer

	mu sync.Mutex
}

func withHarness(s *fakePlacer, policy hbs.Policy, test func(h *harness)) {
	synctest.Test(suiteT, func(t *testing.T) {
		h := &harness{Gomega: NewWithT(t), placer: s}
		h.c = &admission.Controller{Placer: s, Directory: s, Policy: policy, Metrics: metrics.NewRegistry(), Weight: weight}
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { _ = h.c.Run(ctx) })
		test(h)
		cancel()
		wg.Wait()
		for id, n := range s.reserved {
			h.Expect(n).To(BeZero(), "reservations of %s", id)
		}
	})
}

var defaults = knob.NewFixed(admission.Knobs)

// priority places req, cancels it and returns its engine priority.
func (h *harness) priority(req *hbs.Request) int {
	p, err := h.c.Place(context.Background(), req)
	h.Expect(err).NotTo(HaveOccurred())
	h.c.Finish(req, &p, hbs.AttemptResult{End: hbs.EndCanceled})
	return p.Priority
}

// run sends the loads for d, with Poisson arrivals, and waits until all requests
// have ended.
func (h *harness) run(d time.Duration, loads ...load) []*stats {
	results := make([]*stats, len(loads))
	var wg conc.WaitGroup
	for i, l := range loads {
		results[i] = &stats{}
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		wg.Go(func() { h.send(&wg, rng, d, l, results[i]) })
	}
	wg.Wait()
	return results
}

func (h *harness) send(wg *conc.WaitGroup, rng *rand.Rand, d time.Duration, l load, t *stats) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
		tokens := l.tokens/2 + rng.IntN(l.tokens)
		wg.Go(func() { h.sendOne(l, tokens, t) })
	}
}

func (h *harness) sendOne(l load, tokens int, t *stats) {
	req := &hbs.Request{Workspace: l.workspace, Model: "m", ExpectedTokens: tokens, Deadline: time.Now().Add(l.deadline)}
	began := time.Now()
	p, err := h.c.Place(context.Background(), req)
	h.mu.Lock()
	t.sent++
	if err != nil {
		t.refused++
	} else {
		t.waits = append(t.waits, time.Since(began))
	}
	if err == nil && p.Priority < favouredBelow {
		t.favoured++
	}
	if err == nil && p.Priority < lowestLevelBelow {
		t.lowestLevel++
	}
	h.mu.Unlock()
	if err != nil {
		return
	}
	work := time.Duration(tokens) * tokenTime
	time.Sleep(work)
	h.c.Finish(req, &p, hbs.AttemptResult{End: hbs.EndComplete, OutputTokens: tokens, FirstToken: tokenTime, Duration: work})
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().After(req.Deadline) {
		t.late++
		return
	}
	t.good++
	t.work += work
}

var _ = Describe("admission", func() {
	It("maintains goodput at twice the capacity (rules 6 and 7)", func() {
		withHarness(newFakePlacer(2, 8), defaults, func(h *harness) {
			began := time.Now()
			// The capacity of 16 slots is 16 requests per second, at 1 s each.
			t := h.run(time.Minute, load{"a", 32, 100, 4 * time.Second})[0]
			goodput := t.work.Seconds() / (time.Since(began).Seconds() * 16)
			AddReportEntry("2x overload", fmt.Sprintf("goodput %.3f, late %d of %d", goodput, t.late, t.sent))
			h.Expect(goodput).To(BeNumerically(">=", 0.9))
			h.Expect(t.late).To(BeNumerically("<=", t.sent/100))
		})
	})

	It("refuses and delays no request of a workspace below its fair share (rules 3 and 6)", func() {
		withHarness(newFakePlacer(2, 8), defaults, func(h *harness) {
			ts := h.run(time.Minute,
				load{"greedy", 60, 100, 4 * time.Second},
				load{"modest", 4, 100, 4 * time.Second})
			h.Expect(ts[1].refused + ts[1].late).To(BeZero())
			h.Expect(ts[0].refused).To(BeNumerically(">", ts[0].sent/2))
		})
	})

	It("refuses and delays no request of workspaces below the fair level, even in bursts (rule 10)", func() {
		withHarness(newFakePlacer(2, 8), defaults, func(h *harness) {
			loads := []load{{"greedy", 120, 50, 4 * time.Second}}
			for _, name := range []hbs.WorkspaceID{"a", "b", "c", "d", "e", "f"} {
				loads = append(loads, load{name, 3, 50, 1200 * time.Millisecond})
			}
			ts := h.run(time.Minute, loads...)
			for _, t := range ts[1:] {
				h.Expect(t.refused+t.late).To(BeZero(), "of %d", t.sent)
			}
		})
	})

	It("divides capacity by weight under overload (rule 3)", func() {
		withHarness(newFakePlacer(2, 8), defaults, func(h *harness) {
			ts := h.run(time.Minute,
				load{"heavy", 30, 100, 4 * time.Second},
				load{"light", 30, 100, 4 * time.Second})
			h.Expect(float64(ts[0].work) / float64(ts[1].work)).To(BeNumerically("~", 3, 0.3))
		})
	})

	It("favours light workspaces at the engines even before any request is refused (rule 10)", func() {
		s := newFakePlacer(2, 8)
		withHarness(s, defaults, func(h *harness) {
			calm := h.run(20*time.Second, load{"a", 10, 10, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			h.Expect(calm[0].favoured+calm[1].favoured).To(BeZero(), "while no request waits")
			s.wait = 100 * time.Millisecond
			waits := h.run(20*time.Second, load{"a", 10, 10, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			h.Expect(waits[0].refused + waits[1].refused).To(BeZero())
			h.Expect(waits[1].favoured).To(BeNumerically(">", waits[1].sent/2), "before any request is refused")
			h.Expect(waits[0].favoured).To(BeZero())
			s.wait = 0
			busy := h.run(20*time.Second, load{"a", 200, 100, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			h.Expect(busy[1].favoured).To(BeNumerically(">", busy[1].sent/2))
			h.Expect(busy[0].favoured).To(BeZero())
		})
	})

	It("serves the lighter of two light workspaces first (rule 10)", func() {
		s := newFakePlacer(2, 8)
		s.wait = 100 * time.Millisecond
		withHarness(s, defaults, func(h *harness) {
			ts := h.run(time.Minute, load{"greedy", 29, 10, 4 * time.Second},
				load{"middle", 15.5, 10, 4 * time.Second}, load{"modest", 1, 10, 4 * time.Second})
			h.Expect(ts[0].favoured).To(BeZero())
			h.Expect(ts[1].favoured).To(BeNumerically(">", ts[1].sent/2))
			h.Expect(ts[1].lowestLevel).To(BeNumerically("<", ts[1].sent/2))
			h.Expect(ts[2].lowestLevel).To(BeNumerically(">", ts[2].sent*9/10))
		})
	})

	It("places long work of light workspaces behind urgent work at the engines (rule 10)", func() {
		s := newFakePlacer(2, 8)
		s.wait = 100 * time.Millisecond
		withHarness(s, defaults, func(h *harness) {
			h.run(20*time.Second, load{"a", 100, 10, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			long := &hbs.Request{Workspace: "b", Model: "m", ExpectedTokens: 1000}
			urgent := &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 10, Priority: hbs.PriorityHigh}
			h.Expect(h.priority(long)).To(BeNumerically(">=", favouredBelow))
			h.Expect(h.priority(urgent)).To(BeNumerically("<", favouredBelow))
		})
	})

	It("refuses requests by the endpoint's prediction, except of light workspaces (rule 7)", func() {
		s := newFakePlacer(2, 8)
		s.first = 5 * time.Second
		withHarness(s, defaults, func(h *harness) {
			ts := h.run(20*time.Second, load{"a", 10, 10, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			h.Expect(ts[0].refused).To(Equal(ts[0].sent))
			h.Expect(ts[1].good).To(BeNumerically(">", ts[1].sent/2))
		})
	})

	It("serves short work ahead of long work without starving it (rules 2 and 5)", func() {
		short, long := load{"a", 60, 10, 10 * time.Second}, load{"b", 2, 1000, time.Minute}
		var capped, uncapped, longStats *stats
		withHarness(newFakePlacer(2, 8), defaults, func(h *harness) {
			ts := h.run(time.Minute, short, long)
			capped, longStats = ts[0], ts[1]
		})
		withHarness(newFakePlacer(2, 8), defaults.With(admission.KnobLongSlots, 1), func(h *harness) {
			uncapped = h.run(time.Minute, short, long)[0]
		})
		AddReportEntry("p99 wait", fmt.Sprintf("capped %s, uncapped %s", capped.p99(), uncapped.p99()))
		Expect(capped.refused).To(BeZero())
		Expect(capped.p99()).To(BeNumerically("<=", 5*tokenTime), "half the service time of a short request")
		Expect(uncapped.p99()).To(BeNumerically(">=", 5*capped.p99()), "the limit on long work shortens the wait")
		Expect(longStats.good).To(BeNumerically(">=", 20), "4 slots serve at least 20 requests of 10 s in 60 s")
	})

	It("counts long work of peers (rule 5)", func() {
		withHarness(newFakePlacer(2, 4), defaults, func(h *harness) {
			peer := &admission.Controller{Placer: newFakePlacer(2, 4), Directory: h.placer, Policy: defaults, Metrics: metrics.NewRegistry()}
			long := &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 1000}
			_, err := peer.Place(context.Background(), long)
			h.Expect(err).NotTo(HaveOccurred())
			h.Expect(h.c.Section().Merge(hbs.Instance{ID: "p"}, peer.Section().Digest(20))).To(Succeed())
			p, ok := h.c.TryPlace(long, nil)
			h.Expect(ok).To(BeTrue())
			h.Expect(p.Endpoint.ID).To(BeEquivalentTo("b"), "the peer runs long work on endpoint a")
			_, ok = h.c.TryPlace(long, nil)
			h.Expect(ok).To(BeFalse())
			time.Sleep(4 * time.Second)
			again, ok := h.c.TryPlace(long, nil)
			h.Expect(ok).To(BeTrue(), "the peer's counts have expired")
			h.c.Finish(long, &p, hbs.AttemptResult{End: hbs.EndCanceled})
			h.c.Finish(long, &again, hbs.AttemptResult{End: hbs.EndCanceled})
		})
	})

	It("gives long work its share when short work alone would fill the slots (rule 2)", func() {
		withHarness(newFakePlacer(2, 8), defaults, func(h *harness) {
			ts := h.run(time.Minute, load{"a", 300, 10, 10 * time.Second}, load{"b", 1, 1000, time.Minute})
			share := float64(ts[1].work) / float64(ts[0].work+ts[1].work)
			h.Expect(share).To(BeNumerically("~", 0.2, 0.06))
		})
	})

	It("refuses a request as soon as its deadline can't be met (rule 7)", func() {
		withHarness(newFakePlacer(1, 1), defaults, func(h *harness) {
			first := &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 1}
			p, err := h.c.Place(context.Background(), first)
			h.Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			_, err = h.c.Place(context.Background(), &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 1, Deadline: began.Add(time.Second)})
			var r *hbs.Refusal
			h.Expect(errors.As(err, &r)).To(BeTrue())
			h.Expect(r.Outcome).To(Equal(hbs.OutcomeNotRun))
			h.Expect(r.RetryAfter).To(BeNumerically(">=", time.Second))
			h.Expect(time.Since(began)).To(Equal(time.Second))
			h.c.Finish(first, &p, hbs.AttemptResult{End: hbs.EndCanceled})
		})
	})

	It("evicts requests of the heaviest workspace from a full queue (rule 8)", func() {
		withHarness(newFakePlacer(1, 1), defaults.With(admission.KnobQueueLimit, 2), func(h *harness) {
			first := &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 1}
			p, err := h.c.Place(context.Background(), first)
			h.Expect(err).NotTo(HaveOccurred())
			refused := make(chan string, 4)
			var wg conc.WaitGroup
			for _, id := range []string{"a1", "a2", "a3", "b1"} {
				wg.Go(func() {
					req := &hbs.Request{Workspace: hbs.WorkspaceID(id[:1]), Model: "m", ExpectedTokens: 1}
					p, err := h.c.Place(context.Background(), req)
					if err != nil {
						refused <- id
						return
					}
					h.c.Finish(req, &p, hbs.AttemptResult{End: hbs.EndCanceled})
				})
				time.Sleep(time.Millisecond)
			}
			h.Expect([]string{<-refused, <-refused}).To(Equal([]string{"a3", "a2"}))
			h.c.Finish(first, &p, hbs.AttemptResult{End: hbs.EndCanceled})
			wg.Wait()
		})
	})
})

// weight returns 3 for the workspace "heavy" and 1 for all others.
func weight(w hbs.WorkspaceID) float64 {
	if w == "heavy" {
		return 3
	}
	return 1
}
