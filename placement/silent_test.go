package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Load pattern: one of two replicas of a plain service accepts requests and then
// sends nothing, or bytes that are no response, until each deadline has passed.
var _ = Describe("a replica that lets deadlines pass", func() {
	const (
		requests  = 40
		deadline  = 4 * time.Second
		unhealthy = hbs.EndpointID("engine-000")
	)

	services := func() *directory {
		d := newDirectory(2)
		d.edit(func(r *hbs.Roster) {
			for i := range r.Endpoints {
				e := &r.Endpoints[i]
				e.Kind, e.Model, e.Weights, e.Service, e.Domain = hbs.KindService, "", "", "jobs", "a"
			}
		})
		return d
	}

	// play sends requests one after another. The unhealthy replica ends each with
	// result. It returns the requests that it got.
	play := func(result hbs.AttemptResult) (got int) {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			p := newPlacer(services(), "a")
			for range requests {
				req := &hbs.Request{ID: "r", Workspace: "bakery", Service: "jobs"}
				placed := mustPlace(g, p, req)
				if placed.Endpoint.ID != unhealthy {
					time.Sleep(20 * time.Millisecond)
					p.Finish(&placed, hbs.AttemptResult{End: hbs.EndComplete, FirstToken: 20 * time.Millisecond, Duration: 20 * time.Millisecond, CachedTokens: -1})
					continue
				}
				got++
				time.Sleep(result.Duration)
				p.Finish(&placed, result)
			}
		})
		return got
	}

	It("gets few more requests", func() {
		got := play(hbs.AttemptResult{End: hbs.EndExpired, Duration: deadline, CachedTokens: -1})
		Expect(got).To(BeNumerically("<=", requests/8))
	})

	It("is not avoided for requests that reached it shortly before their deadline", func() {
		brief := play(hbs.AttemptResult{End: hbs.EndExpired, Duration: time.Millisecond, CachedTokens: -1})
		Expect(brief).To(Equal(play(hbs.AttemptResult{End: hbs.EndCanceled, Duration: time.Millisecond, CachedTokens: -1})))
	})
})
