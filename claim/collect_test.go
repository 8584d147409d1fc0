package claim_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/claim"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/host"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
	standin "github.com/hornbeamstage/hornbeamstage/standin/platform"
)

// doneClaim returns a done claim whose record has a body of the given size, and
// which may be removed now if due.
func doneClaim(due bool, bytes int) claim.Claim {
	removable := time.Now().Add(time.Hour)
	if due {
		removable = time.Now().Add(-time.Second)
	}
	record := &claim.Record{Outcome: hbs.OutcomeAnswered, Body: make([]byte, bytes)}
	return claim.Claim{Phase: claim.PhaseDone, Attempt: "a", RemovableAt: removable, Record: record}
}

// addClaims stores n claims named 0000, 0001 and so on. Every third of them is
// due for removal.
func (h *history) addClaims(n int) {
	for i := range n {
		h.addClaim(fmt.Sprintf("%04d", i), i%3 == 0)
	}
}

func (h *history) addClaim(name string, due bool) {
	value, err := json.Marshal(doneClaim(due, 0))
	Expect(err).NotTo(HaveOccurred())
	_, err = (&objects.Client{Store: h.shared}).Create(context.Background(), hbs.Object{Kind: hbs.ObjectClaim, Name: name, Value: value})
	Expect(err).NotTo(HaveOccurred())
}

func (h *history) deleteClaim(name string) {
	client := &objects.Client{Store: h.shared}
	obj, err := client.Get(context.Background(), hbs.ObjectClaim, name)
	Expect(err).NotTo(HaveOccurred())
	Expect(client.Delete(context.Background(), obj.Kind, obj.Name, obj.Revision)).To(Succeed())
}

// remaining returns how many claims are due for removal and how many are not.
func (h *history) remaining() (due, kept int) {
	for _, obj := range h.shared.Objects(hbs.ObjectClaim) {
		var c claim.Claim
		Expect(json.Unmarshal(obj.Value, &c)).To(Succeed())
		if c.RemovableAt.Before(time.Now()) {
			due++
		} else {
			kept++
		}
	}
	return due, kept
}

// planCall sets the plan of the nth call of op by node 0, which runs before
// first.
func (h *history) planCall(op objects.Op, n int, p objects.Plan, before func()) {
	calls := 0
	h.nodes[0].client.Replan(func(o objects.Op, _ hbs.ObjectKind) objects.Plan {
		if o != op {
			return objects.Plan{}
		}
		if calls++; calls != n {
			return objects.Plan{}
		}
		before()
		return p
	})
}

var _ = Describe("Collect", func() {
	// 600 claims are listed in pages of 16, 64, 256 and 264; 200 are due for removal.
	DescribeTable("removes all claims that are due, whatever happens between two pages (C10)", func(op objects.Op, p objects.Plan, before func(h *history), pages, others int) {
		withInstances(1, func(g Gomega, h *history) {
			h.addClaims(600)
			h.planCall(op, 3, p, func() { before(h) })
			g.Expect(h.nodes[0].store.Collect(context.Background())).To(Succeed())
			g.Expect(h.nodes[0].client.Calls(objects.OpList)).To(Equal(pages))
			due, kept := h.remaining()
			g.Expect(due).To(BeNumerically("<=", 1))
			g.Expect(kept).To(Equal(others))
			g.Expect(h.nodes[0].store.Collect(context.Background())).To(Succeed())
			due, kept = h.remaining()
			g.Expect([]int{due, kept}).To(Equal([]int{0, others}))
		})
	},
		Entry("nothing happens", objects.OpList, objects.Plan{}, func(*history) {}, 4, 400),
		Entry("claims are created", objects.OpList, objects.Plan{}, func(h *history) { h.addClaim("0000a", false); h.addClaim("0599a", false) }, 4, 402),
		Entry("claims are removed", objects.OpList, objects.Plan{}, func(h *history) { h.deleteClaim("0000"); h.deleteClaim("0300"); h.deleteClaim("0301") }, 4, 399),
		Entry("the token expires and is replaced", objects.OpList, objects.Plan{}, func(h *history) { h.shared.Expire(true) }, 5, 400),
		Entry("the token expires and is not replaced", objects.OpList, objects.Plan{}, func(h *history) { h.shared.Expire(false) }, 5, 400),
		Entry("the response to a listing is lost", objects.OpList, objects.Plan{Fault: objects.FaultLost}, func(*history) {}, 6, 400),
		Entry("a listing is refused", objects.OpList, objects.Plan{Fault: objects.FaultRefused}, func(*history) {}, 6, 400),
		Entry("the response to a removal is lost", objects.OpDelete, objects.Plan{Fault: objects.FaultLost}, func(*history) {}, 4, 400),
		Entry("a removal is refused", objects.OpDelete, objects.Plan{Fault: objects.FaultRefused}, func(*history) {}, 4, 400),
	)

	It("gives up in an outage after a few calls, and removes the claims found before", func() {
		withInstances(1, func(g Gomega, h *history) {
			h.addClaims(600)
			lists := 0
			h.nodes[0].client.Replan(func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
				if op == objects.OpList {
					lists++
				}
				if lists > 2 {
					return objects.Plan{Fault: objects.FaultNever}
				}
				return objects.Plan{}
			})
			g.Expect(h.nodes[0].store.Collect(context.Background())).To(MatchError(hbs.ErrUncertain))
			g.Expect(lists).To(Equal(5))
			g.Expect(h.nodes[0].client.Calls(objects.OpDelete)).To(Equal(3))
			h.nodes[0].client.Replan(nil)
			g.Expect(h.nodes[0].store.Collect(context.Background())).To(Succeed())
			due, others := h.remaining()
			g.Expect([]int{due, others}).To(Equal([]int{0, 400}))
		})
	})

	It("gives up if every token expires without a replacement", func() {
		for _, offer := range []bool{false, true} {
			withInstances(1, func(g Gomega, h *history) {
				h.addClaims(600)
				h.nodes[0].client.Replan(func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
					if op == objects.OpList {
						h.shared.Expire(offer)
					}
					return objects.Plan{}
				})
				err := h.nodes[0].store.Collect(context.Background())
				due, others := h.remaining()
				g.Expect(others).To(Equal(400))
				if offer {
					// The listing gets one page further with each replacement token.
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(due).To(BeZero())
					return
				}
				g.Expect(err).To(MatchError(hbs.ErrCompacted))
				g.Expect(due).To(BeNumerically("<", 200))
				g.Expect(h.nodes[0].client.Calls(objects.OpList)).To(BeNumerically("<=", 8))
			})
		}
	})

	It("limits the total size of the claims in a page", func() {
		withCollector(1000, 16<<10, func(g Gomega, c *collector) {
			g.Expect(c.store.Collect(context.Background())).To(Succeed())
			g.Expect(c.largestPage).To(BeNumerically("<", 4<<20))
		})
	})
})

