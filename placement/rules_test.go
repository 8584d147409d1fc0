package placement_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/placement"
)

// inVirtualTime runs body in a synctest bubble.
func inVirtualTime(body func(g Gomega)) {
	synctest.Test(suiteT, func(t *testing.T) { body(NewWithT(t)) })
}

var _ = Describe("Placer", func() {
	It("sends a prefix back to where it was computed (rules 1 and 3)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(12), "a")
			p := mustPlace(g, f, request(1, 2, 3))
			complete(f, p, "1", 0)
			q := mustPlace(g, f, request(1, 2, 4))
			g.Expect(q.Endpoint.ID).To(Equal(p.Endpoint.ID))
			g.Expect(q.CachedTokens).To(Equal(2000))
		})
	})

	It("places alike on instances that have exchanged nothing (rule 1)", func() {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(12)
			a, b := newPlacer(d, "a"), newPlacer(d, "b")
			for key := hbs.LevelKey(1); key < 50; key++ {
				p, q := mustPlace(g, a, request(key*77)), mustPlace(g, b, request(key*77))
				complete(a, p, "1", 0)
				complete(b, q, "1", 0)
				g.Expect(q.Endpoint.ID).To(Equal(p.Endpoint.ID))
			}
		})
	})

	DescribeTable("drops beliefs of earlier cache generations (rule 3)", func(end func(*placement.Placer, *directory, hbs.Placement)) {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(6)
			f := newPlacer(d, "a")
			p := mustPlace(g, f, request(1, 2))
			complete(f, p, "1", 0)
			g.Expect(mustPlace(g, f, request(1, 2)).CachedTokens).To(Equal(2000))
			end(f, d, p)
			g.Expect(mustPlace(g, f, request(1, 2)).CachedTokens).To(BeZero())
		})
	},
		Entry("a response of a new incarnation", func(f *placement.Placer, _ *directory, p hbs.Placement) {
			f.Finish(&p, hbs.AttemptResult{})
			q, _ := f.Place(request(9), allExcept(p))
			complete(f, q, "2", 0)
		}),
		Entry("a new incarnation in the roster", func(_ *placement.Placer, d *directory, p hbs.Placement) {
			d.edit(func(r *hbs.Roster) { findEndpoint(r, p).Incarnation = "2" })
		}),
		Entry("new weights in the roster", func(_ *placement.Placer, d *directory, p hbs.Placement) {
			d.edit(func(r *hbs.Roster) { findEndpoint(r, p).Weights = "w2" })
		}),
		Entry("the endpoint left and came back", func(f *placement.Placer, d *directory, p hbs.Placement) {
			whole := d.roster
			d.edit(func(r *hbs.Roster) { r.Endpoints = nil })
			_, _ = f.Place(request(9), nil)
			d.edit(func(r *hbs.Roster) { r.Endpoints = whole.Endpoints })
		}),
	)

	It("ignores a late answer of an earlier incarnation (rule 3)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(1), "a")
			late := mustPlace(g, f, request(1, 2))
			p := mustPlace(g, f, request(5))
			complete(f, p, "2", 0)
			complete(f, late, "1", 2000)
			g.Expect(mustPlace(g, f, request(1, 2)).CachedTokens).To(BeZero())
		})
	})

	It("handles the end of an attempt on an endpoint that has left", func() {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(2)
			f := newPlacer(d, "a")
			late := mustPlace(g, f, request(1, 2))
			d.edit(func(r *hbs.Roster) {
				r.Endpoints = []hbs.Endpoint{r.Endpoints[0], r.Endpoints[1]}
				*findEndpoint(r, late) = newDirectory(3).roster.Endpoints[2]
			})
			mustPlace(g, f, request(9))
			complete(f, late, "1", 0)
			g.Expect(mustPlace(g, f, request(1, 2)).CachedTokens).To(BeZero())
		})
	})

	It("lets favoured requests overtake those that wait at an endpoint (rule 9)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(1), "a")
			err := error(nil)
			for err == nil {
				_, err = f.Place(request(), nil)
			}
			g.Expect(err).To(MatchError(hbs.ErrFull))
			favoured := request()
			favoured.Favoured = true
			g.Expect(mustPlace(g, f, favoured).Wait).To(BeZero())
		})
	})

	It("sends favoured requests where they meet their deadline (rule 9)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(2), "a")
			first := mustPlace(g, f, request(1, 2))
			complete(f, first, "1", 0)
			r := request(1, 2, 3)
			r.Favoured = true
			for range 8 {
				g.Expect(mustPlace(g, f, r).Endpoint.ID).To(Equal(first.Endpoint.ID))
			}
			r.Deadline = time.Now().Add(mustPlace(g, f, r).FirstToken + 200*time.Millisecond)
			g.Expect(mustPlace(g, f, r).Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		})
	})

	It("never places on other weights, a model's other adapter or a leaving endpoint", func() {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(3)
			d.edit(func(r *hbs.Roster) {
				r.Endpoints[0].Weights = "w0"
				r.Endpoints[1].State = hbs.StateLeaving
				r.Endpoints[2].State = hbs.StateDraining
			})
			_, err := newPlacer(d, "a").Place(request(1), nil)
			g.Expect(err).To(MatchError(hbs.ErrNoEndpoint))
			req := request(1)
			req.Adapter = "cowl"
			_, err = newPlacer(newDirectory(3), "a").Place(req, nil)
			g.Expect(err).To(MatchError(hbs.ErrNoEndpoint))
		})
	})

	// Guards against streams that begin at an endpoint whose software version isn't known,
	// and go on at any (ORDER).
	DescribeTable("places by the version of the endpoints' software", func(want hbs.SoftwareVersion, allowed ...int) {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(3)
			var ids []hbs.EndpointID
			d.edit(func(r *hbs.Roster) {
				r.Endpoints[0].Software, r.Endpoints[1].Software = "v1", "v2"
				for _, e := range r.Endpoints {
					ids = append(ids, e.ID)
				}
			})
			f := newPlacer(d, "a")
			placed := map[hbs.EndpointID]bool{}
			for key := hbs.LevelKey(1); key < 40; key++ {
				req := request(key * 77)
				req.Software = want
				p := mustPlace(g, f, req)
				complete(f, p, "1", 0)
				placed[p.Endpoint.ID] = true
			}
			for i, id := range ids {
				g.Expect(placed[id]).To(Equal(slices.Contains(allowed, i)), "endpoint %d", i)
			}
		})
	},
		Entry("one", hbs.SoftwareVersion("v1"), 0),
		Entry("all that are known", hbs.AnySoftware, 0, 1),
		Entry("all, also unknown ones", hbs.SoftwareVersion(""), 0, 1, 2),
	)

	It("drops beliefs that are far older than the eviction age", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(3), "a")
			complete(f, mustPlace(g, f, request(1, 2)), "1", 0)
			time.Sleep(10 * time.Minute)
			g.Expect(mustPlace(g, f, request(1, 2)).CachedTokens).To(BeZero())
		})
	})

	It("returns ErrFull when all slots are taken, and places again when one is free (rule 7)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(2), "a")
			var placed []hbs.Placement
			for {
				req := request()
				req.PromptTokens = 1
				p, err := f.Place(req, nil)
				if err != nil {
					g.Expect(err).To(MatchError(hbs.ErrFull))
					break
				}
				placed = append(placed, p)
			}
			g.Expect(placed).To(HaveLen(2 * 8))
			complete(f, placed[0], "1", -1)
			mustPlace(g, f, request())
		})
	})

	It("keeps short work off an engine with a long prefill queued (rule 4)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(4), "a")
			long := request(1)
			long.Levels[0].Tokens, long.PromptTokens = 30_000, 30_000
			p := mustPlace(g, f, long)
			for key := hbs.LevelKey(100); key < 120; key++ {
				short := request(key)
				short.Levels[0].Tokens, short.PromptTokens = 50, 50
				q := mustPlace(g, f, short)
				g.Expect(q.Endpoint.ID).NotTo(Equal(p.Endpoint.ID))
				complete(f, q, "1", 0)
			}
		})
	})

	It("spreads a very hot prefix over several endpoints (rule 2)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(12), "a")
			used := map[hbs.EndpointID]bool{}
			var open []hbs.Placement
			cached := 0
			for i := range 400 {
				p := mustPlace(g, f, request(1, hbs.LevelKey(1000+i)))
				used[p.Endpoint.ID] = true
				cached += p.CachedTokens
				open = append(open, p)
				time.Sleep(10 * time.Millisecond)
				if len(open) > 20 {
					complete(f, open[0], "1", 1000)
					open = open[1:]
				}
			}
			g.Expect(len(used)).To(BeNumerically(">=", 3))
			g.Expect(cached).To(BeNumerically(">", 380*1000))
		})
	})

	It("avoids a domain that is partitioned off, and uses it again later (rule 8)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(12), "a")
			unreachable := func(p hbs.Placement) bool { return p.Endpoint.Domain == "b" }
			tries := 0
			for key := hbs.LevelKey(1); key < 200; key++ {
				p := mustPlace(g, f, request(key*7))
				if !unreachable(p) {
					complete(f, p, "1", 0)
					continue
				}
				tries++
				f.Finish(&p, hbs.AttemptResult{End: hbs.EndUnreached, CachedTokens: -1})
			}
			g.Expect(tries).To(BeNumerically("<=", 2))
			time.Sleep(10 * time.Second)
			back := false
			for key := hbs.LevelKey(1); key < 200; key++ {
				p := mustPlace(g, f, request(key*7))
				back = back || unreachable(p)
				complete(f, p, "1", 0)
			}
			g.Expect(back).To(BeTrue())
		})
	})

	DescribeTable("scopes", func(scope placement.Scope, staffed bool, want []hbs.DomainName) {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(12)
			if !staffed {
				d.edit(func(r *hbs.Roster) { r.Instances = r.Instances[:2] })
			}
			f := newPlacer(d, "a")
			f.Scope = scope
			used := map[hbs.DomainName]bool{}
			for key := hbs.LevelKey(1); key < 100; key++ {
				p := mustPlace(g, f, request(key*7))
				used[p.Endpoint.Domain] = true
				complete(f, p, "1", 0)
			}
			g.Expect(used).To(HaveLen(len(want)))
			for _, name := range want {
				g.Expect(used).To(HaveKey(name))
			}
		})
	},
		Entry("the instance's domain", placement.ScopeDomain, true, []hbs.DomainName{"a"}),
		Entry("the instance's domain and one without instances", placement.ScopeDomain, false, []hbs.DomainName{"a", "c"}),
		Entry("region", placement.ScopeRegion, true, []hbs.DomainName{"a", "b", "c"}),
		Entry("home domain", placement.ScopeHome, true, []hbs.DomainName{"a", "b", "c"}),
	)

	It("sends less to a straggler, detected from attempts without a first token (rule 5)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(6), "a")
			slow := hbs.EndpointID("engine-002")
			late := 0
			for i := range 600 {
				req := request(hbs.LevelKey(1000 + i))
				p := mustPlace(g, f, req)
				time.Sleep(10 * time.Millisecond)
				if p.Endpoint.ID == slow {
					if i > 150 {
						late++
					}
					continue
				}
				complete(f, p, "1", 0)
			}
			// An even share of the last 450 would be 75.
			g.Expect(late).To(BeNumerically("<", 15))
		})
	})

	It("sends less to an endpoint whose streams have slowed (rule 5)", func() {
		inVirtualTime(func(g Gomega) {
			f := newPlacer(newDirectory(6), "a")
			slow := hbs.EndpointID("engine-002")
			streams := map[hbs.EndpointID]hbs.Placement{}
			for i := 0; len(streams) < 6; i++ {
				p := mustPlace(g, f, request(hbs.LevelKey(i)))
				f.FirstToken(&p, 50*time.Millisecond, -1)
				streams[p.Endpoint.ID] = p
			}
			for range 6 {
				for id, p := range streams {
					gap := 25 * time.Millisecond
					if id == slow {
						gap *= 5
					}
					f.ObserveMinGap(&p, gap)
				}
			}
			time.Sleep(100 * time.Millisecond)
			placed := 0
			for i := range 30 {
				p := mustPlace(g, f, request(hbs.LevelKey(1000+i)))
				if p.Endpoint.ID == slow {
					placed++
				}
				complete(f, p, "1", 0)
			}
			// An even share would be 5.
			g.Expect(placed).To(BeNumerically("<=", 1))
		})
	})
})

// allExcept returns the IDs of the endpoints of newDirectory(12) but that of p.
func allExcept(p hbs.Placement) (list []hbs.EndpointID) {
	for _, e := range newDirectory(12).roster.Endpoints {
		if e.ID != p.Endpoint.ID {
			list = append(list, e.ID)
		}
	}
	return list
}

func findEndpoint(r *hbs.Roster, p hbs.Placement) *hbs.Endpoint {
	for i := range r.Endpoints {
		if r.Endpoints[i].ID == p.Endpoint.ID {
			return &r.Endpoints[i]
		}
	}
	return nil
}
