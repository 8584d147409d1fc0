package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Load pattern: two engines of a failure domain crash at the same time.
var _ = DescribeTable("two unreachable endpoints of a failure domain", func(domain hbs.DomainName, stays bool) {
	inVirtualTime(func(g Gomega) {
		f := newPlacer(newDirectory(9), "a")
		unreachable := map[hbs.EndpointID]bool{}
		var avoid []hbs.EndpointID
		for len(unreachable) < 2 {
			p := mustPlace(g, f, request(1), avoid...)
			end := hbs.EndCanceled
			if p.Endpoint.Domain == domain {
				unreachable[p.Endpoint.ID] = true
				end = hbs.EndUnreached
			}
			avoid = append(avoid, p.Endpoint.ID)
			f.Finish(&p, hbs.AttemptResult{End: end, CachedTokens: -1})
		}
		used := false
		for i := range 100 {
			p := mustPlace(g, f, request(hbs.LevelKey(i)))
			used = used || p.Endpoint.Domain == domain
			f.Finish(&p, hbs.AttemptResult{End: hbs.EndCanceled, CachedTokens: -1})
		}
		g.Expect(used).To(Equal(stays))
	})
},
	Entry("of another domain mean that it is partitioned off", hbs.DomainName("b"), false),
	Entry("of the own domain don't keep its other endpoints from work", hbs.DomainName("a"), true),
)
