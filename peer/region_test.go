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

// putEngine stores an engine of a domain and its region on the platform.
func (f *fleet) putEngine(k int, domain hbs.DomainName, weights hbs.WeightsVersion) hbs.EndpointID {
	id := hbs.EndpointID(fmt.Sprintf("e-%03d", k))
	f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, string(id), hbs.Endpoint{
		ID: id, Kind: hbs.KindEngine, Domain: domain, Region: f.region(domain), State: hbs.StateLive, Model: "m", Weights: weights, Slots: 8,
		Address: netip.MustParseAddrPort("10.9.0.1:80")})).To(Succeed())
	return id
}

// startTwoRegions starts the default fleet with domains a and b in region r, and c
// and d in region q, and stores 20 engines per region, alternating between them.
func (f *fleet) startTwoRegions(partial func(i int) bool) {
	f.regions = map[hbs.DomainName]hbs.RegionName{"c": "q", "d": "q"}
	f.partial = partial
	f.putWorkspace(0)
	f.rollRegions("v1")
	f.startDefault()
}

// rollRegions changes the weights of all 40 engines.
func (f *fleet) rollRegions(weights hbs.WeightsVersion) {
	for k := range 40 {
		f.putEngine(k, []hbs.DomainName{"a", "c", "b", "d"}[k%4], weights)
	}
}

// pullCount returns the number of pulls of n that were answered.
func (n *node) pullCount() int64 {
	return metrics.GetOrRegisterCounter("peer_pulls", n.metrics).Count()
}

// rosterTimeout is the longest time until a first complete roster: the interval
// between two selections of the spares, a few endpoints of other regions, and a
// margin. The platform lists its objects one after another, so the first selection
// may be incomplete.
const rosterTimeout = 35 * time.Second

func allPartial(int) bool { return true }

// countEndpoints returns how many endpoints of a region with the given weights are
// in n's roster.
func (n *node) countEndpoints(region hbs.RegionName, weights hbs.WeightsVersion) (c int) {
	for _, e := range n.directory.Roster().Endpoints {
		if e.Region == region && e.Weights == weights {
			c++
		}
	}
	return c
}

// regionsHaveWeights reports whether all nodes but those in except have the 20
// engines of their region with the given weights, and 4 spares of the other region
// with any weights.
func (f *fleet) regionsHaveWeights(weights hbs.WeightsVersion, except ...*node) bool {
	for _, n := range f.nodes {
		if contains(except, n) {
			continue
		}
		local, other := hbs.RegionName("r"), hbs.RegionName("q")
		if n.directory.Self().Region == other {
			local, other = other, local
		}
		if n.countEndpoints(local, weights) != 20 || n.countEndpoints(other, "v1")+n.countEndpoints(other, "v2") != 4 {
			return false
		}
	}
	return true
}

// storedOnlyIn reports whether all nodes of a region, and no others, store the
// endpoint as one of their region. Spares are not counted.
func (f *fleet) storedOnlyIn(id hbs.EndpointID, region hbs.RegionName) bool {
	for _, n := range f.nodes {
		_, known := n.objects.Get(mirror.RegionKind(n.objects.Region), string(id))
		if known != (n.directory.Self().Region == region) {
			return false
		}
	}
	return true
}

var _ = Describe("instances that store only their region's endpoints", func() {
	It("have all of these, a few spares of the other region and the number of its other endpoints", func() {
		withFleet(func(f *fleet) {
			f.startTwoRegions(allPartial)
			f.waitFor(rosterTimeout, "rosters", func() bool { return f.regionsHaveWeights("v1") })
			for _, n := range f.nodes {
				f.waitFor(rosterTimeout, "number of other endpoints", func() bool { return n.directory.Roster().UnlistedEngines["m"] == 16 })
			}
		})
	})

	It("still have spares of the other region when the last endpoint of theirs is removed", func() {
		withFleet(func(f *fleet) {
			f.startTwoRegions(allPartial)
			f.waitFor(rosterTimeout, "rosters", func() bool { return f.regionsHaveWeights("v1") })
			for k := range 40 {
				if k%2 == 0 {
					f.platform.Remove(hbs.ObjectEndpoint, fmt.Sprintf("e-%03d", k))
				}
			}
			f.waitFor(9*time.Second, "the region's endpoints gone", func() bool {
				return f.nodes[0].countEndpoints("r", "v1") == 0 && f.nodes[3].countEndpoints("r", "v1") == 0
			})
			f.g.Expect(f.nodes[0].countEndpoints("q", "v1")).To(Equal(4))
		})
	})

	It("keep the spares while their region is cut off from the other and the platform, and catch up later", func() {
		withFleet(func(f *fleet) {
			f.startTwoRegions(allPartial)
			f.waitFor(rosterTimeout, "rosters", func() bool { return f.regionsHaveWeights("v1") })
			cuts := [][2]hbs.DomainName{{"a", "c"}, {"a", "d"}, {"b", "c"}, {"b", "d"}, {"c", platformDomain}, {"d", platformDomain}}
			for _, e := range cuts {
				f.fabric.Partition(e[0], e[1])
			}
			f.rollRegions("v2")
			cut := f.nodes[4:]
			f.waitFor(9*time.Second, "the weights in the region that is not cut off", func() bool { return f.regionsHaveWeights("v2", cut...) })
			time.Sleep(6 * time.Minute)
			for _, n := range cut {
				f.g.Expect(n.countEndpoints("q", "v1")).To(Equal(20))
				f.g.Expect(n.countEndpoints("r", "v1")).To(Equal(4))
			}
			for _, e := range cuts {
				f.fabric.Heal(e[0], e[1])
			}
			f.waitFor(9*time.Second, "healed", func() bool { return f.regionsHaveWeights("v2") })
		})
	})

	It("learn all of a burst although watchers are killed in the middle of it", func() {
		withFleet(func(f *fleet) {
			f.startTwoRegions(allPartial)
			f.waitFor(rosterTimeout, "rosters", func() bool { return f.regionsHaveWeights("v1") })
			for k := range 20 {
				f.putEngine(k, []hbs.DomainName{"a", "c", "b", "d"}[k%4], "v2")
				time.Sleep(20 * time.Millisecond)
			}
			killed := f.watchers("b")[:1]
			killed = append(killed, f.nodes[4])
			for _, n := range killed {
				f.kill(n)
			}
			f.rollRegions("v2")
			f.waitFor(9*time.Second, "the second weights", func() bool { return f.regionsHaveWeights("v2", killed...) })
		})
	})

	It("drop an endpoint that moves to another region and store it again when it returns", func() {
		withFleet(func(f *fleet) {
			f.startTwoRegions(allPartial)
			f.waitFor(rosterTimeout, "rosters", func() bool { return f.regionsHaveWeights("v1") })
			f.g.Expect(f.storedOnlyIn("e-000", "r")).To(BeTrue())
			f.fabric.Partition("b", platformDomain)
			f.putEngine(0, "c", "v1")
			f.waitFor(9*time.Second, "moved", func() bool { return f.storedOnlyIn("e-000", "q") })
			f.putEngine(0, "b", "v1")
			f.waitFor(9*time.Second, "returned", func() bool { return f.storedOnlyIn("e-000", "r") })
		})
	})
})

