package peer_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// engineAt stores the record of an engine in a domain, in that domain's region.
func (f *fleet) engineAt(k int, domain hbs.DomainName, weights hbs.WeightsVersion) hbs.EndpointID {
	id := hbs.EndpointID(fmt.Sprintf("e-%03d", k))
	f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, string(id), hbs.Endpoint{
		ID: id, Kind: hbs.KindEngine, Domain: domain, Region: f.region(domain), State: hbs.StateLive, Model: "m", Weights: weights, Slots: 8,
		Address: netip.MustParseAddrPort("10.9.0.1:80")})).To(Succeed())
	return id
}

// twoRegions starts today's domains, a and b in region r, c and d in q, with 20
// engines in each region, numbered in turn.
func (f *fleet) twoRegions(part func(i int) bool) {
	f.regions = map[hbs.DomainName]hbs.RegionName{"c": "q", "d": "q"}
	f.part = part
	f.change(0)
	f.rollRegions("v1")
	f.startToday()
}

// rollRegions changes the weights of all engines.
func (f *fleet) rollRegions(weights hbs.WeightsVersion) {
	for k := range 40 {
		f.engineAt(k, []hbs.DomainName{"a", "c", "b", "d"}[k%4], weights)
	}
}

// pulls returns how many pulls of n were answered.
func (n *node) pulls() int64 {
	return metrics.GetOrRegisterCounter("peer_pulls", n.metrics).Count()
}

// settled is the longest time for a first roster: the interval between two
// changes of the spares, as the platform lists its objects one after another.
const settled = 35 * time.Second

func parts(int) bool { return true }

// count returns how many endpoints of a region n's roster has with the weights.
func (n *node) count(region hbs.RegionName, weights hbs.WeightsVersion) (c int) {
	for _, e := range n.directory.Roster().Endpoints {
		if e.Region == region && e.Weights == weights {
			c++
		}
	}
	return c
}

// whole reports whether all nodes but those in except have their region's 20
// engines and 4 spares of the other with the weights.
func (f *fleet) whole(weights hbs.WeightsVersion, except ...*node) bool {
	for _, n := range f.nodes {
		if contains(except, n) {
			continue
		}
		own, other := hbs.RegionName("r"), hbs.RegionName("q")
		if n.directory.Self().Region == other {
			own, other = other, own
		}
		if n.count(own, weights) != 20 || n.count(other, "v1")+n.count(other, "v2") != 4 {
			return false
		}
	}
	return true
}

// inRegion reports whether all nodes of a region, and no other but as a spare,
// have the endpoint with the region.
func (f *fleet) inRegion(id hbs.EndpointID, region hbs.RegionName) bool {
	for _, n := range f.nodes {
		_, known := n.objects.Get(mirror.RegionKind(n.objects.Region), string(id))
		if known != (n.directory.Self().Region == region) {
			return false
		}
	}
	return true
}

var _ = Describe("instances that keep their own region's endpoints", func() {
	It("have them all, a few spares of the other region and the number of the rest", func() {
		inBubble(func(f *fleet) {
			f.twoRegions(parts)
			f.within(settled, "rosters", func() bool { return f.whole("v1") })
			for _, n := range f.nodes {
				f.within(settled, "the number of the rest", func() bool { return n.directory.Roster().Elsewhere["m"] == 16 })
			}
		})
	})

	It("have another region's spares when their own last endpoint is gone", func() {
		inBubble(func(f *fleet) {
			f.twoRegions(parts)
			f.within(settled, "rosters", func() bool { return f.whole("v1") })
			for k := range 40 {
				if k%2 == 0 {
					f.platform.Remove(hbs.ObjectEndpoint, fmt.Sprintf("e-%03d", k))
				}
			}
			f.within(9*time.Second, "the region's endpoints gone", func() bool {
				return f.nodes[0].count("r", "v1") == 0 && f.nodes[3].count("r", "v1") == 0
			})
			f.g.Expect(f.nodes[0].count("q", "v1")).To(Equal(4))
		})
	})

	It("keep the spares while their region is cut off from the other and the platform, and catch up", func() {
		inBubble(func(f *fleet) {
			f.twoRegions(parts)
			f.within(settled, "rosters", func() bool { return f.whole("v1") })
			ends := [][2]hbs.DomainName{{"a", "c"}, {"a", "d"}, {"b", "c"}, {"b", "d"}, {"c", platformDomain}, {"d", platformDomain}}
			for _, e := range ends {
				f.fabric.Cut(e[0], e[1])
			}
			f.rollRegions("v2")
			cut := f.nodes[4:]
			f.within(9*time.Second, "the weights in the region that is not cut off", func() bool { return f.whole("v2", cut...) })
			time.Sleep(6 * time.Minute)
			for _, n := range cut {
				f.g.Expect(n.count("q", "v1")).To(Equal(20))
				f.g.Expect(n.count("r", "v1")).To(Equal(4))
			}
			for _, e := range ends {
				f.fabric.Heal(e[0], e[1])
			}
			f.within(9*time.Second, "healed", func() bool { return f.whole("v2") })
		})
	})

	It("know all of a burst although the watchers are killed in the middle of it", func() {
		inBubble(func(f *fleet) {
			f.twoRegions(parts)
			f.within(settled, "rosters", func() bool { return f.whole("v1") })
			for k := range 20 {
				f.engineAt(k, []hbs.DomainName{"a", "c", "b", "d"}[k%4], "v2")
				time.Sleep(20 * time.Millisecond)
			}
			killed := f.watchers("b")[:1]
			killed = append(killed, f.nodes[4])
			for _, n := range killed {
				f.kill(n)
			}
			f.rollRegions("v2")
			f.within(9*time.Second, "the second weights", func() bool { return f.whole("v2", killed...) })
		})
	})

	It("lose an endpoint that moves to another region and have it back when it returns", func() {
		inBubble(func(f *fleet) {
			f.twoRegions(parts)
			f.within(settled, "rosters", func() bool { return f.whole("v1") })
			f.g.Expect(f.inRegion("e-000", "r")).To(BeTrue())
			f.fabric.Cut("b", platformDomain)
			f.engineAt(0, "c", "v1")
			f.within(9*time.Second, "moved", func() bool { return f.inRegion("e-000", "q") })
			f.engineAt(0, "b", "v1")
			f.within(9*time.Second, "returned", func() bool { return f.inRegion("e-000", "r") })
		})
	})
})

