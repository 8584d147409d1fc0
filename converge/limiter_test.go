package converge

import (
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
