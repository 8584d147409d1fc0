package placement_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/cacheevent"
	"github.com/hornbeamstage/hornbeamstage/placement"
)

// newIsolatedPlacers returns instances that exchange no digests, on a directory
// of engines that load prefixes from each other and have different addresses.
func newIsolatedPlacers(instances, engines int) (fs []*placement.Placer, d *directory) {
	d = newDirectory(engines)
	d.edit(func(r *hbs.Roster) {
		for i := range r.Endpoints {
			r.Endpoints[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
			r.Endpoints[i].Slots = 128
			r.Endpoints[i].Capabilities.KVTransfer = true
		}
	})
	for i := range instances {
		f := newPlacer(d, hbs.DomainName("abc"[i%3:i%3+1]))
		f.Seed, f.EqualWeights, f.GrowDemand, f.StoreReported = uint64(i+1), true, 0.1, true
		f.TransferRate = func(hbs.ServiceName) float64 { return 1e6 }
		fs = append(fs, f)
	}
	return fs, d
}

var _ = Describe("instances that exchange no digests", func() {
	// Each of four first levels has many second levels below it. That is the
	// shape of the prompts in traces/tambuli.jsonl.
	It("spread the many prompts below a few first levels over all engines", func() {
		inVirtualTime(func(g Gomega) {
			fs, _ := newIsolatedPlacers(7, 12)
			prompts := map[hbs.EndpointID]int{}
			for i := range 3000 {
				f := fs[i%len(fs)]
				firstLevel := hbs.LevelKey(1 + i%4)
				p := mustPlace(g, f, request(firstLevel, 100+hbs.LevelKey(i*7919%169)*4+firstLevel, hbs.LevelKey(1e6+i)))
				prompts[p.Endpoint.ID]++
				complete(f, p, "1", -1)
				time.Sleep(25 * time.Millisecond)
			}
			g.Expect(prompts).To(HaveLen(12))
			for id, n := range prompts {
				g.Expect(n).To(BeNumerically("<", 2*3000/12), string(id))
			}
		})
	})

	It("learn from an engine's cache events what another instance sent there, and load from that engine", func() {
		inVirtualTime(func(g Gomega) {
			fs, d := newIsolatedPlacers(2, 12)
			p := mustPlace(g, fs[0], request(1, 2, 3))
			complete(fs[0], p, "1", -1)
			for _, key := range []hbs.LevelKey{1, 2} {
				fs[1].ApplyCacheChange(p.Endpoint.ID, "w1", cacheevent.KindStored, key)
			}
			q := mustPlace(g, fs[1], request(1, 2, 4), p.Endpoint.ID)
			g.Expect(q.LoadFrom).To(Equal(p.Endpoint.Address))
			fs[1].Finish(&q, hbs.AttemptResult{End: hbs.EndCanceled})
			fs[1].ApplyCacheChange(p.Endpoint.ID, "w1", cacheevent.KindEvicted, 2)
			fs[1].ApplyCacheChange(p.Endpoint.ID, "w1", cacheevent.KindEvicted, 1)
			fs[1].ApplyCacheChange(p.Endpoint.ID, "w0", cacheevent.KindStored, 2)
			g.Expect(mustPlace(g, fs[1], request(1, 2, 5)).CachedTokens).To(BeZero(), "events of older weights are ignored")
			g.Expect(d.roster.Endpoints).To(HaveLen(12))
		})
	})

	It("keep their beliefs about an engine while its cache events are read", func() {
		inVirtualTime(func(g Gomega) {
			fs, _ := newIsolatedPlacers(1, 1)
			complete(fs[0], mustPlace(g, fs[0], request(1, 2)), "1", -1)
			for range 300 {
				time.Sleep(time.Second)
				fs[0].MarkEventsRead("engine-000")
			}
			p := mustPlace(g, fs[0], request(1, 2))
			g.Expect(p.CachedTokens).To(Equal(2000))
			fs[0].Finish(&p, hbs.AttemptResult{End: hbs.EndCanceled})
			time.Sleep(5 * time.Minute)
			g.Expect(mustPlace(g, fs[0], request(1, 2)).CachedTokens).To(BeZero())
		})
	})

	It("store what an engine computes, and load only what the store has for its weights", func() {
		inVirtualTime(func(g Gomega) {
			fs, _ := newIsolatedPlacers(1, 2)
			f := fs[0]
			first := mustPlace(g, f, request(1, 2, 3))
			g.Expect(first.StoreTokens).To(Equal(2000))
			g.Expect(first.LoadFromStore).To(BeFalse())
			f.Finish(&first, hbs.AttemptResult{End: hbs.EndBroken})
			for _, key := range []hbs.LevelKey{1, 2} {
				f.SetStored("w0", key, true)
			}
			older := mustPlace(g, f, request(1, 2, 3))
			g.Expect(older.LoadFromStore).To(BeFalse(), "the store has it for older weights")
			f.Finish(&older, hbs.AttemptResult{End: hbs.EndBroken})
			for _, key := range []hbs.LevelKey{1, 2} {
				f.SetStored("w1", key, true)
			}
			p := mustPlace(g, f, request(1, 2, 3))
			g.Expect(p.LoadFromStore).To(BeTrue())
			g.Expect(p.StoreTokens).To(BeZero())
			f.Finish(&p, hbs.AttemptResult{End: hbs.EndBroken})
			f.ClearStored()
			g.Expect(mustPlace(g, f, request(1, 2, 3)).LoadFromStore).To(BeFalse())
		})
	})
})