var _ = Describe("an upgrade to keeping the own region's endpoints", func() {
	// Of each domain with two instances one keeps all endpoints, as before.
	It("loses nothing while instances of both kinds run, and a cut-off one learns from peers", func() {
		inBubble(func(f *fleet) {
			f.twoRegions(func(i int) bool { return i%2 == 1 })
			known := func(weights hbs.WeightsVersion) func() bool {
				return func() bool {
					for i, n := range f.nodes {
						own, other := hbs.RegionName("r"), hbs.RegionName("q")
						if n.directory.Self().Region == other {
							own, other = other, own
						}
						if n.count(own, weights) != 20 || i%2 == 0 && n.count(other, weights) != 20 {
							return false
						}
					}
					return true
				}
			}
			f.within(9*time.Second, "the first weights", known("v1"))
			f.fabric.Cut("a", platformDomain)
			f.fabric.Cut("d", platformDomain)
			f.rollRegions("v2")
			f.within(9*time.Second, "the second weights", known("v2"))
		})
	})

	It("lets a domain that is cut off from the platform learn from one that keeps all", func() {
		inBubble(func(f *fleet) {
			f.part = func(i int) bool { return i >= 2 }
			f.seeds = append(f.seeds, peerAddress(2), peerAddress(3))
			f.change(0)
			f.roll(20, "v1", 0)
			for _, domain := range []hbs.DomainName{"a", "a", "b", "b"} {
				f.start(domain)
			}
			f.within(settled, "the first weights", func() bool { return f.rolled(20, "v1") })
			f.fabric.Cut("b", platformDomain)
			f.roll(20, "v2", 0)
			f.within(9*time.Second, "the second weights", func() bool { return f.rolled(20, "v2") })
		})
	})

	It("adds no byte while all instances keep all endpoints", func() {
		quiet := func(part func(int) bool) (bytes int64) {
			inBubble(func(f *fleet) {
				f.part = part
				f.change(0)
				f.roll(20, "v1", 0)
				f.startToday()
				time.Sleep(30 * time.Second)
				before := peerBytes(f)
				time.Sleep(time.Minute)
				bytes = peerBytes(f) - before
			})
			return bytes
		}
		Expect(quiet(func(int) bool { return false })).To(BeNumerically("~", quiet(nil), 200))
	})

	It("asks nothing of a peer that tells all endpoints only, and is told its pushes", func() {
		inBubble(func(f *fleet) {
			f.regions = map[hbs.DomainName]hbs.RegionName{"c": "q"}
			f.part, f.older = parts, 1
			f.change(0)
			for k := range 40 {
				f.engineAt(k, []hbs.DomainName{"a", "c"}[k%2], "v1")
			}
			f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
			f.start("a")
			f.start("a")
			f.start("a")
			time.Sleep(30 * time.Second)
			f.g.Expect(f.nodes[2].count("r", "v1")).To(Equal(20))
			pulls := f.nodes[2].pulls()
			time.Sleep(30 * time.Second)
			f.g.Expect(f.nodes[2].pulls() - pulls).To(BeZero())
			for k := range 40 {
				f.engineAt(k, []hbs.DomainName{"a", "c"}[k%2], "v2")
			}
			f.within(9*time.Second, "the second weights", func() bool {
				return f.nodes[0].count("r", "v2") == 20 && f.nodes[1].count("r", "v2") == 20 && f.nodes[2].count("r", "v2") == 20
			})
		})
	})
})
