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
	representatives = 2
	// noticed is the time after which a domain notices a dead instance.
	noticed = time.Second
	// farEvery is how many digests pass between two to other domains.
	farEvery = 4
)

// grid is a fleet of several domains in virtual time. Its digests have the
// intervals and bytes of package peer.
type grid struct {
	Gomega
	roster  *hbs.Roster
	domains [][]*gridNode
	// apart holds the domains that are cut off from all others.
	apart    map[int]bool
	interval time.Duration
	room     int
	rng      *rand.Rand
	ticks    int
	ending   []ending
	// bytes counts the digests sent by purpose, messages their number.
	bytes    map[string]int
	messages map[string]int
}

type gridNode struct {
	hbs.Instance
	*limit.Limiter
	phase  int
	sent   int
	diedAt time.Time
}

const gridStep = 10 * time.Millisecond

func newGrid(t *testing.T, domains, instances int, bounds func(hbs.WorkspaceID) limit.Bounds) *grid {
	g := &grid{Gomega: NewWithT(t), roster: &hbs.Roster{}, apart: map[int]bool{}, rng: rand.New(rand.NewPCG(3, 4)),
		bytes: map[string]int{}, messages: map[string]int{}}
	// The figures of peer's rule 3 at its default budget.
	links := float64(instances-1) + float64(domains-1)/farEvery
	g.interval = max(250*time.Millisecond, time.Duration(links*128/5632*float64(time.Second))).Round(gridStep)
	g.room = int(5632*g.interval.Seconds()/links) - 32
	for d := range domains {
		var nodes []*gridNode
		for i := range instances {
			n := &gridNode{Instance: hbs.Instance{ID: hbs.InstanceID(fmt.Sprintf("d%d-%d", d, i)), Domain: hbs.DomainName(fmt.Sprint("d", d))}}
			n.phase = g.rng.IntN(int(g.interval / gridStep))
			n.Limiter = &limit.Limiter{Self: n.ID, Directory: g, Policy: knob.NewFixed(limit.Knobs), Metrics: metrics.NewRegistry(), Bounds: bounds,
				Chosen: func() bool { return slices.Contains(g.chosen(d), n) }}
			nodes = append(nodes, n)
			g.roster.Instances = append(g.roster.Instances, n.Instance)
		}
		g.domains = append(g.domains, nodes)
	}
	return g
}

func (g *grid) Roster() *hbs.Roster { return g.roster }

func (g *grid) Changed() <-chan struct{} { return nil }

// chosen returns the representatives of a domain, as its instances see them.
func (g *grid) chosen(d int) (ns []*gridNode) {
	for _, n := range g.domains[d] {
		if !n.gone() && len(ns) < representatives {
			ns = append(ns, n)
		}
	}
	return ns
}

// kill ends an instance; the roster drops it when its silence is noticed.
func (g *grid) kill(n *gridNode) { n.diedAt = time.Now() }

// tidy drops from the roster what was noticed to be dead.
func (g *grid) tidy() {
	left := slices.DeleteFunc(slices.Clone(g.roster.Instances), func(i hbs.Instance) bool {
		return slices.ContainsFunc(g.domains, func(ns []*gridNode) bool {
			return slices.ContainsFunc(ns, func(n *gridNode) bool { return n.Instance == i && n.gone() })
		})
	})
	if len(left) < len(g.roster.Instances) {
		g.roster = &hbs.Roster{Instances: left}
	}
}

// gone reports whether the instance's death was noticed.
func (n *gridNode) gone() bool { return !n.diedAt.IsZero() && time.Since(n.diedAt) >= noticed }

// run is like fleet.run, with perSecond telling the rate of an instance.
func (g *grid) run(d, work time.Duration, perSecond func(domain, i int) float64, workspaces ...hbs.WorkspaceID) (admitted, most int) {
	if len(workspaces) == 0 {
		workspaces = []hbs.WorkspaceID{"ws"}
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gridStep) {
		g.end()
		g.tidy()
		for x, nodes := range g.domains {
			for i, n := range nodes {
				for range g.poisson(perSecond(x, i) * gridStep.Seconds()) {
					release, err := n.Acquire(&hbs.Request{Workspace: workspaces[g.rng.IntN(len(workspaces))]})
					if err != nil || !n.diedAt.IsZero() {
						continue
					}
					admitted++
					g.ending = append(g.ending, ending{time.Now().Add(work), release})
				}
			}
		}
		most = max(most, len(g.ending))
		g.exchange()
	}
	return admitted, most
}

func (g *grid) end() {
	g.ending = slices.DeleteFunc(g.ending, func(e ending) bool {
		over := !time.Now().Before(e.at)
		if over {
			e.release(1)
		}
		return over
	})
}

func (g *grid) poisson(mean float64) (n int) {
	for t := g.rng.ExpFloat64(); t < mean; t += g.rng.ExpFloat64() {
		n++
	}
	return n
}

