package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Streams run on all engines. For a moment the events of one engine are four
// times as far apart as usual, as when it computes prompts of other instances
// or shares its machine with other processes.
var _ = Describe("the last gap between events of a stream", func() {
	const usual = 25 * time.Millisecond

	// placedOnSlow returns how many of 30 new prompts go to the endpoint slow
	// when its streams had one gap of the given length and the time since has
	// passed after it.
	placedOnSlow := func(g Gomega, gap, since time.Duration) (n int) {
		f := newPlacer(newDirectory(6), "a")
		streams := map[hbs.EndpointID]hbs.Placement{}
		for i := 0; len(streams) < 6; i++ {
			p := mustPlace(g, f, request(hbs.LevelKey(i)))
			f.FirstToken(&p, 50*time.Millisecond, 0)
			streams[p.Endpoint.ID] = p
		}
		slow := newDirectory(6).roster.Endpoints[0].ID
		reportGaps := func(slowGap time.Duration) {
			for id, p := range streams {
				if id == slow {
					f.ObserveGap(&p, slowGap)
					continue
				}
				f.ObserveGap(&p, usual)
			}
			time.Sleep(usual)
		}
		for range 40 {
			reportGaps(usual)
		}
		reportGaps(gap)
		time.Sleep(since)
		for i := range 30 {
			p := mustPlace(g, f, request(hbs.LevelKey(1000+i)))
			if p.Endpoint.ID == slow {
				n++
			}
			complete(f, p, "1", 0)
		}
		return n
	}

	DescribeTable("moves new prompts off an endpoint for a moment (rule 11)", func(gap, since time.Duration, least, most int) {
		inVirtualTime(func(g Gomega) {
			n := placedOnSlow(g, gap, since)
			g.Expect(n).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		})
	},
		// An even share would be 5.
		Entry("four times as long", 4*usual, time.Duration(0), 0, 0),
		Entry("a while ago", 4*usual, time.Second, 2, 10),
		Entry("a little longer than usual", usual*5/4, time.Duration(0), 2, 10),
	)
})
