package peer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/membership"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/peer"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// putEndpoint stores an endpoint with the given weights on the platform.
func (f *fleet) putEndpoint(k int, weights hbs.WeightsVersion) {
	id := hbs.EndpointID(fmt.Sprintf("e-%03d", k))
	f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, string(id), hbs.Endpoint{
		ID: id, Kind: hbs.KindEngine, Domain: "a", Region: "r", State: hbs.StateLive, Model: "m", Weights: weights, Slots: 8,
		Address: netip.MustParseAddrPort("10.9.0.1:80")})).To(Succeed())
}

// rollWeights changes the weights of n endpoints, one after another.
func (f *fleet) rollWeights(n int, weights hbs.WeightsVersion, pause time.Duration) {
	for k := range n {
		f.putEndpoint(k, weights)
		time.Sleep(pause)
	}
}

// haveWeights reports whether all nodes but those in except know n endpoints with
// the weights.
func (f *fleet) haveWeights(n int, weights hbs.WeightsVersion, except ...*node) bool {
	for _, x := range f.nodes {
		if contains(except, x) {
			continue
		}
		known := 0
		for _, e := range x.directory.Roster().Endpoints {
			if e.Weights == weights {
				known++
			}
		}
		if known < n {
			return false
		}
	}
	return true
}

var _ = Describe("a burst of changes", func() {
	It("reaches all instances although the watchers are killed in the middle of it", func() {
		withFleet(func(f *fleet) {
			f.startDefault()
			f.rollWeights(30, "v1", 0)
			f.waitFor(9*time.Second, "the first weights", func() bool { return f.haveWeights(30, "v1") })
			f.rollWeights(15, "v2", 20*time.Millisecond)
			killed := f.watchers("a")
			for _, n := range killed {
				f.kill(n)
			}
			f.kill(f.nodes[2])
			killed = append(killed, f.nodes[2])
			f.rollWeights(30, "v2", 20*time.Millisecond)
			f.waitFor(9*time.Second, "the second weights", func() bool { return f.haveWeights(30, "v2", killed...) })
		})
	})

	It("reaches a domain cut off from the platform at once, and one cut off from everything after it heals", func() {
		withFleet(func(f *fleet) {
			f.startDefault()
			f.rollWeights(30, "v1", 0)
			f.waitFor(9*time.Second, "the first weights", func() bool { return f.haveWeights(30, "v1") })
			f.fabric.Partition("b", platformDomain)
			for _, x := range []hbs.DomainName{"a", "b", "d", platformDomain} {
				f.fabric.Partition("c", x)
			}
			f.rollWeights(30, "v2", 20*time.Millisecond)
			f.waitFor(9*time.Second, "the second weights", func() bool { return f.haveWeights(30, "v2", f.nodes[4], f.nodes[5]) })
			for _, x := range []hbs.DomainName{"a", "b", "d", platformDomain} {
				f.fabric.Heal("c", x)
			}
			f.waitFor(9*time.Second, "the healed domain", func() bool { return f.haveWeights(30, "v2") })
		})
	})
})

// TestBurstSlopes measures the figures on bursts in docs/measurements/nodes.md.
// It only checks that all changes arrive.
func TestBurstSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("a measurement; give -slopes")
	}
	for _, instances := range []int{7, 28, 56} {
		for _, endpoints := range []int{64, 333} {
			for _, interval := range []float64{0, 0.5, 1} {
				synctest.Test(t, func(t *testing.T) { measureBurst(t, instances, endpoints, interval) })
			}
		}
	}
}

// TestRegionSlopes measures a burst of changes to the engines of 12 regions, both
// with instances that store the endpoints of all regions and with instances that
// store those of their own region. It only checks that all changes arrive.
func TestRegionSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("a measurement; give -slopes")
	}
	for _, endpoints := range []int{996, 3996} {
		for _, partial := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) { measureRegions(t, endpoints, partial) })
		}
	}
}

