package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The load: named weights roll through the engines, and each lets its running
// answers end before it changes. Long answers at the next ones hold the rollout up.
var _ = Describe("engines that are about to change their weights (rule 10)", func() {
	const home = hbs.LevelKey(7)

	It("get no long answers while others are about as good, but short ones whose prompts they have", func() {
		bubble(func(g Gomega) {
			d := newDirectory(6)
			f := newFleet(d, "a")
			first := mustPlace(g, f, request(home))
			complete(f, first, "1", 0)
			d.edit(func(r *hbs.Roster) { find(r, first).Due = true })

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

	It("get long answers too where all are about to change", func() {
		bubble(func(g Gomega) {
			d := newDirectory(6)
			f := newFleet(d, "a")
			d.edit(func(r *hbs.Roster) {
				for i := range r.Endpoints {
					r.Endpoints[i].Due = true
				}
			})
			long := request(home)
			long.ExpectedTokens = 2000
			mustPlace(g, f, long)
		})
	})
})
