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

const tokenTime = 10 * time.Millisecond

// slots is a fleet of endpoints with slots; each output token takes tokenTime.
type slots struct {
	endpoints []hbs.Endpoint

	// first is the predicted time to the first token, wait the part of it that is
	// spent behind other work.
	first, wait time.Duration

	mu     sync.Mutex
	booked map[hbs.EndpointID]int
}

func newSlots(endpoints, each int) *slots {
	s := &slots{booked: map[hbs.EndpointID]int{}, first: tokenTime}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, hbs.Endpoint{ID: hbs.EndpointID(rune('a' + i)), Slots: each})
	}
	return s
}

func (s *slots) Roster() *hbs.Roster { return &hbs.Roster{Endpoints: s.endpoints} }

func (s *slots) Changed() <-chan struct{} { return nil }

func (s *slots) Place(_ *hbs.Request, avoid []hbs.EndpointID) (hbs.Placement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := hbs.ErrNoEndpoint
	for _, e := range s.endpoints {
		if slices.Contains(avoid, e.ID) {
			continue
		}
		if err = hbs.ErrFull; s.booked[e.ID] < e.Slots {
			s.booked[e.ID]++
			return hbs.Placement{Endpoint: e, FirstToken: s.first, Wait: s.wait}, nil
		}
	}
	return hbs.Placement{}, err
}

func (s *slots) FirstToken(*hbs.Placement, time.Duration, int) {}

func (s *slots) Slowness(*hbs.Placement) float64 { return 1 }

func (s *slots) Gap(*hbs.Placement, time.Duration) {}

func (s *slots) Paced(*hbs.Placement, time.Duration) {}

func (s *slots) Finish(p *hbs.Placement, _ hbs.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.booked[p.Endpoint.ID]--
}

// load is one stream of requests.
type load struct {
	workspace hbs.WorkspaceID
	// rate is in requests a second; tokens the mean length, uniform around it.
	rate     float64
	tokens   int
	deadline time.Duration
}

// favouredBelow is the engine priority of the most urgent request that is not
// favoured.
const favouredBelow = 20

// firstBelow is that of the most urgent one of the second level.
const firstBelow = 10

// tally is what became of the requests of one load.
type tally struct {
	// favoured counts the placed ones that engines serve before all urgencies,
	// first those of them under the lowest level.
	sent, good, late, refused, favoured, first int
	// work is the time of the good ones.
	work  time.Duration
	waits []time.Duration
}

func (t *tally) p99() time.Duration {
	slices.Sort(t.waits)
	return t.waits[len(t.waits)*99/100]
}

// bench runs loads against a controller for some virtual time.
type bench struct {
	Gomega
	c     *admission.Controller
	slots *slots

	mu sync.Mutex
}

func inBench(s *slots, policy hbs.Policy, test func(b *bench)) {
	synctest.Test(suiteT, func(t *testing.T) {
		b := &bench{Gomega: NewWithT(t), slots: s}
		b.c = &admission.Controller{Placer: s, Directory: s, Policy: policy, Metrics: metrics.NewRegistry(), Weight: weight}
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { _ = b.c.Run(ctx) })
		test(b)
		cancel()
		wg.Wait()
		for id, n := range s.booked {
			b.Expect(n).To(BeZero(), "bookings of %s", id)
		}
	})
}

var defaults = knob.NewFixed(admission.Knobs)

// priority places req, ends it and returns its engine priority.
func (b *bench) priority(req *hbs.Request) int {
	p, err := b.c.Place(context.Background(), req)
	b.Expect(err).NotTo(HaveOccurred())
	b.c.Finish(req, &p, hbs.AttemptResult{End: hbs.EndCanceled})
	return p.Priority
}

// run sends the loads for d, with Poisson arrivals, and waits for the rest.
func (b *bench) run(d time.Duration, loads ...load) []*tally {
	tallies := make([]*tally, len(loads))
	var wg conc.WaitGroup
	for i, l := range loads {
		tallies[i] = &tally{}
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		wg.Go(func() { b.send(&wg, rng, d, l, tallies[i]) })
	}
	wg.Wait()
	return tallies
}

func (b *bench) send(wg *conc.WaitGroup, rng *rand.Rand, d time.Duration, l load, t *tally) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
		tokens := l.tokens/2 + rng.IntN(l.tokens)
		wg.Go(func() { b.one(l, tokens, t) })
	}
}

func (b *bench) one(l load, tokens int, t *tally) {
	req := &hbs.Request{Workspace: l.workspace, Model: "m", ExpectedTokens: tokens, Deadline: time.Now().Add(l.deadline)}
	began := time.Now()
	p, err := b.c.Place(context.Background(), req)
	b.mu.Lock()
	t.sent++
	if err != nil {
		t.refused++
	} else {
		t.waits = append(t.waits, time.Since(began))
	}
	if err == nil && p.Priority < favouredBelow {
		t.favoured++
	}
	if err == nil && p.Priority < firstBelow {
		t.first++
	}
	b.mu.Unlock()
	if err != nil {
		return
	}
	work := time.Duration(tokens) * tokenTime
	time.Sleep(work)
	b.c.Finish(req, &p, hbs.AttemptResult{End: hbs.EndComplete, OutputTokens: tokens, FirstToken: tokenTime, Duration: work})
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(req.Deadline) {
		t.late++
		return
	}
	t.good++
	t.work += work
}

