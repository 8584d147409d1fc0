package limit_test

import (
	"context"
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
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/limit"
)

// lenders is a fleet in virtual time whose instances lend each other the slots
// of one small limit. Messages take 1 ms.
type lenders struct {
	Gomega
	rng   *rand.Rand
	nodes []*lender
	wg    conc.WaitGroup
	// ticks counts the steps, told the rosters.
	ticks, told int

	mu sync.Mutex
	// luck tells which answers are lost.
	luck *rand.Rand
	// slots is the limit, group tells who reaches whom, lost is the part of the
	// answers that is lost; twice delivers all messages again 100 ms later.
	slots int
	group [instances]int
	lost  float64
	twice bool
	// running counts the requests that run, most is the greatest number, area
	// their sum over time, as of changed.
	running, most int
	area          time.Duration
	changed       time.Time
}

// lender is one life of an instance.
type lender struct {
	*limit.Limiter
	f       *lenders
	ctx     context.Context
	stop    context.CancelFunc
	roster  *hbs.Roster
	told    int
	running int
}

var names = []hbs.InstanceID{"i0", "i1", "i2", "i3", "i4", "i5", "i6"}

func inLenders(slots int, test func(f *lenders)) {
	synctest.Test(suiteT, func(t *testing.T) {
		f := &lenders{Gomega: NewWithT(t), rng: rand.New(rand.NewPCG(1, 2)), luck: rand.New(rand.NewPCG(3, 4)), slots: slots, nodes: make([]*lender, instances), changed: time.Now()}
		for i := range instances {
			f.start(i, 0)
		}
		f.tell(0)
		time.Sleep(4 * time.Second)
		test(f)
		for _, n := range f.nodes {
			n.stop()
		}
		f.wg.Wait()
	})
}

// start begins a life of instance i, which knows itself alone.
func (f *lenders) start(i, life int) {
	self := hbs.Instance{ID: names[i], Incarnation: hbs.Incarnation(fmt.Sprint(life))}
	n := &lender{f: f, roster: &hbs.Roster{Instances: []hbs.Instance{self}}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.Limiter = &limit.Limiter{
		Self: self.ID, Chosen: func() bool { return false }, Directory: n, Policy: knob.NewFixed(limit.Knobs), Metrics: metrics.NewRegistry(),
		Bounds: func(hbs.WorkspaceID) limit.Bounds { return limit.Bounds{Concurrency: f.limit()} },
		Ask: func(ctx context.Context, to hbs.Instance, data []byte) ([]byte, error) {
			return f.ask(ctx, i, slices.Index(names, to.ID), data)
		},
	}
	f.with(func() { f.nodes[i] = n })
	f.wg.Go(func() { _ = n.Run(n.ctx) })
}

func (n *lender) Roster() *hbs.Roster {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.roster
}

func (n *lender) Changed() <-chan struct{} { return nil }

func (f *lenders) limit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots
}

// ask delivers a message. It answers nothing when either side is dead or cut off.
func (f *lenders) ask(ctx context.Context, from, to int, data []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	reached := f.group[from] == f.group[to] && f.nodes[from].ctx.Err() == nil && f.nodes[to].ctx.Err() == nil
	lost, twice, target := f.luck.Float64() < f.lost, f.twice, f.nodes[to]
	sender := f.nodes[from].Self
	f.mu.Unlock()
	var answer []byte
	var err error
	if reached {
		answer, err = target.Answer(sender, data)
	}
	if twice {
		f.wg.Go(func() {
			time.Sleep(100 * time.Millisecond)
			_, _ = target.Answer(sender, data)
		})
	}
	if lost || !reached || err != nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return answer, ctx.Err()
}

