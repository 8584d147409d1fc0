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

// loanFleet is a fleet in virtual time whose instances lend each other the
// slots of one small limit. Messages take 1 ms.
type loanFleet struct {
	Gomega
	rng   *rand.Rand
	nodes []*loanNode
	wg    conc.WaitGroup
	// ticks counts the steps, rosterVersion the rosters.
	ticks, rosterVersion int

	mu sync.Mutex
	// lossRNG selects the responses that are lost.
	lossRNG *rand.Rand
	// slots is the limit. group has the network partition of each instance.
	// lossRate is the fraction of the responses that is lost. With duplicate,
	// all messages are delivered again 100 ms later.
	slots     int
	group     [instances]int
	lossRate  float64
	duplicate bool
	// running is the number of running requests, most its maximum and busyTime
	// its integral over time until changed.
	running, most int
	busyTime      time.Duration
	changed       time.Time
}

// loanNode is one incarnation of an instance.
type loanNode struct {
	*limit.Limiter
	f             *loanFleet
	ctx           context.Context
	stop          context.CancelFunc
	roster        *hbs.Roster
	rosterVersion int
	running       int
}

var names = []hbs.InstanceID{"i0", "i1", "i2", "i3", "i4", "i5", "i6"}

func inLoanFleet(slots int, test func(f *loanFleet)) {
	synctest.Test(suiteT, func(t *testing.T) {
		f := &loanFleet{Gomega: NewWithT(t), rng: rand.New(rand.NewPCG(1, 2)), lossRNG: rand.New(rand.NewPCG(3, 4)), slots: slots, nodes: make([]*loanNode, instances), changed: time.Now()}
		for i := range instances {
			f.start(i, 0)
		}
		f.distributeRoster(0)
		// Instances have no slots until KnobReassignDelay after their first roster.
		time.Sleep(4 * time.Second)
		test(f)
		for _, n := range f.nodes {
			n.stop()
		}
		f.wg.Wait()
	})
}

// start begins an incarnation of instance i, whose roster has itself alone.
func (f *loanFleet) start(i, incarnation int) {
	self := hbs.Instance{ID: names[i], Incarnation: hbs.Incarnation(fmt.Sprint(incarnation))}
	n := &loanNode{f: f, roster: &hbs.Roster{Instances: []hbs.Instance{self}}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.Limiter = &limit.Limiter{
		Self: self.ID, IsRepresentative: func() bool { return false }, Directory: n, Policy: knob.NewFixed(limit.Knobs), Metrics: metrics.NewRegistry(),
		Limits: func(hbs.WorkspaceID) limit.Limits { return limit.Limits{Concurrency: f.limit()} },
		SendLoanRequest: func(ctx context.Context, to hbs.Instance, data []byte) ([]byte, error) {
			return f.sendLoanRequest(ctx, i, slices.Index(names, to.ID), data)
		},
	}
	f.locked(func() { f.nodes[i] = n })
	f.wg.Go(func() { _ = n.Run(n.ctx) })
}

func (n *loanNode) Roster() *hbs.Roster {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.roster
}

func (n *loanNode) Changed() <-chan struct{} { return nil }

func (f *loanFleet) limit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots
}

// sendLoanRequest delivers a loan request. There is no response when either
// side is dead or they are partitioned.
func (f *loanFleet) sendLoanRequest(ctx context.Context, from, to int, data []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	reached := f.group[from] == f.group[to] && f.nodes[from].ctx.Err() == nil && f.nodes[to].ctx.Err() == nil
	lost, duplicate, target := f.lossRNG.Float64() < f.lossRate, f.duplicate, f.nodes[to]
	sender := f.nodes[from].Self
	f.mu.Unlock()
	var answer []byte
	var err error
	if reached {
		answer, err = target.HandleLoanRequest(sender, data)
	}
	if duplicate {
		f.wg.Go(func() {
			time.Sleep(100 * time.Millisecond)
			_, _ = target.HandleLoanRequest(sender, data)
		})
	}
	if lost || !reached || err != nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return answer, ctx.Err()
}

// locked calls change with mu locked.
func (f *loanFleet) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// addRunning adds n to the requests that run at x.
func (f *loanFleet) addRunning(x *loanNode, n int) {
	now := time.Now()
	f.busyTime += time.Duration(f.running) * now.Sub(f.changed)
	f.changed = now
	x.running += n
	f.running += n
	f.most = max(f.most, f.running)
}

// serve runs one request at x.
func (f *loanFleet) serve(x *loanNode, work time.Duration) {
	release, err := x.Acquire(&hbs.Request{Workspace: "ws", Deadline: time.Now().Add(work + time.Second)})
	f.mu.Lock()
	admitted := err == nil && x.ctx.Err() == nil
	if admitted {
		f.addRunning(x, 1)
	}
	f.mu.Unlock()
	if !admitted {
		return
	}
	select {
	case <-time.After(work):
		f.mu.Lock()
		f.addRunning(x, -1)
		f.mu.Unlock()
		release(1)
	case <-x.ctx.Done():
	}
}