var _ = Describe("admission", func() {
	It("keeps goodput at twice the load (rules 6 and 7)", func() {
		inBench(newSlots(2, 8), defaults, func(b *bench) {
			began := time.Now()
			// 16 slots do 16 requests of 1 s each second.
			t := b.run(time.Minute, load{"a", 32, 100, 4 * time.Second})[0]
			goodput := t.work.Seconds() / (time.Since(began).Seconds() * 16)
			AddReportEntry("2x overload", fmt.Sprintf("goodput %.3f, late %d of %d", goodput, t.late, t.sent))
			b.Expect(goodput).To(BeNumerically(">=", 0.9))
			b.Expect(t.late).To(BeNumerically("<=", t.sent/100))
		})
	})

	It("takes nothing from a workspace under its share (rules 3 and 6)", func() {
		inBench(newSlots(2, 8), defaults, func(b *bench) {
			ts := b.run(time.Minute,
				load{"greedy", 60, 100, 4 * time.Second},
				load{"modest", 4, 100, 4 * time.Second})
			b.Expect(ts[1].refused + ts[1].late).To(BeZero())
			b.Expect(ts[0].refused).To(BeNumerically(">", ts[0].sent/2))
		})
	})

	It("takes nothing from workspaces under the level that all can have, bursts included (rule 10)", func() {
		inBench(newSlots(2, 8), defaults, func(b *bench) {
			loads := []load{{"greedy", 120, 50, 4 * time.Second}}
			for _, name := range []hbs.WorkspaceID{"a", "b", "c", "d", "e", "f"} {
				loads = append(loads, load{name, 3, 50, 1200 * time.Millisecond})
			}
			ts := b.run(time.Minute, loads...)
			for _, t := range ts[1:] {
				b.Expect(t.refused+t.late).To(BeZero(), "of %d", t.sent)
			}
		})
	})

	It("shares by weight at overload (rule 3)", func() {
		inBench(newSlots(2, 8), defaults, func(b *bench) {
			ts := b.run(time.Minute,
				load{"heavy", 30, 100, 4 * time.Second},
				load{"light", 30, 100, 4 * time.Second})
			b.Expect(float64(ts[0].work) / float64(ts[1].work)).To(BeNumerically("~", 3, 0.3))
		})
	})

	It("favours light workspaces at the engines, before anything is refused too (rule 10)", func() {
		s := newSlots(2, 8)
		inBench(s, defaults, func(b *bench) {
			calm := b.run(20*time.Second, load{"a", 10, 10, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			b.Expect(calm[0].favoured+calm[1].favoured).To(BeZero(), "while nothing waits")
			s.wait = 100 * time.Millisecond
			waits := b.run(20*time.Second, load{"a", 10, 10, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			b.Expect(waits[0].refused + waits[1].refused).To(BeZero())
			b.Expect(waits[1].favoured).To(BeNumerically(">", waits[1].sent/2), "before anything is refused")
			b.Expect(waits[0].favoured).To(BeZero())
			s.wait = 0
			busy := b.run(20*time.Second, load{"a", 200, 100, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			b.Expect(busy[1].favoured).To(BeNumerically(">", busy[1].sent/2))
			b.Expect(busy[0].favoured).To(BeZero())
		})
	})

	It("lets the lighter of two light workspaces go first (rule 10)", func() {
		s := newSlots(2, 8)
		s.wait = 100 * time.Millisecond
		inBench(s, defaults, func(b *bench) {
			ts := b.run(time.Minute, load{"greedy", 29, 10, 4 * time.Second},
				load{"middle", 15.5, 10, 4 * time.Second}, load{"modest", 1, 10, 4 * time.Second})
			b.Expect(ts[0].favoured).To(BeZero())
			b.Expect(ts[1].favoured).To(BeNumerically(">", ts[1].sent/2))
			b.Expect(ts[1].first).To(BeNumerically("<", ts[1].sent/2))
			b.Expect(ts[2].first).To(BeNumerically(">", ts[2].sent*9/10))
		})
	})

	It("keeps long work of light workspaces behind urgent work at the engines (rule 10)", func() {
		s := newSlots(2, 8)
		s.wait = 100 * time.Millisecond
		inBench(s, defaults, func(b *bench) {
			b.run(20*time.Second, load{"a", 100, 10, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			long := &hbs.Request{Workspace: "b", Model: "m", ExpectedTokens: 1000}
			urgent := &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 10, Priority: hbs.PriorityHigh}
			b.Expect(b.priority(long)).To(BeNumerically(">=", favouredBelow))
			b.Expect(b.priority(urgent)).To(BeNumerically("<", favouredBelow))
		})
	})

	It("refuses for an endpoint's prediction what is not light (rule 7)", func() {
		s := newSlots(2, 8)
		s.first = 5 * time.Second
		inBench(s, defaults, func(b *bench) {
			ts := b.run(20*time.Second, load{"a", 10, 10, 4 * time.Second}, load{"b", 1, 10, 4 * time.Second})
			b.Expect(ts[0].refused).To(Equal(ts[0].sent))
			b.Expect(ts[1].good).To(BeNumerically(">", ts[1].sent/2))
		})
	})

	It("lets short work past long work without starving it (rules 2 and 5)", func() {
		short, long := load{"a", 60, 10, 10 * time.Second}, load{"b", 2, 1000, time.Minute}
		var capped, open, slow *tally
		inBench(newSlots(2, 8), defaults, func(b *bench) {
			ts := b.run(time.Minute, short, long)
			capped, slow = ts[0], ts[1]
		})
		inBench(newSlots(2, 8), defaults.With(admission.KnobLongSlots, 1), func(b *bench) {
			open = b.run(time.Minute, short, long)[0]
		})
		AddReportEntry("p99 wait", fmt.Sprintf("capped %s, open %s", capped.p99(), open.p99()))
		Expect(capped.refused).To(BeZero())
		Expect(capped.p99()).To(BeNumerically("<=", 5*tokenTime), "half of a short request")
		Expect(open.p99()).To(BeNumerically(">=", 5*capped.p99()), "what the rule is for")
		Expect(slow.good).To(BeNumerically(">=", 20), "4 slots for 60 s of work of 10 s each")
	})

	It("counts the peers' long work (rule 5)", func() {
		inBench(newSlots(2, 4), defaults, func(b *bench) {
			peer := &admission.Controller{Placer: newSlots(2, 4), Directory: b.slots, Policy: defaults, Metrics: metrics.NewRegistry()}
			long := &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 1000}
			_, err := peer.Place(context.Background(), long)
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(b.c.Section().Absorb(hbs.Instance{ID: "p"}, peer.Section().Digest(20))).To(Succeed())
			p, ok := b.c.TryPlace(long, nil)
			b.Expect(ok).To(BeTrue())
			b.Expect(p.Endpoint.ID).To(BeEquivalentTo("b"), "the peer has long work on a")
			_, ok = b.c.TryPlace(long, nil)
			b.Expect(ok).To(BeFalse())
			time.Sleep(4 * time.Second)
			again, ok := b.c.TryPlace(long, nil)
			b.Expect(ok).To(BeTrue(), "the peer is silent")
			b.c.Finish(long, &p, hbs.AttemptResult{End: hbs.EndCanceled})
			b.c.Finish(long, &again, hbs.AttemptResult{End: hbs.EndCanceled})
		})
	})

	It("keeps a share for long work when short work alone would fill the slots (rule 2)", func() {
		inBench(newSlots(2, 8), defaults, func(b *bench) {
			ts := b.run(time.Minute, load{"a", 300, 10, 10 * time.Second}, load{"b", 1, 1000, time.Minute})
			share := float64(ts[1].work) / float64(ts[0].work+ts[1].work)
			b.Expect(share).To(BeNumerically("~", 0.2, 0.06))
		})
	})

	It("refuses the moment the deadline is out of reach (rule 7)", func() {
		inBench(newSlots(1, 1), defaults, func(b *bench) {
			first := &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 1}
			p, err := b.c.Place(context.Background(), first)
			b.Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			_, err = b.c.Place(context.Background(), &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 1, Deadline: began.Add(time.Second)})
			var r *hbs.Refusal
			b.Expect(errors.As(err, &r)).To(BeTrue())
			b.Expect(r.Outcome).To(Equal(hbs.OutcomeNotRun))
			b.Expect(r.RetryAfter).To(BeNumerically(">=", time.Second))
			b.Expect(time.Since(began)).To(Equal(time.Second))
			b.c.Finish(first, &p, hbs.AttemptResult{End: hbs.EndCanceled})
		})
	})

	It("pushes the heaviest workspace out of a full queue (rule 8)", func() {
		inBench(newSlots(1, 1), defaults.With(admission.KnobQueueLimit, 2), func(b *bench) {
			first := &hbs.Request{Workspace: "a", Model: "m", ExpectedTokens: 1}
			p, err := b.c.Place(context.Background(), first)
			b.Expect(err).NotTo(HaveOccurred())
			refused := make(chan string, 4)
			var wg conc.WaitGroup
			for _, id := range []string{"a1", "a2", "a3", "b1"} {
				wg.Go(func() {
					req := &hbs.Request{Workspace: hbs.WorkspaceID(id[:1]), Model: "m", ExpectedTokens: 1}
					p, err := b.c.Place(context.Background(), req)
					if err != nil {
						refused <- id
						return
					}
					b.c.Finish(req, &p, hbs.AttemptResult{End: hbs.EndCanceled})
				})
				time.Sleep(time.Millisecond)
			}
			b.Expect([]string{<-refused, <-refused}).To(Equal([]string{"a3", "a2"}))
			b.c.Finish(first, &p, hbs.AttemptResult{End: hbs.EndCanceled})
			wg.Wait()
		})
	})
})

// weight gives the workspace heavy three times the weight.
func weight(w hbs.WorkspaceID) float64 {
	if w == "heavy" {
		return 3
	}
	return 1
}
