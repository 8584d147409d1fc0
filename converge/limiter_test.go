package converge

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// suite is the test that runs the specs; synctest bubbles need it.
var suite *testing.T

func TestConverge(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "converge")
}

// source models a store of weights that serves up to capacity loads at full speed;
// beyond that, each load takes proportionally longer.
type source struct {
	capacity int
	unloaded time.Duration
}

// loadTime returns how long one of n concurrent loads takes.
func (s source) loadTime(n int) time.Duration {
	return time.Duration(float64(s.unloaded) * max(1, float64(n)/float64(s.capacity)))
}

// converge feeds l the times of many changes and returns how many engines may load
// at once in the end.
func (s source) converge(l *loadLimiter, engines int, drain time.Duration) int {
	l.maxChanges(engines)
	for range 200 {
		l.record(drain, s.loadTime(l.maxLoads))
	}
	return l.maxLoads
}

// load feeds l the times of n changes.
func (s source) load(l *loadLimiter, n int) {
	for range n {
		l.record(time.Second, s.loadTime(l.maxLoads))
	}
}

var _ = DescribeTable("the limit of loads adapts to the capacity of the source", func(capacity, engines int) {
	loads := source{capacity, 2 * time.Second}.converge(&loadLimiter{}, engines, time.Second)
	Expect(loads).To(And(BeNumerically(">=", min(capacity, minLoads)), BeNumerically("<=", 2*capacity)))
	Expect(source{capacity, 1}.loadTime(loads)).To(BeNumerically("<=", slowedRatio+0.5))
},
	Entry("capacity 2, 12 engines", 2, 12),
	Entry("capacity 3, 18 engines", 3, 18),
	Entry("capacity 6, 12 engines", 6, 12),
	Entry("capacity 10, 12 engines", 10, 12),
	Entry("capacity 28, 140 engines", 28, 140),
)

var _ = Describe("loadLimiter", func() {
	It("lets at most as many engines drain as load, however long requests take", func() {
		l := &loadLimiter{maxLoads: 2}
		l.record(10*time.Second, 2*time.Second)
		Expect(l.maxChanges(12)).To(Equal(4))
	})

	It("lets fewer engines drain when requests end soon", func() {
		l := &loadLimiter{maxLoads: 4}
		l.record(500*time.Millisecond, 2*time.Second)
		Expect(l.maxChanges(24)).To(Equal(5))
	})

	// One short load made all later ones count as slowed: the limit fell to 2 for good
	// (docs/incidents/loads-at-once-stay-low.md).
	It("keeps its limit if one load is short among loads of different times", func() {
		rnd := rand.New(rand.NewPCG(1, 1))
		l := &loadLimiter{}
		l.maxChanges(manyEngines)
		first := l.maxLoads
		times := between(rnd, 100*time.Millisecond, 570*time.Millisecond)
		for i := range 45 {
			load := times()
			if i == 10 {
				load = 65 * time.Millisecond
			}
			l.record(100*time.Millisecond, load)
		}
		times = between(rnd, 300*time.Millisecond, 470*time.Millisecond)
		for range manyEngines {
			l.record(100*time.Millisecond, times())
		}
		Expect(l.maxLoads).To(BeNumerically(">=", first))
	})

	// A limit that was lowered must not stay low.
	It("rises again when the source has recovered", func() {
		l := &loadLimiter{}
		l.maxChanges(manyEngines)
		first := l.maxLoads
		for range manyEngines {
			l.record(time.Second, 2*time.Second)
		}
		source{7, 2 * time.Second}.load(l, 2*manyEngines)
		Expect(l.maxLoads).To(BeNumerically("<=", 2*7))
		source{28, 2 * time.Second}.load(l, 2*manyEngines)
		Expect(l.maxLoads).To(BeNumerically(">=", first))
	})

	// Loads that take longer for another reason than their number kept the limit low for
	// good.
	It("rises again when larger weights take longer to load", func() {
		l := &loadLimiter{}
		l.maxChanges(manyEngines)
		first := l.maxLoads
		source{28, 400 * time.Millisecond}.load(l, manyEngines)
		source{28, time.Second}.load(l, 3*manyEngines)
		Expect(l.maxLoads).To(BeNumerically(">=", first))
	})

	// A limit far above what loads at once let the loads of later versions overload the
	// source before it came down.
	It("stays within the share of the engines that may change", func() {
		l := &loadLimiter{}
		for range manyEngines {
			l.maxChanges(12)
			l.record(time.Second, time.Second)
		}
		l.maxChanges(12)
		Expect(l.maxLoads).To(Equal(maxChanging(12)))
	})

	// The limit did not look at the time left for the change.
	It("tells how many engines must change at once for the change to end in time", func() {
		l := &loadLimiter{}
		l.record(600*time.Millisecond-startDelay, 400*time.Millisecond)
		Expect(l.inTime(nil)).To(BeZero())
		Expect(l.inTime([]time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second})).To(Equal(1))
		Expect(l.inTime([]time.Duration{time.Second, time.Second, 10 * time.Second})).To(Equal(2))
	})

	// More engines than the source can serve would only be out of service for longer.
	It("asks for no engines to change in time while loads are slowed", func() {
		l := &loadLimiter{}
		l.maxChanges(manyEngines)
		source{28, 2 * time.Second}.load(l, manyEngines)
		left := []time.Duration{time.Second, time.Second}
		Expect(l.inTime(left)).To(BeNumerically(">", 0))
		for range 10 {
			l.record(time.Second, 4*time.Second)
		}
		Expect(l.inTime(left)).To(BeZero())
	})

	It("ignores a load that was not observed", func() {
		l := &loadLimiter{maxLoads: 2}
		l.record(0, 0)
		Expect(*l).To(Equal(loadLimiter{maxLoads: 2}))
	})
})

var _ = It("marks the live engines with the oldest weights as next, a share of each model", func() {
	engine := func(id hbs.EndpointID, model hbs.ModelName, weights hbs.WeightsVersion, state hbs.EndpointState) hbs.Endpoint {
		return hbs.Endpoint{ID: id, Kind: hbs.KindEngine, Model: model, Weights: weights, State: state}
	}
	es := []hbs.Endpoint{
		engine("a", "m", "2", hbs.StateLive), engine("b", "m", "1", hbs.StateDraining), engine("c", "m", "1", hbs.StateLive),
		engine("d", "m", "2", hbs.StateLive), engine("e", "m", "3", hbs.StateLive), engine("f", "m", "2", hbs.StateLive),
		engine("g", "n", "1", hbs.StateLive), engine("h", "o", "", hbs.StateLive), engine("i", "m", "1", hbs.StateLeaving),
	}
	target := map[hbs.ModelName]int64{"m": 3, "n": 2, "o": 2}
	rollouts := Rollouts(es, func(m hbs.ModelName) int64 { return target[m] })
	// Six engines of m are not leaving, so three of them may change at once.
	Expect(rollouts).To(Equal(map[hbs.EndpointID]hbs.Rollout{
		"c": hbs.RolloutNext, "a": hbs.RolloutNext, "d": hbs.RolloutNext, "f": hbs.RolloutOutdated, "g": hbs.RolloutNext,
	}))
})
