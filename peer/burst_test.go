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

// endpoint stores the record of an endpoint with its weights.
func (f *fleet) endpoint(k int, weights hbs.WeightsVersion) {
	id := hbs.EndpointID(fmt.Sprintf("e-%03d", k))
	f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, string(id), hbs.Endpoint{
		ID: id, Kind: hbs.KindEngine, Domain: "a", Region: "r", State: hbs.StateLive, Model: "m", Weights: weights, Slots: 8,
		Address: netip.MustParseAddrPort("10.9.0.1:80")})).To(Succeed())
}

// roll changes the weights of n endpoints, one after another.
func (f *fleet) roll(n int, weights hbs.WeightsVersion, pause time.Duration) {
	for k := range n {
		f.endpoint(k, weights)
		time.Sleep(pause)
	}
}

// rolled reports whether all living nodes know the weights of n endpoints.
func (f *fleet) rolled(n int, weights hbs.WeightsVersion, except ...*node) bool {
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
	It("is known everywhere although the watchers are killed in the middle of it", func() {
		inBubble(func(f *fleet) {
			f.startToday()
			f.roll(30, "v1", 0)
			f.within(9*time.Second, "the first weights", func() bool { return f.rolled(30, "v1") })
			f.roll(15, "v2", 20*time.Millisecond)
			killed := f.watchers("a")
			for _, n := range killed {
				f.kill(n)
			}
			f.kill(f.nodes[2])
			killed = append(killed, f.nodes[2])
			f.roll(30, "v2", 20*time.Millisecond)
			f.within(9*time.Second, "the second weights", func() bool { return f.rolled(30, "v2", killed...) })
		})
	})

	It("reaches a domain that is cut off from the platform, and one that was cut off from all once it heals", func() {
		inBubble(func(f *fleet) {
			f.startToday()
			f.roll(30, "v1", 0)
			f.within(9*time.Second, "the first weights", func() bool { return f.rolled(30, "v1") })
			f.fabric.Cut("b", platformDomain)
			for _, x := range []hbs.DomainName{"a", "b", "d", platformDomain} {
				f.fabric.Cut("c", x)
			}
			f.roll(30, "v2", 20*time.Millisecond)
			f.within(9*time.Second, "the second weights", func() bool { return f.rolled(30, "v2", f.nodes[4], f.nodes[5]) })
			for _, x := range []hbs.DomainName{"a", "b", "d", platformDomain} {
				f.fabric.Heal("c", x)
			}
			f.within(9*time.Second, "the healed domain", func() bool { return f.rolled(30, "v2") })
		})
	})
})

// TestBurstSlopes measures what docs/measurements/nodes.md tells of bursts. It
// checks nothing but that all changes arrive.
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

// TestRegionSlopes measures a burst over the engines of 12 regions by whether
// instances keep all of them. It checks nothing but that all changes arrive.
func TestRegionSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("a measurement; give -slopes")
	}
	for _, endpoints := range []int{996, 3996} {
		for _, part := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) { measureRegions(t, endpoints, part) })
		}
	}
}

func measureRegions(t *testing.T, endpoints int, part bool) {
	const instances, regions, perSecond = 28, 12, 20
	f := newFleet(NewWithT(t))
	defer f.close()
	f.part = func(int) bool { return part }
	f.regions = map[hbs.DomainName]hbs.RegionName{}
	var domains []hbs.DomainName
	for i := range regions {
		domains = append(domains, hbs.DomainName(fmt.Sprintf("d-%02d", i)))
		f.regions[domains[i]] = hbs.RegionName(fmt.Sprintf("r-%02d", i))
	}
	roll := func(weights hbs.WeightsVersion, pause time.Duration) {
		for k := range endpoints {
			f.engineAt(k, domains[k%regions], weights)
			time.Sleep(pause)
		}
	}
	rolled := func(weights hbs.WeightsVersion) func() bool {
		return func() bool {
			for _, n := range f.nodes {
				if n.count("r-00", weights) != endpoints/regions || !part && n.count("r-11", weights) != endpoints/regions {
					return false
				}
			}
			return true
		}
	}
	f.change(0)
	f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
	for range instances {
		f.start(domains[0])
	}
	roll("v1", 0)
	f.within(time.Minute, "the first weights", rolled("v1"))
	time.Sleep(time.Minute)
	before := peerBytes(f)
	time.Sleep(time.Minute)
	idle := float64(peerBytes(f)-before) / time.Minute.Seconds()
	rosters := countRosters(f.nodes[0])
	before, began, cpu := peerBytes(f), time.Now(), processorTime(t)
	roll("v2", time.Second/perSecond)
	f.within(time.Minute, "the second weights", rolled("v2"))
	ms := (processorTime(t) - cpu).Seconds() * 1000
	time.Sleep(time.Minute)
	bytes := float64(peerBytes(f)-before) - idle*time.Since(began).Seconds()
	t.Logf("%d endpoints, part %t: %.0f bytes and %.3f ms a change and instance, %d rosters at one instance",
		endpoints, part, bytes/float64(endpoints*instances), ms/float64(endpoints*instances), rosters())
}

func measureBurst(t *testing.T, instances, endpoints int, interval float64) {
	f := newFleet(NewWithT(t))
	defer f.close()
	f.policy = knob.NewFixed(platform.Knobs, mirror.Knobs, peer.Knobs, membership.Knobs).With(mirror.KnobMergeInterval, interval)
	f.change(0)
	f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
	for range instances {
		f.start("a")
	}
	f.roll(endpoints, "v1", 0)
	f.within(time.Minute, "the first weights", func() bool { return f.rolled(endpoints, "v1") })
	time.Sleep(10 * time.Second)
	quietFor := 10 * time.Second
	before := peerBytes(f)
	time.Sleep(quietFor)
	idle := float64(peerBytes(f)-before) / quietFor.Seconds()
	rosters := countRosters(f.nodes[0])
	before, began, cpu := peerBytes(f), time.Now(), processorTime(t)
	const perSecond = 20
	f.roll(endpoints, "v2", time.Second/perSecond)
	f.within(time.Minute, "the second weights", func() bool { return f.rolled(endpoints, "v2") })
	span := time.Since(began).Seconds()
	bytes := float64(peerBytes(f)-before) - idle*span
	ms := (processorTime(t) - cpu).Seconds() * 1000
	t.Logf("%d instances, %d endpoints, merged over %.1f s: %.0f bytes and %.3f ms a change and instance, %d rosters at one instance",
		instances, endpoints, interval, bytes/float64(endpoints*instances), ms/float64(endpoints*instances), rosters())
}

// countRosters counts the rosters of n until the result is called.
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
