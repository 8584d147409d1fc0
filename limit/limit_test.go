package limit_test

import (
	"fmt"
	"math/rand/v2"
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

var suiteT *testing.T

func TestLimit(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

const (
	instances = 7
	step      = 10 * time.Millisecond
	// exchangeInterval is the time between two digests of an instance.
	exchangeInterval = 250 * time.Millisecond
)

// fleet is seven limiters of one domain in virtual time that exchange digests
// directly.
type fleet struct {
	Gomega
	roster   *hbs.Roster
	limiters []*limit.Limiter
	// group has the network partition of each instance. Digests arrive within a
	// partition only.
	group   [instances]int
	rng     *rand.Rand
	ticks   int
	running []runningRequest
}

// runningRequest is an admitted request that ends at a time.
type runningRequest struct {
	at      time.Time
	release func(int)
}

func inFleet(limits limit.Limits, test func(f *fleet)) {
	synctest.Test(suiteT, func(t *testing.T) {
		f := &fleet{Gomega: NewWithT(t), roster: &hbs.Roster{}, rng: rand.New(rand.NewPCG(1, 2))}
		for i := range instances {
			id := hbs.InstanceID(fmt.Sprint("i", i))
			f.roster.Instances = append(f.roster.Instances, hbs.Instance{ID: id})
			f.limiters = append(f.limiters, &limit.Limiter{
				Self: id, IsRepresentative: func() bool { return false }, Directory: f, Policy: knob.NewFixed(limit.Knobs), Metrics: metrics.NewRegistry(),
				Limits: func(hbs.WorkspaceID) limit.Limits { return limits },
			})
		}
		test(f)
	})
}

func (f *fleet) Roster() *hbs.Roster { return f.roster }

func (f *fleet) Changed() <-chan struct{} { return nil }

// run sends perSecond[i] requests a second to instance i for d, each running
// for work. It returns the number of admitted ones and the most that ran at
// once.
func (f *fleet) run(d, work time.Duration, perSecond ...float64) (admitted, most int) {
	req := &hbs.Request{Workspace: "ws"}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		f.releaseFinished()
		for i, r := range perSecond {
			for range f.poisson(r * step.Seconds()) {
				release, err := f.limiters[i].Acquire(req)
				if err != nil {
					continue
				}
				admitted++
				f.running = append(f.running, runningRequest{time.Now().Add(work), release})
			}
		}
		most = max(most, len(f.running))
		f.exchange()
	}
	return admitted, most
}

func (f *fleet) releaseFinished() {
	left := f.running[:0]
	for _, r := range f.running {
		if time.Now().Before(r.at) {
			left = append(left, r)
			continue
		}
		r.release(1)
	}
	f.running = left
}

func (f *fleet) poisson(mean float64) (n int) {
	for t := f.rng.ExpFloat64(); t < mean; t += f.rng.ExpFloat64() {
		n++
	}
	return n
}

// exchange lets the instances whose turn it is in this step send their digest.
func (f *fleet) exchange() {
	f.ticks++
	period := int(exchangeInterval / step)
	for i, from := range f.limiters[:len(f.roster.Instances)] {
		if f.ticks%period != i*period/instances {
			continue
		}
		data := from.Sections()[0].Digest(100)
		for j, to := range f.limiters {
			if i != j && f.group[i] == f.group[j] {
				f.Expect(to.Sections()[0].Merge(f.roster.Instances[i], data)).To(Succeed())
			}
		}
	}
}

// even spreads a total rate over the instances.
func even(total float64) []float64 {
	rates := make([]float64, instances)
	for i := range rates {
		rates[i] = total / instances
	}
	return rates
}

// limitRate is in requests per second.
const limitRate = 70.0

// expectAtLimit expects the admitted rate over d within 10% of the limit.
func (f *fleet) expectAtLimit(admitted int, d time.Duration) {
	f.Expect(float64(admitted) / d.Seconds()).To(BeNumerically("~", limitRate, limitRate*0.1))
}

var _ = Describe("a rate", func() {
	limits := limit.Limits{RequestsPerSecond: limitRate}

	DescribeTable("is enforced within 10% (rules 1 to 3)", func(rates []float64) {
		inFleet(limits, func(f *fleet) {
			f.run(5*time.Second, 0, rates...)
			n, _ := f.run(20*time.Second, 0, rates...)
			f.expectAtLimit(n, 20*time.Second)
		})
	},
		Entry("with balanced traffic", even(140)),
		Entry("with all traffic at one instance", []float64{140}),
		Entry("with most traffic at one instance", []float64{100, 5, 5, 5, 5, 5, 5}),
		Entry("with demand of twenty times the limit", even(1400)),
	)

	DescribeTable("is fully used when it is small and the demand slightly above it (rule 7)", func(perSecond float64) {
		inFleet(limit.Limits{RequestsPerSecond: perSecond}, func(f *fleet) {
			f.run(5*time.Second, 0, even(1.5*perSecond)...)
			n, _ := f.run(100*time.Second, 0, even(1.5*perSecond)...)
			f.Expect(float64(n) / 100).To(BeNumerically("~", perSecond, perSecond*0.1))
		})
	},
		Entry("8", 8.0),
		Entry("20", 20.0),
	)

	It("refuses few requests below the limit with all traffic at one instance (rule 2)", func() {
		inFleet(limits, func(f *fleet) {
			f.run(5*time.Second, 0, 50)
			n, _ := f.run(20*time.Second, 0, 50)
			f.Expect(n).To(BeNumerically(">=", 950))
		})
	})

	It("is enforced again within seconds after traffic moves", func() {
		inFleet(limits, func(f *fleet) {
			f.run(10*time.Second, 0, 140)
			moved := []float64{0, 0, 0, 0, 0, 0, 140}
			f.run(4*time.Second, 0, moved...)
			n, _ := f.run(10*time.Second, 0, moved...)
			f.expectAtLimit(n, 10*time.Second)
		})
	})

	It("is not exceeded while instances are partitioned, wherever the traffic goes, and recovers (rule 4)", func() {
		inFleet(limits, func(f *fleet) {
			f.run(10*time.Second, 0, even(140)...)
			f.group = [instances]int{0, 0, 0, 1, 1, 2, 3}
			cut := []float64{300, 0, 0, 300, 0, 300, 300}
			n, _ := f.run(20*time.Second, 0, cut...)
			f.Expect(float64(n) / 20).To(BeNumerically("<=", limitRate*1.1))
			f.Expect(float64(n)/20).To(BeNumerically(">=", limitRate*4/7*0.9), "each instance continues with its share")
			f.group = [instances]int{}
			f.run(4*time.Second, 0, cut...)
			n, _ = f.run(20*time.Second, 0, cut...)
			f.expectAtLimit(n, 20*time.Second)
		})
	})

	It("is fully used after instances left the roster (rule 5)", func() {
		inFleet(limits, func(f *fleet) {
			f.run(10*time.Second, 0, even(140)...)
			f.roster = &hbs.Roster{Instances: f.roster.Instances[:4]}
			rates := []float64{35, 35, 35, 35}
			f.run(2*time.Second, 0, rates...)
			n, _ := f.run(20*time.Second, 0, rates...)
			f.expectAtLimit(n, 20*time.Second)
		})
	})
})

var _ = Describe("concurrency", func() {
	DescribeTable("is exceeded by at most 10% and is fully used (rule 6)", func(before, after []float64) {
		inFleet(limit.Limits{Concurrency: 40}, func(f *fleet) {
			f.run(10*time.Second, time.Second, before...)
			_, most := f.run(5*time.Second, time.Second, after...)
			f.Expect(most).To(BeNumerically("<=", 44))
			n, most := f.run(20*time.Second, time.Second, after...)
			f.Expect(most).To(BeNumerically("<=", 44))
			f.Expect(float64(n) / 20).To(BeNumerically(">=", 36))
		})
	},
		Entry("with balanced traffic", even(100), even(100)),
		Entry("with all traffic at one instance", []float64{100}, []float64{100}),
		Entry("when traffic moves", []float64{100}, []float64{0, 0, 0, 100}),
	)

	DescribeTable("is exceeded by at most 10% over a long time, also when small (rule 1)", func(most int) {
		inFleet(limit.Limits{Concurrency: most}, func(f *fleet) {
			_, ran := f.run(100*time.Second, time.Second, even(3*float64(most))...)
			f.Expect(ran).To(BeNumerically("<=", float64(most)*1.1))
		})
	},
		Entry("5", 5),
		Entry("10", 10),
		Entry("20", 20),
		Entry("40", 40),
	)
})

var _ = DescribeTable("Merge rejects", func(data string) {
	l := &limit.Limiter{}
	Expect(l.Sections()[0].Merge(hbs.Instance{ID: "i"}, []byte(data))).NotTo(Succeed())
},
	Entry("data that is not CBOR", "\xff"),
	Entry("a claim without a workspace", "\x81\x84\x60\x01\x01\x01"),
	Entry("a negative demand", "\x81\x84\x61a\x20\x01\x01"),
)