var _ = Describe("an upgrade to storing only the region's endpoints", func() {
	// One instance of each domain with two stores all endpoints, as before the
	// upgrade.
	It("loses nothing while both kinds of instances run, and domains cut off from the platform learn from peers", func() {
		withFleet(func(f *fleet) {
			f.startTwoRegions(func(i int) bool { return i%2 == 1 })
			known := func(weights hbs.WeightsVersion) func() bool {
				return func() bool {
					for i, n := range f.nodes {
						local, other := hbs.RegionName("r"), hbs.RegionName("q")
						if n.directory.Self().Region == other {
							local, other = other, local
						}
						if n.countEndpoints(local, weights) != 20 || i%2 == 0 && n.countEndpoints(other, weights) != 20 {
							return false
						}
					}
					return true
				}
			}
			f.waitFor(9*time.Second, "the first weights", known("v1"))
			f.fabric.Partition("a", platformDomain)
			f.fabric.Partition("d", platformDomain)
			f.rollRegions("v2")
			f.waitFor(9*time.Second, "the second weights", known("v2"))
		})
	})

	It("lets a domain that is cut off from the platform learn from one that stores all endpoints", func() {
		withFleet(func(f *fleet) {
			f.partial = func(i int) bool { return i >= 2 }
			f.seeds = append(f.seeds, peerAddress(2), peerAddress(3))
			f.putWorkspace(0)
			f.rollWeights(20, "v1", 0)
			for _, domain := range []hbs.DomainName{"a", "a", "b", "b"} {
				f.start(domain)
			}
			f.waitFor(rosterTimeout, "the first weights", func() bool { return f.haveWeights(20, "v1") })
			f.fabric.Partition("b", platformDomain)
			f.rollWeights(20, "v2", 0)
			f.waitFor(9*time.Second, "the second weights", func() bool { return f.haveWeights(20, "v2") })
		})
	})

	It("adds no traffic while all instances store all endpoints", func() {
		idleBytes := func(partial func(int) bool) (bytes int64) {
			withFleet(func(f *fleet) {
				f.partial = partial
				f.putWorkspace(0)
				f.rollWeights(20, "v1", 0)
				f.startDefault()
				time.Sleep(30 * time.Second)
				before := peerBytes(f)
				time.Sleep(time.Minute)
				bytes = peerBytes(f) - before
			})
			return bytes
		}
		Expect(idleBytes(func(int) bool { return false })).To(BeNumerically("~", idleBytes(nil), 200))
	})

	It("pulls nothing from a peer that sends a summary of all endpoints only, and receives its pushes", func() {
		withFleet(func(f *fleet) {
			f.regions = map[hbs.DomainName]hbs.RegionName{"c": "q"}
			f.partial, f.legacyNodes = allPartial, 1
			f.putWorkspace(0)
			for k := range 40 {
				f.putEngine(k, []hbs.DomainName{"a", "c"}[k%2], "v1")
			}
			f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
			f.start("a")
			f.start("a")
			f.start("a")
			time.Sleep(30 * time.Second)
			f.g.Expect(f.nodes[2].countEndpoints("r", "v1")).To(Equal(20))
			pulls := f.nodes[2].pullCount()
			time.Sleep(30 * time.Second)
			f.g.Expect(f.nodes[2].pullCount() - pulls).To(BeZero())
			for k := range 40 {
				f.putEngine(k, []hbs.DomainName{"a", "c"}[k%2], "v2")
			}
			f.waitFor(9*time.Second, "the second weights", func() bool {
				return f.nodes[0].countEndpoints("r", "v2") == 20 && f.nodes[1].countEndpoints("r", "v2") == 20 && f.nodes[2].countEndpoints("r", "v2") == 20
			})
		})
	})
})
