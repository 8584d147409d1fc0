package belief_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/belief"
)

func TestBelief(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "belief")
}

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

var _ = Describe("Table", func() {
	It("finds the latest Put of each key and generation and no dropped entry, in any order (rule 3)", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := belief.NewTable(1<<12, start)
			type pair struct {
				key        hbs.LevelKey
				generation belief.Generation
			}
			want := map[pair]time.Duration{}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				p := pair{hbs.LevelKey(rapid.Uint64Range(1, 5).Draw(t, "key") << 40), belief.Generation(rapid.IntRange(1, 5).Draw(t, "generation"))}
				at := time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")) * time.Second
				if rapid.Bool().Draw(t, "drop") {
					table.Drop(p.key, p.generation)
					delete(want, p)
					continue
				}
				table.Put(p.key, p.generation, after(at))
				want[p] = at
			}
			end := 2000 * time.Second
			for key := hbs.LevelKey(1 << 40); key <= 5<<40; key += 1 << 40 {
				for _, e := range table.Find(key, after(end), nil) {
					if at, ok := want[pair{key, e.Generation}]; !ok || at+e.Idle != end {
						t.Fatalf("key %x on generation %d: idle %v, want put at %v (%v)", key, e.Generation, e.Idle, at, ok)
					}
					delete(want, pair{key, e.Generation})
				}
			}
			if len(want) > 0 {
				t.Fatalf("not found: %v", want)
			}
		})
	})

	It("replaces the least recently used entry of a full set without growing (rules 1 and 3)", func() {
		table := belief.NewTable(32, start)
		size := table.Bytes()
		for generation := belief.Generation(1); generation <= 40; generation++ {
			table.Put(7, generation, after(time.Duration(generation)*time.Second))
		}
		Expect(table.Find(7, after(time.Minute), nil)).To(HaveLen(32))
		Expect(table.Find(7, after(time.Minute), nil)).NotTo(ContainElement(HaveField("Generation", belief.Generation(1))))
		Expect(table.Bytes()).To(Equal(size))
	})

	It("reuses the number of an ended generation only after a sweep (rule 4)", func() {
		var generations belief.Generations
		table := belief.NewTable(64, start)
		old := generations.Begin()
		table.Put(7, old, start)
		generations.End(old)
		Expect(generations.Begin()).NotTo(Equal(old))
		Expect(table.Sweep(start, generations.Ended)).To(BeZero())
		generations.Reclaim()
		Expect(generations.Begin()).To(Equal(old))
		Expect(table.Find(7, start, nil)).To(BeEmpty())
	})
})

var _ = Describe("Identity", func() {
	It("ignores a delayed report of an earlier incarnation (rule 4)", func() {
		var id belief.Identity
		id.Observe("1", "w1")
		began, current := id.Observe("2", "")
		Expect(began && current).To(BeTrue())
		began, current = id.Observe("1", "w0")
		Expect(began || current).To(BeFalse())
		Expect(id.Weights).To(Equal(hbs.WeightsVersion("w1")))
		began, _ = id.Observe("2", "w2")
		Expect(began).To(BeTrue())
	})
})

var _ = Describe("EvictionAge", func() {
	It("adapts the eviction age to observed evictions", func() {
		var a belief.EvictionAge
		Expect(a.Probability(20*time.Second, start)).To(Equal(1.0))
		for range 20 {
			a.ObserveEviction(4 * time.Second)
		}
		Expect(a.Probability(20*time.Second, start)).To(BeZero())
		Expect(a.Probability(time.Second, start)).To(Equal(1.0))
	})

	It("invalidates prefixes that may have been evicted while events were lost", func() {
		var a belief.EvictionAge
		a.EventsLost(after(time.Minute))
		Expect(a.Probability(31*time.Second, after(time.Minute))).To(BeZero())
		Expect(a.Probability(20*time.Second, after(time.Minute))).To(Equal(1.0))
	})
})

// BenchmarkTableTwoYearShare fills a table with one instance's load at the size
// planned for two years ahead: cache events of 10 of 333 engines, with 294,000
// cached blocks, and 55 requests per second of up to 96 prefix levels each, held
// for two minutes. 2^21 entries have enough capacity for both.
func BenchmarkTableTwoYearShare(b *testing.B) {
	const entries = 294_000 + 55*96*120
	b.ReportAllocs()
	var table *belief.Table
	remaining := 0
	for b.Loop() {
		table = belief.NewTable(1<<21, start)
		for i := range uint64(entries) {
			table.Put(hbs.LevelKey((i+1)*0x9e3779b97f4a7c15), belief.Generation(i%333+1), start)
		}
		remaining = table.Sweep(start, func(belief.Generation) bool { return false })
	}
	b.ReportMetric(float64(table.Bytes())/(1<<20), "MB")
	b.ReportMetric(float64(remaining)/entries, "kept/put")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*entries), "ns/put")
}