func (g *grid) exchange() {
	g.ticks++
	for d, nodes := range g.domains {
		for _, n := range nodes {
			if n.diedAt.IsZero() && g.ticks%int(g.interval/gridStep) == n.phase {
				g.beat(d, n)
			}
		}
	}
}

// beat sends what an instance sends at once. The other sections of an instance
// get two thirds of the room.
func (g *grid) beat(d int, n *gridNode) {
	sections := n.Sections()
	for _, s := range sections[:2] {
		data := s.Digest(g.room / 3)
		for _, to := range g.domains[d] {
			if to != n {
				g.tell(n, to, s.Name(), data)
			}
		}
	}
	n.sent++
	rank := slices.Index(g.chosen(d), n)
	if n.sent%farEvery != 0 || rank < 0 {
		return
	}
	data := sections[2].Digest(g.room)
	for x := range g.domains {
		chosen := g.chosen(x)
		if x != d && len(chosen) > 0 && !g.apart[x] && !g.apart[d] {
			g.tell(n, chosen[rank%len(chosen)], sections[2].Name(), data)
		}
	}
}

func (g *grid) tell(from, to *gridNode, name string, data []byte) {
	if len(data) == 0 {
		return
	}
	g.bytes[name] += len(data)
	g.messages[name]++
	if !to.diedAt.IsZero() {
		return
	}
	for _, s := range to.Sections() {
		if s.Name() == name {
			g.Expect(s.Absorb(from.Instance, data)).To(Succeed())
		}
	}
}

// holds expects the admitted rate over d within 10% of the limit.
func (g *grid) holds(admitted int, d time.Duration) {
	g.Expect(float64(admitted) / d.Seconds()).To(BeNumerically("~", limitRate, limitRate*0.1))
}

// notOver expects at most the limit and 10%.
func (g *grid) notOver(admitted int, d time.Duration) {
	g.Expect(float64(admitted) / d.Seconds()).To(BeNumerically("<=", limitRate*1.1))
}

// expectEmpty expects only digests that name no workspace.
func (g *grid) expectEmpty() {
	for name, empty := range map[string]int{"limit": 1, "limit.sums": 1, "limit.shares": 3} {
		g.Expect(g.messages[name]).To(BeNumerically(">", 0))
		g.Expect(g.bytes[name]).To(Equal(empty*g.messages[name]), name)
	}
}

func inGrid(b limit.Bounds, test func(g *grid)) { inGridOf(4, 3, b, test) }

func inGridOf(domains, instances int, b limit.Bounds, test func(g *grid)) {
	synctest.Test(suiteT, func(t *testing.T) {
		test(newGrid(t, domains, instances, func(hbs.WorkspaceID) limit.Bounds { return b }))
	})
}

// everywhere spreads a total over the twelve instances, at sends all of it to one.
func everywhere(total float64) func(d, i int) float64 {
	return func(int, int) float64 { return total / 12 }
}

func at(domain, instance int, rate float64) func(d, i int) float64 {
	return func(d, i int) float64 {
		if d == domain && i == instance {
			return rate
		}
		return 0
	}
}

