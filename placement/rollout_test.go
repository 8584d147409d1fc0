package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// During a rollout the engines change to new weights one after another.
// Responses with older weights are worth less, and each engine lets its running
// requests end before it changes, so long responses on the engines that are next
// delay the rollout.
var _ = Describe("engines with older weights (rule 10)", func() {
	const sharedKey = hbs.LevelKey(7)

	It("get no requests while others cost about the same", func() {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(6)
			f := newPlacer(d, "a")
			d.edit(func(r *hbs.Roster) {
				for i := range r.Endpoints[1:] {
					r.Endpoints[1+i].Rollout = hbs.RolloutOutdated
				}
			})
			for range 6 {
				p := mustPlace(g, f, request())
				g.Expect(p.Endpoint.ID).To(Equal(d.roster.Endpoints[0].ID))
				complete(f, p, "1", 0)
			}
		})
	})

	It("get requests with short responses for prompts that they have cached, but none with long ones when they are next", func() {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(6)
			f := newPlacer(d, "a")
			first := mustPlace(g, f, request(sharedKey))
			complete(f, first, "1", 0)
			d.edit(func(r *hbs.Roster) { findEndpoint(r, first).Rollout = hbs.RolloutNext })

			short := request(sharedKey)
			short.ExpectedTokens = 1
			p := mustPlace(g, f, short)
			g.Expect(p.Endpoint.ID).To(Equal(first.Endpoint.ID))
			complete(f, p, "1", 1000)

			long := request(sharedKey)
			long.ExpectedTokens = 2000
			q := mustPlace(g, f, long)
			g.Expect(q.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		})
	})

	It("get requests with long responses when all are next", func() {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(6)
			f := newPlacer(d, "a")
			d.edit(func(r *hbs.Roster) {
				for i := range r.Endpoints {
					r.Endpoints[i].Rollout = hbs.RolloutNext
				}
			})
			long := request(sharedKey)
			long.ExpectedTokens = 2000
			mustPlace(g, f, long)
		})
	})
})
