package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/limit"
)

const (
	// representatives is their number in each domain.
	representatives = 2
	// detectionDelay is how long after its death an instance leaves the roster.
	detectionDelay = time.Second
	// digestsPerExchange is how many digests within a domain are sent for each
	// one to other domains.
	digestsPerExchange = 4
)

// domainFleet is a fleet of several domains in virtual time. Digests have the
// interval and the size that package peer gives them.
type domainFleet struct {
	Gomega
	roster  *hbs.Roster
	domains [][]*domainNode
	// partitioned has the domains that are cut off from all others.
	partitioned map[int]bool
	interval    time.Duration
	// budget is the largest size in bytes of a digest to one peer.
	budget  int
	rng     *rand.Rand
	ticks   int
	running []runningRequest
	// bytes has the bytes of the digests sent, messages their number, by
	// section name.
	bytes    map[string]int
	messages map[string]int
}

type domainNode struct {
	hbs.Instance
	*limit.Limiter
	// phase is the tick in each interval at which the instance sends digests,
	// sent how often it did.
	phase  int
	sent   int
	diedAt time.Time
}

const domainStep = 10 * time.Millisecond

func newDomainFleet(t *testing.T, domains, instances int, bounds func(hbs.WorkspaceID) limit.Limits) *domainFleet {
	f := &domainFleet{Gomega: NewWithT(t), roster: &hbs.Roster{}, partitioned: map[int]bool{}, rng: rand.New(rand.NewPCG(3, 4)),
		bytes: map[string]int{}, messages: map[string]int{}}
	// As in package peer, rule 3, at its default budget.
	links := float64(instances-1) + float64(domains-1)/digestsPerExchange
	f.interval = max(250*time.Millisecond, time.Duration(links*128/5632*float64(time.Second))).Round(domainStep)
	f.budget = int(5632*f.interval.Seconds()/links) - 32
	for d := range domains {
		var nodes []*domainNode
		for i := range instances {
			n := &domainNode{Instance: hbs.Instance{ID: hbs.InstanceID(fmt.Sprintf("d%d-%d", d, i)), Domain: hbs.DomainName(fmt.Sprint("d", d))}}
			n.phase = f.rng.IntN(int(f.interval / domainStep))
			n.Limiter = &limit.Limiter{Self: n.ID, Directory: f, Policy: knob.NewFixed(limit.Knobs), Metrics: metrics.NewRegistry(), Limits: bounds,
				IsRepresentative: func() bool { return slices.Contains(f.representatives(d), n) }}
			nodes = append(nodes, n)
			f.roster.Instances = append(f.roster.Instances, n.Instance)
		}
		f.domains = append(f.domains, nodes)
	}
	return f
}

func (f *domainFleet) Roster() *hbs.Roster { return f.roster }

func (f *domainFleet) Changed() <-chan struct{} { return nil }

// representatives returns the representatives of a domain, as its instances see
// them.
func (f *domainFleet) representatives(d int) (ns []*domainNode) {
	for _, n := range f.domains[d] {
		if !n.detectedDead() && len(ns) < representatives {
			ns = append(ns, n)
		}
	}
	return ns
}

// kill ends an instance. The roster drops it after detectionDelay.
func (f *domainFleet) kill(n *domainNode) { n.diedAt = time.Now() }

// removeDead removes the instances whose death was detected from the roster.
func (f *domainFleet) removeDead() {
	left := slices.DeleteFunc(slices.Clone(f.roster.Instances), func(i hbs.Instance) bool {
		return slices.ContainsFunc(f.domains, func(ns []*domainNode) bool {
			return slices.ContainsFunc(ns, func(n *domainNode) bool { return n.Instance == i && n.detectedDead() })
		})
	})
	if len(left) < len(f.roster.Instances) {
		f.roster = &hbs.Roster{Instances: left}
	}
}

// detectedDead reports whether the instance's death was detected.
func (n *domainNode) detectedDead() bool {
	return !n.diedAt.IsZero() && time.Since(n.diedAt) >= detectionDelay
}

