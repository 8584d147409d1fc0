package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The load is that of a calm day: streams run on each engine, and one engine's
// events come four times as far apart for a moment, while it computes prompts of
// other instances or shares its machine.
var _ = Describe("the last gap of streams", func() {
	const usual = 25 * time.Millisecond

	// given returns how many of 30 new prompts endpoint slow gets, after its
	// streams' gap was so long and then so much time has passed.
	given := func(g Gomega, gap, since time.Duration) (n int) {
		f := newFleet(newDirectory(6), "a")
		streams := map[hbs.EndpointID]hbs.Placement{}
		for i := 0; len(streams) < 6; i++ {
			p := mustPlace(g, f, request(hbs.LevelKey(i)))
			f.FirstToken(&p, 50*time.Millisecond, 0)
			streams[p.Endpoint.ID] = p
		}
		slow := newDirectory(6).roster.Endpoints[0].ID
		tell := func(of time.Duration) {
			for id, p := range streams {
				if id == slow {
					f.Gap(&p, of)
					continue
				}
				f.Gap(&p, usual)
			}
			time.Sleep(usual)
		}
		for range 40 {
			tell(usual)
		}
		tell(gap)
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
		bubble(func(g Gomega) {
			n := given(g, gap, since)
			g.Expect(n).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		})
	},
		// A fair share would be 5.
		Entry("four times as long", 4*usual, time.Duration(0), 0, 0),
		Entry("a while ago", 4*usual, time.Second, 2, 10),
		Entry("a little longer than usual", usual*5/4, time.Duration(0), 2, 10),
	)
})
