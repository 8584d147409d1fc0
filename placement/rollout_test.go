package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The load: named weights roll through the engines. Answers with older ones are
// worth less, and each engine lets its running answers end before it changes, so
// that long ones at the next engines hold the rollout up.
var _ = Describe("engines with older weights (rule 10)", func() {
	const home = hbs.LevelKey(7)

	It("get no answer while others are about as good", func() {
		bubble(func(g Gomega) {
			d := newDirectory(6)
			f := newFleet(d, "a")
			d.edit(func(r *hbs.Roster) {
				for i := range r.Endpoints[1:] {
					r.Endpoints[1+i].Rollout = hbs.RolloutBehind
				}
			})
			for range 6 {
				p := mustPlace(g, f, request())
				g.Expect(p.Endpoint.ID).To(Equal(d.roster.Endpoints[0].ID))
				complete(f, p, "1", 0)
			}
		})
	})

	It("get answers for prompts that they have, and no long ones when they are next", func() {
		bubble(func(g Gomega) {
			d := newDirectory(6)
			f := newFleet(d, "a")
			first := mustPlace(g, f, request(home))
			complete(f, first, "1", 0)
			d.edit(func(r *hbs.Roster) { find(r, first).Rollout = hbs.RolloutNext })

			short := request(home)
			short.ExpectedTokens = 1
			p := mustPlace(g, f, short)
			g.Expect(p.Endpoint.ID).To(Equal(first.Endpoint.ID))
			complete(f, p, "1", 1000)

			long := request(home)
			long.ExpectedTokens = 2000
			q := mustPlace(g, f, long)
			g.Expect(q.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		})
	})

	It("get long answers too where all are next", func() {
		bubble(func(g Gomega) {
			d := newDirectory(6)
			f := newFleet(d, "a")
			d.edit(func(r *hbs.Roster) {
				for i := range r.Endpoints {
					r.Endpoints[i].Rollout = hbs.RolloutNext
				}
			})
			long := request(home)
			long.ExpectedTokens = 2000
			mustPlace(g, f, long)
		})
	})
})