// run is like fleet.run, with perSecond as the rate of arrivals at an instance.
// Each request is for one of the workspaces at random.
func (f *domainFleet) run(d, work time.Duration, perSecond func(domain, i int) float64, workspaces ...hbs.WorkspaceID) (admitted, most int) {
	if len(workspaces) == 0 {
		workspaces = []hbs.WorkspaceID{"ws"}
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(domainStep) {
		f.releaseFinished()
		f.removeDead()
		for x, nodes := range f.domains {
			for i, n := range nodes {
				for range f.poisson(perSecond(x, i) * domainStep.Seconds()) {
					release, err := n.Acquire(&hbs.Request{Workspace: workspaces[f.rng.IntN(len(workspaces))]})
					if err != nil || !n.diedAt.IsZero() {
						continue
					}
					admitted++
					f.running = append(f.running, runningRequest{time.Now().Add(work), release})
				}
			}
		}
		most = max(most, len(f.running))
		f.exchange()
	}
	return admitted, most
}

func (f *domainFleet) releaseFinished() {
	f.running = slices.DeleteFunc(f.running, func(r runningRequest) bool {
		finished := !time.Now().Before(r.at)
		if finished {
			r.release(1)
		}
		return finished
	})
}

func (f *domainFleet) poisson(mean float64) (n int) {
	for t := f.rng.ExpFloat64(); t < mean; t += f.rng.ExpFloat64() {
		n++
	}
	return n
}

func (f *domainFleet) exchange() {
	f.ticks++
	for d, nodes := range f.domains {
		for _, n := range nodes {
			if n.diedAt.IsZero() && f.ticks%int(f.interval/domainStep) == n.phase {
				f.sendDigests(d, n)
			}
		}
	}
}

// sendDigests sends the digests of an instance. The sections of other packages
// get two thirds of the budget within a domain.
func (f *domainFleet) sendDigests(d int, n *domainNode) {
	sections := n.Sections()
	for _, s := range sections[:2] {
		data := s.Digest(f.budget / 3)
		for _, to := range f.domains[d] {
			if to != n {
				f.deliver(n, to, s.Name(), data)
			}
		}
	}
	n.sent++
	rank := slices.Index(f.representatives(d), n)
	if n.sent%digestsPerExchange != 0 || rank < 0 {
		return
	}
	data := sections[2].Digest(f.budget)
	for x := range f.domains {
		representatives := f.representatives(x)
		if x != d && len(representatives) > 0 && !f.partitioned[x] && !f.partitioned[d] {
			f.deliver(n, representatives[rank%len(representatives)], sections[2].Name(), data)
		}
	}
}

func (f *domainFleet) deliver(from, to *domainNode, name string, data []byte) {
	if len(data) == 0 {
		return
	}
	f.bytes[name] += len(data)
	f.messages[name]++
	if !to.diedAt.IsZero() {
		return
	}
	for _, s := range to.Sections() {
		if s.Name() == name {
			f.Expect(s.Merge(from.Instance, data)).To(Succeed())
		}
	}
}

// expectAtLimit expects the rate admitted over d to be within 10% of the limit.
func (f *domainFleet) expectAtLimit(admitted int, d time.Duration) {
	f.Expect(float64(admitted) / d.Seconds()).To(BeNumerically("~", limitRate, limitRate*0.1))
}

// expectAtMostLimit expects the rate admitted over d to exceed the limit by at
// most 10%.
func (f *domainFleet) expectAtMostLimit(admitted int, d time.Duration) {
	f.Expect(float64(admitted) / d.Seconds()).To(BeNumerically("<=", limitRate*1.1))
}

// expectEmpty expects that all digests sent name no workspace.
func (f *domainFleet) expectEmpty() {
	for name, empty := range map[string]int{"limit": 1, "limit.sums": 1, "limit.shares": 3} {
		f.Expect(f.messages[name]).To(BeNumerically(">", 0))
		f.Expect(f.bytes[name]).To(Equal(empty*f.messages[name]), name)
	}
}

func inDomainFleet(limits limit.Limits, test func(f *domainFleet)) {
	inDomainFleetOf(4, 3, limits, test)
}

func inDomainFleetOf(domains, instances int, limits limit.Limits, test func(f *domainFleet)) {
	synctest.Test(suiteT, func(t *testing.T) {
		test(newDomainFleet(t, domains, instances, func(hbs.WorkspaceID) limit.Limits { return limits }))
	})
}

// everywhere spreads a total rate over the twelve instances.
func everywhere(total float64) func(d, i int) float64 {
	return func(int, int) float64 { return total / 12 }
}

// at sends the whole rate to one instance.
func at(domain, instance int, rate float64) func(d, i int) float64 {
	return func(d, i int) float64 {
		if d == domain && i == instance {
			return rate
		}
		return 0
	}
}

var _ = Describe("a rate over several domains (rule 9)", func() {
	limits := limit.Limits{RequestsPerSecond: limitRate}

	DescribeTable("is enforced within 10%", func(rates func(d, i int) float64) {
		inDomainFleet(limits, func(f *domainFleet) {
			f.run(10*time.Second, 0, rates)
			n, _ := f.run(20*time.Second, 0, rates)
			f.expectAtLimit(n, 20*time.Second)
		})
	},
		Entry("with balanced traffic", everywhere(140)),
		Entry("with all traffic at one instance", at(2, 1, 140)),
		Entry("with most traffic in one domain", func(d, _ int) float64 { return []float64{40, 2, 2, 2}[d] }),
		Entry("with demand of twenty times the limit", everywhere(1400)),
	)

	It("is fully used within seconds by many workspaces that are sent round-robin in small digests (rule 1)", func() {
		inDomainFleet(limit.Limits{RequestsPerSecond: limitRate / 20}, func(f *domainFleet) {
			f.budget = 96
			var names []hbs.WorkspaceID
			for k := range 20 {
				names = append(names, hbs.WorkspaceID(fmt.Sprintf("customer-%03d", k)))
			}
			f.run(10*time.Second, 0, at(1, 2, 140), names...)
			n, _ := f.run(10*time.Second, 0, at(1, 2, 140), names...)
			f.expectAtLimit(n, 10*time.Second)
		})
	})

	It("refuses few requests below the limit with all traffic at one instance (rules 2 and 8)", func() {
		inDomainFleet(limits, func(f *domainFleet) {
			f.run(10*time.Second, 0, at(1, 2, 50))
			n, _ := f.run(20*time.Second, 0, at(1, 2, 50))
			f.Expect(n).To(BeNumerically(">=", 950))
		})
	})

	DescribeTable("is not exceeded when representatives of the domain with most traffic die, and is fully used afterwards", func(killed int) {
		inDomainFleet(limits, func(f *domainFleet) {
			rates := func(d, i int) float64 { return []float64{5, 5, 140}[i] * []float64{0, 1, 0, 0.1}[d] }
			f.run(10*time.Second, 0, rates)
			for _, n := range f.domains[1][:killed] {
				f.kill(n)
			}
			n, _ := f.run(10*time.Second, 0, rates)
			f.expectAtLimit(n, 10*time.Second)
			n, _ = f.run(20*time.Second, 0, rates)
			f.expectAtLimit(n, 20*time.Second)
		})
	}, Entry("one", 1), Entry("both at once", 2))

	It("is not exceeded when traffic moves to another domain while a representative dies", func() {
		inDomainFleet(limits, func(f *domainFleet) {
			f.run(10*time.Second, 0, at(1, 2, 140))
			f.kill(f.domains[1][0])
			n, _ := f.run(10*time.Second, 0, at(3, 2, 140))
			f.expectAtMostLimit(n, 10*time.Second)
			n, _ = f.run(10*time.Second, 0, at(3, 2, 140))
			f.expectAtLimit(n, 10*time.Second)
		})
	})

	It("is not exceeded while a domain is partitioned, wherever the traffic goes, and recovers (rule 4)", func() {
		inDomainFleet(limits, func(f *domainFleet) {
			f.run(10*time.Second, 0, everywhere(140))
			f.partitioned[1] = true
			both := func(d, i int) float64 { return at(1, 0, 300)(d, i) + at(2, 0, 300)(d, i) }
			n, _ := f.run(30*time.Second, 0, both)
			f.expectAtMostLimit(n, 30*time.Second)
			f.Expect(float64(n)/30).To(BeNumerically(">=", limitRate/2*0.9), "both sides continue with their share")
			f.partitioned[1] = false
			n, _ = f.run(5*time.Second, 0, both)
			f.expectAtMostLimit(n, 5*time.Second)
			n, _ = f.run(20*time.Second, 0, both)
			f.expectAtLimit(n, 20*time.Second)
		})
	})

	It("is not exceeded when the representatives of a partitioned domain die and traffic moves there (rules 4 and 9)", func() {
		inDomainFleetOf(2, 5, limits, func(f *domainFleet) {
			f.run(10*time.Second, 0, at(1, 3, 140))
			f.partitioned[0] = true
			f.run(5*time.Second, 0, at(1, 3, 140))
			f.kill(f.domains[0][0])
			f.kill(f.domains[0][1])
			f.run(70*time.Second, 0, at(1, 3, 140))
			f.kill(f.domains[0][2])
			f.run(2*time.Second, 0, at(1, 3, 140))
			both := func(d, i int) float64 { return at(0, 4, 300)(d, i) + at(1, 3, 140)(d, i) }
			n, _ := f.run(70*time.Second, 0, both)
			f.expectAtMostLimit(n, 70*time.Second)
			f.partitioned[0] = false
			f.run(10*time.Second, 0, both)
			n, _ = f.run(20*time.Second, 0, both)
			f.expectAtLimit(n, 20*time.Second)
		})
	})

	It("takes no space in digests for a workspace that is far below its share everywhere (rule 8)", func() {
		inDomainFleet(limits, func(f *domainFleet) {
			f.run(10*time.Second, 0, everywhere(10))
			f.expectEmpty()
		})
	})

	It("takes no space in digests for a workspace whose traffic ended, also when a domain has a single instance", func() {
		inDomainFleet(limits, func(f *domainFleet) {
			f.kill(f.domains[3][0])
			f.kill(f.domains[3][1])
			f.run(10*time.Second, 0, at(0, 2, 140))
			f.run(40*time.Second, 0, everywhere(0))
			clear(f.bytes)
			clear(f.messages)
			f.run(5*time.Second, 0, everywhere(0))
			f.expectEmpty()
		})
	})
})

var _ = DescribeTable("Merge rejects shares", func(data string) {
	Expect((&limit.Limiter{}).Sections()[1].Merge(hbs.Instance{ID: "i"}, []byte(data))).NotTo(Succeed())
},
	Entry("that are not CBOR", "\xff"),
	Entry("without a workspace", "\x82\xf5\x81\x87\x60\xf4\x00\x00\x00\x00\x00"),
	Entry("with a rate above the limit", "\x82\xf5\x81\x87\x61a\xf4\x02\x00\x00\x00\x00"),
	Entry("with a negative concurrency", "\x82\xf5\x81\x87\x61a\xf4\x00\x20\x00\x00\x00"),
	Entry("with a negative demand", "\x82\xf5\x81\x87\x61a\xf4\x00\x00\x00\x20\x00"),
)

var _ = DescribeTable("concurrency over several domains is exceeded by at most 10% and is fully used (rules 6 and 9)", func(before, after func(d, i int) float64) {
	inDomainFleet(limit.Limits{Concurrency: 40}, func(f *domainFleet) {
		f.run(10*time.Second, time.Second, before)
		_, most := f.run(10*time.Second, time.Second, after)
		f.Expect(most).To(BeNumerically("<=", 44))
		n, most := f.run(20*time.Second, time.Second, after)
		f.Expect(most).To(BeNumerically("<=", 44))
		f.Expect(float64(n) / 20).To(BeNumerically(">=", 36))
	})
},
	// At lower rates the three slots per instance are idle for longer between
	// arrivals.
	Entry("with balanced traffic", everywhere(200), everywhere(200)),
	Entry("with all traffic at one instance", at(0, 0, 100), at(0, 0, 100)),
	Entry("when traffic moves to another domain", at(0, 0, 100), at(3, 1, 100)),
)