func measureRegions(t *testing.T, endpoints int, partial bool) {
	const instances, regions, perSecond = 28, 12, 20
	f := newFleet(NewWithT(t))
	defer f.close()
	f.partial = func(int) bool { return partial }
	f.regions = map[hbs.DomainName]hbs.RegionName{}
	var domains []hbs.DomainName
	for i := range regions {
		domains = append(domains, hbs.DomainName(fmt.Sprintf("d-%02d", i)))
		f.regions[domains[i]] = hbs.RegionName(fmt.Sprintf("r-%02d", i))
	}
	roll := func(weights hbs.WeightsVersion, pause time.Duration) {
		for k := range endpoints {
			f.putEngine(k, domains[k%regions], weights)
			time.Sleep(pause)
		}
	}
	haveWeights := func(weights hbs.WeightsVersion) func() bool {
		return func() bool {
			for _, n := range f.nodes {
				if n.countEndpoints("r-00", weights) != endpoints/regions || !partial && n.countEndpoints("r-11", weights) != endpoints/regions {
					return false
				}
			}
			return true
		}
	}
	f.putWorkspace(0)
	f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
	for range instances {
		f.start(domains[0])
	}
	roll("v1", 0)
	f.waitFor(time.Minute, "the first weights", haveWeights("v1"))
	time.Sleep(time.Minute)
	before := peerBytes(f)
	time.Sleep(time.Minute)
	idle := float64(peerBytes(f)-before) / time.Minute.Seconds()
	rosters := countRosters(f.nodes[0])
	before, began, cpu := peerBytes(f), time.Now(), cpuTime(t)
	roll("v2", time.Second/perSecond)
	f.waitFor(time.Minute, "the second weights", haveWeights("v2"))
	ms := (cpuTime(t) - cpu).Seconds() * 1000
	time.Sleep(time.Minute)
	bytes := float64(peerBytes(f)-before) - idle*time.Since(began).Seconds()
	t.Logf("%d endpoints, part %t: %.0f bytes and %.3f ms a change and instance, %d rosters at one instance",
		endpoints, partial, bytes/float64(endpoints*instances), ms/float64(endpoints*instances), rosters())
}

func measureBurst(t *testing.T, instances, endpoints int, interval float64) {
	f := newFleet(NewWithT(t))
	defer f.close()
	f.policy = knob.NewFixed(platform.Knobs, mirror.Knobs, peer.Knobs, membership.Knobs).With(mirror.KnobMergeInterval, interval)
	f.putWorkspace(0)
	f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
	for range instances {
		f.start("a")
	}
	f.rollWeights(endpoints, "v1", 0)
	f.waitFor(time.Minute, "the first weights", func() bool { return f.haveWeights(endpoints, "v1") })
	time.Sleep(10 * time.Second)
	window := 10 * time.Second
	before := peerBytes(f)
	time.Sleep(window)
	idle := float64(peerBytes(f)-before) / window.Seconds()
	rosters := countRosters(f.nodes[0])
	before, began, cpu := peerBytes(f), time.Now(), cpuTime(t)
	const perSecond = 20
	f.rollWeights(endpoints, "v2", time.Second/perSecond)
	f.waitFor(time.Minute, "the second weights", func() bool { return f.haveWeights(endpoints, "v2") })
	span := time.Since(began).Seconds()
	bytes := float64(peerBytes(f)-before) - idle*span
	ms := (cpuTime(t) - cpu).Seconds() * 1000
	t.Logf("%d instances, %d endpoints, merged over %.1f s: %.0f bytes and %.3f ms a change and instance, %d rosters at one instance",
		instances, endpoints, interval, bytes/float64(endpoints*instances), ms/float64(endpoints*instances), rosters())
}

// countRosters counts the roster changes of n until the returned function is
// called, which returns the count.
func countRosters(n *node) func() int {
	stop, count := make(chan struct{}), make(chan int, 1)
	go func() {
		seen := 0
		for {
			select {
			case <-n.directory.Changed():
				seen++
			case <-stop:
				count <- seen
				return
			}
		}
	}()
	return func() int {
		close(stop)
		return <-count
	}
}