// run sends perSecond[i] requests a second to instance i for d, each running
// for work. It returns the mean number and the most that ran at once.
func (f *loanFleet) run(d, work time.Duration, perSecond ...float64) (mean float64, most int) {
	f.mu.Lock()
	f.addRunning(f.nodes[0], 0)
	f.most, f.busyTime = f.running, 0
	f.mu.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		f.refreshRosters()
		for i, r := range perSecond {
			for t := f.rng.ExpFloat64(); t < r*step.Seconds(); t += f.rng.ExpFloat64() {
				x := f.nodes[i]
				f.wg.Go(func() { f.serve(x, work) })
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addRunning(f.nodes[0], 0)
	return f.busyTime.Seconds() / d.Seconds(), f.most
}

// refreshRosters lets the live instances whose turn it is make a digest, which
// updates them to their newest roster.
func (f *loanFleet) refreshRosters() {
	f.ticks++
	for i, n := range f.nodes {
		if f.ticks%int(exchangeInterval/step) == i && n.ctx.Err() == nil {
			n.Sections()[0].Digest(100)
		}
	}
}

// kill ends instance i and the requests that run there. The others notice
// within lag.
func (f *loanFleet) kill(i int, lag time.Duration) {
	f.mu.Lock()
	x := f.nodes[i]
	x.stop()
	f.addRunning(x, -x.running)
	f.mu.Unlock()
	f.distributeRoster(lag)
}

// distributeRoster gives each instance the roster of the live ones, at a random
// time within lag.
func (f *loanFleet) distributeRoster(lag time.Duration) {
	f.rosterVersion++
	version, roster := f.rosterVersion, &hbs.Roster{}
	for _, n := range f.nodes {
		if n.ctx.Err() == nil {
			roster.Instances = append(roster.Instances, hbs.Instance{ID: n.Self, Incarnation: n.instance().Incarnation})
		}
	}
	for _, n := range f.nodes {
		wait := time.Duration(f.rng.Float64() * float64(lag))
		f.wg.Go(func() {
			time.Sleep(wait)
			f.locked(func() {
				if version > n.rosterVersion {
					n.roster, n.rosterVersion = roster, version
				}
			})
		})
	}
}

func (n *loanNode) instance() hbs.Instance {
	all := n.Roster().Instances
	return all[slices.IndexFunc(all, func(i hbs.Instance) bool { return i.ID == n.Self })]
}

// lopsided sends four fifths of the total rate to instance i and spreads the
// rest evenly.
func lopsided(i int, total float64) []float64 {
	rates := even(0.2 * total)
	rates[i] += 0.8 * total
	return rates
}

// singleCounterMean returns the mean number of running requests if a single
// counter enforced the limit for the whole fleet (Erlang's loss formula).
func singleCounterMean(offered float64, slots int) float64 {
	blocked := 1.0
	for k := range slots {
		blocked = offered * blocked / (float64(k+1) + offered*blocked)
	}
	return offered * (1 - blocked)
}

var _ = DescribeTable("a small limit on concurrency is not exceeded, and used like that of a single counter (rules 10 and 11)",
	func(slots int, load float64, rates []float64) {
		inLoanFleet(slots, func(f *loanFleet) {
			f.run(5*time.Second, time.Second, rates...)
			mean, most := f.run(100*time.Second, time.Second, rates...)
			AddReportEntry("used", mean/singleCounterMean(load, slots), ReportEntryVisibilityFailureOrVerbose)
			f.Expect(mean).To(BeNumerically(">=", 0.9*singleCounterMean(load, slots)))
			f.Expect(most).To(BeNumerically("<=", slots))
		})
	},
	Entry("3, fewer than the instances", 3, 7.5, even(7.5)),
	Entry("5", 5, 12.5, even(12.5)),
	Entry("10", 10, 25.0, even(25)),
	Entry("10, with demand slightly above", 10, 12.0, even(12)),
	Entry("10, with most traffic at one instance", 10, 25.0, lopsided(0, 25)),
	Entry("20", 20, 50.0, even(50)),
	Entry("20, with most traffic at one instance", 20, 50.0, lopsided(3, 50)),
	Entry("32", 32, 80.0, even(80)),
)

var _ = Describe("lent slots", func() {
	// expectFullUse expects the limit not to be exceeded, and after d to be used like
	// that of a single counter.
	expectFullUse := func(f *loanFleet, d, work time.Duration, rates []float64) {
		_, most := f.run(d, work, rates...)
		f.Expect(most).To(BeNumerically("<=", f.slots))
		mean, most := f.run(20*time.Second, work, rates...)
		f.Expect(most).To(BeNumerically("<=", f.slots))
		offered := 0.0
		for _, r := range rates {
			offered += r * work.Seconds()
		}
		f.Expect(mean).To(BeNumerically(">=", 0.9*singleCounterMean(offered, f.slots)))
	}

	It("are not reused while their requests run when the lender dies (rules 10 and 14)", func() {
		inLoanFleet(10, func(f *loanFleet) {
			f.run(5*time.Second, 15*time.Second, 5)
			for i := range 3 {
				f.kill(i+1, time.Second)
				_, most := f.run(5*time.Second, 15*time.Second, even(25)...)
				f.Expect(most).To(BeNumerically("<=", 10))
			}
			expectFullUse(f, 9*time.Second, time.Second, lopsided(0, 25))
		})
	})

	It("are free again when the borrower dies", func() {
		inLoanFleet(10, func(f *loanFleet) {
			f.run(5*time.Second, time.Minute, 10)
			f.kill(0, time.Second)
			expectFullUse(f, 9*time.Second, time.Second, append([]float64{0}, even(30)[1:]...))
		})
	})

	It("are used on either side of a network partition without exceeding the limit, and by all instances after it", func() {
		inLoanFleet(10, func(f *loanFleet) {
			rates := []float64{25, 0, 0, 25, 0, 0, 0}
			f.run(5*time.Second, time.Second, rates...)
			f.locked(func() { f.group = [instances]int{0, 0, 0, 1, 1, 1, 1} })
			_, most := f.run(5*time.Second, time.Second, rates...)
			f.Expect(most).To(BeNumerically("<=", 10))
			mean, most := f.run(20*time.Second, time.Second, rates...)
			f.Expect(most).To(BeNumerically("<=", 10))
			f.Expect(mean).To(BeNumerically(">=", 7.5), "each side continues with its share")
			f.locked(func() { f.group = [instances]int{} })
			expectFullUse(f, 5*time.Second, time.Second, rates)
		})
	})

	It("are free again when responses were lost (rule 12)", func() {
		inLoanFleet(10, func(f *loanFleet) {
			f.locked(func() { f.lossRate = 0.5 })
			_, most := f.run(20*time.Second, time.Second, lopsided(0, 25)...)
			f.Expect(most).To(BeNumerically("<=", 10))
			f.locked(func() { f.lossRate = 0 })
			expectFullUse(f, 2*time.Second, time.Second, lopsided(0, 25))
		})
	})

	It("are lent once when a loan request is repeated, and not after their return (rule 12)", func() {
		inLoanFleet(10, func(f *loanFleet) {
			f.locked(func() { f.duplicate = true })
			expectFullUse(f, 5*time.Second, 500*time.Millisecond, lopsided(0, 50))
		})
	})

	It("follow a limit that is lowered and raised", func() {
		inLoanFleet(20, func(f *loanFleet) {
			f.run(5*time.Second, time.Second, lopsided(0, 50)...)
			f.locked(func() { f.slots = 10 })
			f.run(1100*time.Millisecond, time.Second, lopsided(0, 50)...)
			expectFullUse(f, time.Second, time.Second, lopsided(0, 50))
			f.locked(func() { f.slots = 20 })
			expectFullUse(f, 2*time.Second, time.Second, lopsided(0, 50))
		})
	})

	It("make a request wait no longer than KnobLoanWait, and its refusal tells when to retry", func() {
		inLoanFleet(10, func(f *loanFleet) {
			f.run(3*time.Second, time.Minute, 10)
			f.locked(func() { f.group = [instances]int{0, 1, 2, 3, 4, 5, 6} })
			for range 3 {
				began := time.Now()
				_, err := f.nodes[0].Acquire(&hbs.Request{Workspace: "ws", Deadline: began.Add(time.Minute)})
				f.Expect(err).To(HaveField("RetryAfter", BeNumerically(">", 0)))
				f.Expect(time.Since(began)).To(BeNumerically("<=", 50*time.Millisecond))
			}
		})
	})

	DescribeTable("never exceed the limit", func(faults func(f *loanFleet, rng *rand.Rand)) {
		for seed := range uint64(10) {
			inLoanFleet(10, func(f *loanFleet) {
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
		Entry("with partitions and lost responses", func(f *loanFleet, rng *rand.Rand) {
			lost, group := max(0, rng.Float64()-0.5), [instances]int{}
			for i := range rng.IntN(2) * instances {
				group[i] = rng.IntN(2)
			}
			f.locked(func() { f.lossRate, f.group = lost, group })
		}),
		Entry("with lost responses, crashes and restarts", func(f *loanFleet, rng *rand.Rand) {
			lost := max(0, rng.Float64()-0.5)
			f.locked(func() { f.lossRate = lost })
			i := rng.IntN(instances)
			if f.nodes[i].ctx.Err() == nil {
				f.kill(i, time.Second)
				return
			}
			f.start(i, rng.Int())
			f.distributeRoster(time.Second)
		}),
	)
})

var _ = DescribeTable("HandleLoanRequest rejects", func(data string) {
	_, err := (&limit.Limiter{}).HandleLoanRequest("i", []byte(data))
	Expect(err).To(HaveOccurred())
},
	Entry("data that is not CBOR", "\xff"),
	Entry("a request without a workspace", "\x86\x60\x61a\x01\x01\xf4\xf4"),
	Entry("a request for no time", "\x86\x61w\x61a\x01\x00\xf4\xf4"),
)