var _ = Describe("a rate over several domains (rule 9)", func() {
	bounds := limit.Bounds{RequestsPerSecond: limitRate}

	DescribeTable("holds within 10%", func(rates func(d, i int) float64) {
		inGrid(bounds, func(g *grid) {
			g.run(10*time.Second, 0, rates)
			n, _ := g.run(20*time.Second, 0, rates)
			g.holds(n, 20*time.Second)
		})
	},
		Entry("with balanced entry", everywhere(140)),
		Entry("with all entry at one instance", at(2, 1, 140)),
		Entry("with most entry in one domain", func(d, _ int) float64 { return []float64{40, 2, 2, 2}[d] }),
		Entry("with far too much", everywhere(1400)),
	)

	It("is used soon by many workspaces that take turns in small digests (rule 1)", func() {
		inGrid(limit.Bounds{RequestsPerSecond: limitRate / 20}, func(g *grid) {
			g.room = 96
			var names []hbs.WorkspaceID
			for k := range 20 {
				names = append(names, hbs.WorkspaceID(fmt.Sprintf("customer-%03d", k)))
			}
			g.run(10*time.Second, 0, at(1, 2, 140), names...)
			n, _ := g.run(10*time.Second, 0, at(1, 2, 140), names...)
			g.holds(n, 10*time.Second)
		})
	})

	It("refuses little below the limit when entry is lopsided (rules 2 and 8)", func() {
		inGrid(bounds, func(g *grid) {
			g.run(10*time.Second, 0, at(1, 2, 50))
			n, _ := g.run(20*time.Second, 0, at(1, 2, 50))
			g.Expect(n).To(BeNumerically(">=", 950))
		})
	})

	DescribeTable("is not passed when the summing instances of the entry's domain die, and is used again", func(killed int) {
		inGrid(bounds, func(g *grid) {
			rates := func(d, i int) float64 { return []float64{5, 5, 140}[i] * []float64{0, 1, 0, 0.1}[d] }
			g.run(10*time.Second, 0, rates)
			for _, n := range g.domains[1][:killed] {
				g.kill(n)
			}
			n, _ := g.run(10*time.Second, 0, rates)
			g.holds(n, 10*time.Second)
			n, _ = g.run(20*time.Second, 0, rates)
			g.holds(n, 20*time.Second)
		})
	}, Entry("one", 1), Entry("both at once", 2))

	It("is not passed when entry moves while the summing instance dies", func() {
		inGrid(bounds, func(g *grid) {
			g.run(10*time.Second, 0, at(1, 2, 140))
			g.kill(g.domains[1][0])
			n, _ := g.run(10*time.Second, 0, at(3, 2, 140))
			g.notOver(n, 10*time.Second)
			n, _ = g.run(10*time.Second, 0, at(3, 2, 140))
			g.holds(n, 10*time.Second)
		})
	})

	It("is not passed while a domain is cut off, wherever the entry goes, and recovers (rule 4)", func() {
		inGrid(bounds, func(g *grid) {
			g.run(10*time.Second, 0, everywhere(140))
			g.apart[1] = true
			both := func(d, i int) float64 { return at(1, 0, 300)(d, i) + at(2, 0, 300)(d, i) }
			n, _ := g.run(30*time.Second, 0, both)
			g.notOver(n, 30*time.Second)
			g.Expect(float64(n)/30).To(BeNumerically(">=", limitRate/2*0.9), "both go on with their share")
			g.apart[1] = false
			n, _ = g.run(5*time.Second, 0, both)
			g.notOver(n, 5*time.Second)
			n, _ = g.run(20*time.Second, 0, both)
			g.holds(n, 20*time.Second)
		})
	})

	It("is not passed when the summing instances of a domain that is cut off die and entry moves there (rules 4 and 9)", func() {
		inGridOf(2, 5, bounds, func(g *grid) {
			g.run(10*time.Second, 0, at(1, 3, 140))
			g.apart[0] = true
			g.run(5*time.Second, 0, at(1, 3, 140))
			g.kill(g.domains[0][0])
			g.kill(g.domains[0][1])
			g.run(70*time.Second, 0, at(1, 3, 140))
			g.kill(g.domains[0][2])
			g.run(2*time.Second, 0, at(1, 3, 140))
			both := func(d, i int) float64 { return at(0, 4, 300)(d, i) + at(1, 3, 140)(d, i) }
			n, _ := g.run(70*time.Second, 0, both)
			g.notOver(n, 70*time.Second)
			g.apart[0] = false
			g.run(10*time.Second, 0, both)
			n, _ = g.run(20*time.Second, 0, both)
			g.holds(n, 20*time.Second)
		})
	})

	It("costs no byte of a workspace that is far below its share everywhere (rule 8)", func() {
		inGrid(bounds, func(g *grid) {
			g.run(10*time.Second, 0, everywhere(10))
			g.expectEmpty()
		})
	})

	It("costs no byte of a workspace whose entry ended, also when a domain has a single instance", func() {
		inGrid(bounds, func(g *grid) {
			g.kill(g.domains[3][0])
			g.kill(g.domains[3][1])
			g.run(10*time.Second, 0, at(0, 2, 140))
			g.run(40*time.Second, 0, everywhere(0))
			clear(g.bytes)
			clear(g.messages)
			g.run(5*time.Second, 0, everywhere(0))
			g.expectEmpty()
		})
	})
})

var _ = DescribeTable("Absorb refuses shares", func(data string) {
	Expect((&limit.Limiter{}).Sections()[1].Absorb(hbs.Instance{ID: "i"}, []byte(data))).NotTo(Succeed())
},
	Entry("no CBOR", "\xff"),
	Entry("without a workspace", "\x82\xf5\x81\x87\x60\xf4\x00\x00\x00\x00\x00"),
	Entry("of more than the limit", "\x82\xf5\x81\x87\x61a\xf4\x02\x00\x00\x00\x00"),
	Entry("with a negative concurrency", "\x82\xf5\x81\x87\x61a\xf4\x00\x20\x00\x00\x00"),
	Entry("with a negative demand", "\x82\xf5\x81\x87\x61a\xf4\x00\x00\x00\x20\x00"),
)

var _ = DescribeTable("concurrency over several domains is not passed by more than 10% and is used (rules 6 and 9)", func(before, after func(d, i int) float64) {
	inGrid(limit.Bounds{Concurrency: 40}, func(g *grid) {
		g.run(10*time.Second, time.Second, before)
		_, most := g.run(10*time.Second, time.Second, after)
		g.Expect(most).To(BeNumerically("<=", 44))
		n, most := g.run(20*time.Second, time.Second, after)
		g.Expect(most).To(BeNumerically("<=", 44))
		g.Expect(float64(n) / 20).To(BeNumerically(">=", 36))
	})
},
	// Three slots an instance stay idle between arrivals for longer at less.
	Entry("with balanced entry", everywhere(200), everywhere(200)),
	Entry("with all entry at one instance", at(0, 0, 100), at(0, 0, 100)),
	Entry("when entry moves to another domain", at(0, 0, 100), at(3, 1, 100)),
)