// collector is an instance that removes claims over HTTP from a stand-in of the
// platform. It measures the pages that it reads.
type collector struct {
	hbs.Platform
	store    *claim.Store
	platform *standin.Platform
	host     *host.Host
	// largestPage is the largest total of value bytes in a page. peakHeap is the
	// most heap in use while a page is held, less baseHeap, the heap in use
	// before.
	largestPage, peakHeap, baseHeap int64
}

// ListPage implements hornbeamstage.Platform.
func (c *collector) ListPage(ctx context.Context, kind hbs.ObjectKind, limit int, token string) (hbs.Page, error) {
	page, err := c.Platform.ListPage(ctx, kind, limit, token)
	c.measure(page.Objects)
	return page, err
}

func (c *collector) measure(objs []hbs.Object) {
	var bytes int64
	for _, obj := range objs {
		bytes += int64(len(obj.Value))
	}
	c.largestPage = max(c.largestPage, bytes)
	c.peakHeap = max(c.peakHeap, heapInUse()-c.baseHeap)
	runtime.KeepAlive(objs)
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// withCollector runs f with n claims with bodies of the given size, of which one
// in a hundred is due for removal.
func withCollector(n, bytes int, f func(g Gomega, c *collector)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fabric := &memnet.Fabric{}
		address := netip.MustParseAddrPort("10.0.0.1:80")
		c := &collector{platform: &standin.Platform{Address: address, Network: fabric.Network("p")},
			host: &host.Host{Network: fabric.Network("a"), Classify: func(netip.AddrPort) host.Purpose { return "platform" }}}
		for i := range n {
			if err := c.platform.Put(hbs.ObjectClaim, fmt.Sprintf("%064d", i), doneClaim(i%100 == 0, bytes)); err != nil {
				t.Fatal(err)
			}
		}
		policy := knob.NewFixed(claim.Knobs, platform.Knobs)
		client := &platform.Client{Address: address, Network: c.host, Timeout: time.Second, ReadsPerSecond: 50, WritesPerSecond: 40, Policy: policy, Metrics: metrics.NewRegistry()}
		self := hbs.Instance{ID: "r", Domain: "d", State: hbs.InstanceLive, PeerAddress: address}
		c.Platform = client
		c.store = &claim.Store{Platform: c, Self: self, Policy: policy, Directory: &directory{hbs.Roster{Instances: []hbs.Instance{self}}}}
		var wg conc.WaitGroup
		wg.Go(func() { _ = c.platform.Run(ctx) })
		wg.Go(func() { _ = client.Run(ctx) })
		synctest.Wait()
		c.baseHeap = heapInUse()
		f(NewWithT(t), c)
		cancel()
		wg.Wait()
		time.Sleep(network.DialTimeout)
	})
}

var measureSizes = flag.Bool("sizes", false, "measure the removal from among many claims")

func TestCollectSizes(t *testing.T) {
	if !*measureSizes {
		t.Skip("pass -sizes to measure")
	}
	suiteT = t
	for _, bytes := range []int{1 << 10, 16 << 10} {
		for _, n := range []int{1_000, 10_000, 100_000} {
			if n*bytes > 1<<28 {
				continue
			}
			withCollector(n, bytes, func(_ Gomega, c *collector) {
				began := time.Now()
				err := c.store.Collect(context.Background())
				var calls []string
				for kind, k := range c.platform.Calls() {
					calls = append(calls, fmt.Sprintf("%s %d", kind.Verb, k))
				}
				t.Logf("%d claims of %d B: %s; %d B to and from the platform; largest page %d B, peak heap %d B; %v, error %v",
					n, bytes, strings.Join(calls, ", "), c.host.Bytes()["platform"], c.largestPage, c.peakHeap, time.Since(began).Round(time.Millisecond), err)
			})
		}
	}
}