// with changes f while messages travel.
func (f *lenders) with(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// count adds n to the requests that run at x.
func (f *lenders) count(x *lender, n int) {
	now := time.Now()
	f.area += time.Duration(f.running) * now.Sub(f.changed)
	f.changed = now
	x.running += n
	f.running += n
	f.most = max(f.most, f.running)
}

// serve is one request at x.
func (f *lenders) serve(x *lender, work time.Duration) {
	release, err := x.Acquire(&hbs.Request{Workspace: "ws", Deadline: time.Now().Add(work + time.Second)})
	f.mu.Lock()
	admitted := err == nil && x.ctx.Err() == nil
	if admitted {
		f.count(x, 1)
	}
	f.mu.Unlock()
	if !admitted {
		return
	}
	select {
	case <-time.After(work):
		f.mu.Lock()
		f.count(x, -1)
		f.mu.Unlock()
		release(1)
	case <-x.ctx.Done():
	}
}

// run sends perSecond[i] requests a second to instance i for d, each running for
// work. It returns the mean and the most that ran.
func (f *lenders) run(d, work time.Duration, perSecond ...float64) (mean float64, most int) {
	f.mu.Lock()
	f.count(f.nodes[0], 0)
	f.most, f.area = f.running, 0
	f.mu.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		f.look()
		for i, r := range perSecond {
			for t := f.rng.ExpFloat64(); t < r*step.Seconds(); t += f.rng.ExpFloat64() {
				x := f.nodes[i]
				f.wg.Go(func() { f.serve(x, work) })
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count(f.nodes[0], 0)
	return f.area.Seconds() / d.Seconds(), f.most
}

// look lets the live instances make their digests, in which they look at the
// roster.
func (f *lenders) look() {
	f.ticks++
	for i, n := range f.nodes {
		if f.ticks%int(exchange/step) == i && n.ctx.Err() == nil {
			n.Sections()[0].Digest(100)
		}
	}
}

// kill ends instance i and what runs there; the others notice within lag.
func (f *lenders) kill(i int, lag time.Duration) {
	f.mu.Lock()
	x := f.nodes[i]
	x.stop()
	f.count(x, -x.running)
	f.mu.Unlock()
	f.tell(lag)
}

// tell gives each live instance the roster of those, within lag.
func (f *lenders) tell(lag time.Duration) {
	f.told++
	told, roster := f.told, &hbs.Roster{}
	for _, n := range f.nodes {
		if n.ctx.Err() == nil {
			roster.Instances = append(roster.Instances, hbs.Instance{ID: n.Self, Incarnation: n.own().Incarnation})
		}
	}
	for _, n := range f.nodes {
		wait := time.Duration(f.rng.Float64() * float64(lag))
		f.wg.Go(func() {
			time.Sleep(wait)
			f.with(func() {
				if told > n.told {
					n.roster, n.told = roster, told
				}
			})
		})
	}
}

func (n *lender) own() hbs.Instance {
	all := n.Roster().Instances
	return all[slices.IndexFunc(all, func(i hbs.Instance) bool { return i.ID == n.Self })]
}

// lopsided sends four fifths of a total to instance i.
func lopsided(i int, total float64) []float64 {
	rates := even(0.2 * total)
	rates[i] += 0.8 * total
	return rates
}

// oneCounter returns the mean of the requests that run at one counter for the
// whole fleet (Erlang's loss formula).
func oneCounter(offered float64, slots int) float64 {
	blocked := 1.0
	for k := range slots {
		blocked = offered * blocked / (float64(k+1) + offered*blocked)
	}
	return offered * (1 - blocked)
}

var _ = DescribeTable("a small limit on concurrency is used like one counter's, and not passed (rules 10 and 11)",
	func(slots int, load float64, rates []float64) {
		inLenders(slots, func(f *lenders) {
			f.run(5*time.Second, time.Second, rates...)
			mean, most := f.run(100*time.Second, time.Second, rates...)
			AddReportEntry("used", mean/oneCounter(load, slots), ReportEntryVisibilityFailureOrVerbose)
			f.Expect(mean).To(BeNumerically(">=", 0.9*oneCounter(load, slots)))
			f.Expect(most).To(BeNumerically("<=", slots))
		})
	},
	Entry("3, fewer than instances", 3, 7.5, even(7.5)),
	Entry("5", 5, 12.5, even(12.5)),
	Entry("10", 10, 25.0, even(25)),
	Entry("10, little demand above", 10, 12.0, even(12)),
	Entry("10, most entry at one", 10, 25.0, lopsided(0, 25)),
	Entry("20", 20, 50.0, even(50)),
	Entry("20, most entry at one", 20, 50.0, lopsided(3, 50)),
	Entry("32", 32, 80.0, even(80)),
)

var _ = Describe("slots that are lent", func() {
	// used expects the limit in use like one counter's and not passed, once d has
	// passed.
	used := func(f *lenders, d, work time.Duration, rates []float64) {
		_, most := f.run(d, work, rates...)
		f.Expect(most).To(BeNumerically("<=", f.slots))
		mean, most := f.run(20*time.Second, work, rates...)
		f.Expect(most).To(BeNumerically("<=", f.slots))
		offered := 0.0
		for _, r := range rates {
			offered += r * work.Seconds()
		}
		f.Expect(mean).To(BeNumerically(">=", 0.9*oneCounter(offered, f.slots)))
	}

	It("are not lent anew while their requests run, when the lender dies (rules 10 and 14)", func() {
		inLenders(10, func(f *lenders) {
			f.run(5*time.Second, 15*time.Second, 5)
			for i := range 3 {
				f.kill(i+1, time.Second)
				_, most := f.run(5*time.Second, 15*time.Second, even(25)...)
				f.Expect(most).To(BeNumerically("<=", 10))
			}
			used(f, 9*time.Second, time.Second, lopsided(0, 25))
		})
	})

	It("come back when the borrower dies", func() {
		inLenders(10, func(f *lenders) {
			f.run(5*time.Second, time.Minute, 10)
			f.kill(0, time.Second)
			used(f, 9*time.Second, time.Second, append([]float64{0}, even(30)[1:]...))
		})
	})

	It("are used on either side of a cut and not passed, and again by all after it", func() {
		inLenders(10, func(f *lenders) {
			rates := []float64{25, 0, 0, 25, 0, 0, 0}
			f.run(5*time.Second, time.Second, rates...)
			f.with(func() { f.group = [instances]int{0, 0, 0, 1, 1, 1, 1} })
			_, most := f.run(5*time.Second, time.Second, rates...)
			f.Expect(most).To(BeNumerically("<=", 10))
			mean, most := f.run(20*time.Second, time.Second, rates...)
			f.Expect(most).To(BeNumerically("<=", 10))
			f.Expect(mean).To(BeNumerically(">=", 7.5), "each side goes on with its share")
			f.with(func() { f.group = [instances]int{} })
			used(f, 5*time.Second, time.Second, rates)
		})
	})

	It("come back when answers are lost (rule 12)", func() {
		inLenders(10, func(f *lenders) {
			f.with(func() { f.lost = 0.5 })
			_, most := f.run(20*time.Second, time.Second, lopsided(0, 25)...)
			f.Expect(most).To(BeNumerically("<=", 10))
			f.with(func() { f.lost = 0 })
			used(f, 2*time.Second, time.Second, lopsided(0, 25))
		})
	})

	It("are lent once when asked for twice, and not after they came back (rule 12)", func() {
		inLenders(10, func(f *lenders) {
			f.with(func() { f.twice = true })
			used(f, 5*time.Second, 500*time.Millisecond, lopsided(0, 50))
		})
	})

	It("follow a limit that is lowered and raised", func() {
		inLenders(20, func(f *lenders) {
			f.run(5*time.Second, time.Second, lopsided(0, 50)...)
			f.with(func() { f.slots = 10 })
			f.run(1100*time.Millisecond, time.Second, lopsided(0, 50)...)
			used(f, time.Second, time.Second, lopsided(0, 50))
			f.with(func() { f.slots = 20 })
			used(f, 2*time.Second, time.Second, lopsided(0, 50))
		})
	})

	It("make a request wait no longer than the knob, and tell when to come back", func() {
		inLenders(10, func(f *lenders) {
			f.run(3*time.Second, time.Minute, 10)
			f.with(func() { f.group = [instances]int{0, 1, 2, 3, 4, 5, 6} })
			for range 3 {
				began := time.Now()
				_, err := f.nodes[0].Acquire(&hbs.Request{Workspace: "ws", Deadline: began.Add(time.Minute)})
				f.Expect(err).To(HaveField("RetryAfter", BeNumerically(">", 0)))
				f.Expect(time.Since(began)).To(BeNumerically("<=", 50*time.Millisecond))
			}
		})
	})

	DescribeTable("are never more than the limit", func(faults func(f *lenders, rng *rand.Rand)) {
		for seed := range uint64(10) {
			inLenders(10, func(f *lenders) {
				rng := rand.New(rand.NewPCG(seed, 7))
				f.rng = rng
				for range 30 {
					faults(f, rng)
					work := time.Duration(50+rng.IntN(4000)) * time.Millisecond
					_, most := f.run(time.Duration(rng.IntN(5000))*time.Millisecond, work, lopsided(rng.IntN(instances), 30)...)
					f.Expect(most).To(BeNumerically("<=", 10), "seed %d", seed)
				}
			})
		}
	},
		Entry("with cuts and lost answers", func(f *lenders, rng *rand.Rand) {
			lost, group := max(0, rng.Float64()-0.5), [instances]int{}
			for i := range rng.IntN(2) * instances {
				group[i] = rng.IntN(2)
			}
			f.with(func() { f.lost, f.group = lost, group })
		}),
		Entry("with lost answers, deaths and restarts", func(f *lenders, rng *rand.Rand) {
			lost := max(0, rng.Float64()-0.5)
			f.with(func() { f.lost = lost })
			i := rng.IntN(instances)
			if f.nodes[i].ctx.Err() == nil {
				f.kill(i, time.Second)
				return
			}
			f.start(i, rng.Int())
			f.tell(time.Second)
		}),
	)
})

var _ = DescribeTable("Answer refuses", func(data string) {
	_, err := (&limit.Limiter{}).Answer("i", []byte(data))
	Expect(err).To(HaveOccurred())
},
	Entry("no CBOR", "\xff"),
	Entry("an ask without a workspace", "\x86\x60\x61a\x01\x01\xf4\xf4"),
	Entry("an ask for no time", "\x86\x61w\x61a\x01\x00\xf4\xf4"),
)
