package heat_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/heat"
)

func TestHeat(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "heat")
}

var start = time.Unix(1_000_000, 0)

func levels(keys ...hbs.LevelKey) (list []hbs.Level) {
	for i, key := range keys {
		list = append(list, hbs.Level{Key: key, Tokens: 100 * (i + 1)})
	}
	return list
}

// load adds rate requests per second for the duration d, each with the prompt
// for its index and work as decoding time.
func load(t *heat.Tracker, rate int, work time.Duration, from, d time.Duration, prompt func(int) []hbs.Level) {
	n := int(d.Seconds() * float64(rate))
	for i := range n {
		now := start.Add(from + time.Duration(i)*time.Second/time.Duration(rate))
		t.Record(prompt(i), heat.Work{Decode: work}, now)
	}
}

var _ = Describe("Tracker", func() {
	It("measures the demand and resizes sets without flapping (rules 1 and 4)", func() {
		t := heat.NewTracker()
		now := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
		load(t, 80, 50*time.Millisecond, 0, 40*time.Second, func(int) []hbs.Level { return levels(1) })
		Expect(t.Load(1, now(40))).To(BeNumerically("~", 4, 0.2))
		Expect(t.Sizes(levels(1), now(40), nil)).To(Equal([]int{4}))
		// The set keeps its size while the demand decreases slightly, and shrinks to
		// one endpoint when the demand has nearly vanished.
		Expect(t.Sizes(levels(1), now(42), nil)).To(Equal([]int{4}))
		Expect(t.Sizes(levels(1), now(70), nil)).To(Equal([]int{1}))
	})

	It("gives a run one size, and a smaller one to levels where prompts diverge (rule 3)", func() {
		t := heat.NewTracker()
		load(t, 80, 50*time.Millisecond, 0, 40*time.Second, func(i int) []hbs.Level {
			return levels(1, 2, 3, hbs.LevelKey(1000+i%100))
		})
		Expect(t.Sizes(levels(1, 2, 3, 1000), start.Add(40*time.Second), nil)).To(Equal([]int{4, 4, 4, 1}))
	})

	It("takes an unseen level below one known only from peers as part of its run (rule 5)", func() {
		t := heat.NewTracker()
		t.SetPeer("peer", []heat.Demand{{Key: 1, Load: 4000}}, start)
		Expect(t.Sizes(levels(1, 2), start, nil)).To(Equal([]int{4, 4}))
		Expect(t.Sizes(levels(8, 9), start, nil)).To(Equal([]int{1, 1}))
	})

	It("replaces a peer's digest and removes an expired one (rule 1)", func() {
		t := heat.NewTracker()
		t.SetPeer("peer", []heat.Demand{{Key: 1, Load: 5000}}, start)
		t.SetPeer("peer", []heat.Demand{{Key: 1, Load: 1000}}, start)
		Expect(t.Load(1, start)).To(Equal(1.0))
		t.Expire(start.Add(time.Minute))
		Expect(t.Load(1, start.Add(time.Minute))).To(BeZero())
	})

	It("does not count the computation of a prefix that was seen before (rule 2)", func() {
		t := heat.NewTracker()
		w := heat.Work{PerToken: time.Millisecond, Prompt: 1000}
		long := []hbs.Level{{Key: 1, Tokens: 900}, {Key: 2, Tokens: 1000}}
		t.Record(long, w, start)
		before := t.Load(1, start)
		t.Record([]hbs.Level{{Key: 1, Tokens: 900}, {Key: 3, Tokens: 1000}}, w, start)
		Expect(t.Load(1, start) - before).To(BeNumerically("~", before/10, before/100))
	})

	It("limits the digest to the requested number of runs and refuses an impossible demand", func() {
		t := heat.NewTracker()
		for key := hbs.LevelKey(1); key < 100; key++ {
			t.Record(levels(key), heat.Work{Decode: time.Second}, start)
		}
		Expect(t.Digest(10, start)).To(HaveLen(10))
		Expect(heat.Demand{Load: 1 << 31}.Validate()).To(HaveOccurred())
	})
})
