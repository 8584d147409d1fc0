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

// stored returns the value of a claim with an answer of so many bytes, which is
// due to be removed or not.
func stored(due bool, bytes int) claim.Claim {
	removable := time.Now().Add(time.Hour)
	if due {
		removable = time.Now().Add(-time.Second)
	}
	record := &claim.Record{Outcome: hbs.OutcomeAnswered, Body: make([]byte, bytes)}
	return claim.Claim{Phase: claim.PhaseDone, Attempt: "a", Removable: removable, Record: record}
}

// fill stores claims named 0000 and on, every third of them due.
func (h *history) fill(n int) {
	for i := range n {
		h.add(fmt.Sprintf("%04d", i), i%3 == 0)
	}
}

func (h *history) add(name string, due bool) {
	value, err := json.Marshal(stored(due, 0))
	Expect(err).NotTo(HaveOccurred())
	_, err = (&objects.Client{Store: h.shared}).Create(context.Background(), hbs.Object{Kind: hbs.ObjectClaim, Name: name, Value: value})
	Expect(err).NotTo(HaveOccurred())
}

func (h *history) drop(name string) {
	client := &objects.Client{Store: h.shared}
	obj, err := client.Get(context.Background(), hbs.ObjectClaim, name)
	Expect(err).NotTo(HaveOccurred())
	Expect(client.Delete(context.Background(), obj.Kind, obj.Name, obj.Revision)).To(Succeed())
}

// left returns how many claims are due, and how many are not.
func (h *history) left() (due, others int) {
	for _, obj := range h.shared.Objects(hbs.ObjectClaim) {
		var c claim.Claim
		Expect(json.Unmarshal(obj.Value, &c)).To(Succeed())
		if c.Removable.Before(time.Now()) {
			due++
		} else {
			others++
		}
	}
	return due, others
}

// at plans the nth call of op for all nodes, after running before.
func (h *history) at(op objects.Op, n int, p objects.Plan, before func()) {
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
	// 600 claims are pages of 16, 64, 256 and 264; 200 of them are due.
	DescribeTable("removes what is due, whatever happens between two pages (C10)", func(op objects.Op, p objects.Plan, before func(h *history), pages, others int) {
		fleet(1, func(g Gomega, h *history) {
			h.fill(600)
			h.at(op, 3, p, func() { before(h) })
			g.Expect(h.nodes[0].store.Collect(context.Background())).To(Succeed())
			g.Expect(h.nodes[0].client.Calls(objects.OpList)).To(Equal(pages))
			due, kept := h.left()
			g.Expect(due).To(BeNumerically("<=", 1))
			g.Expect(kept).To(Equal(others))
			g.Expect(h.nodes[0].store.Collect(context.Background())).To(Succeed())
			due, kept = h.left()
			g.Expect([]int{due, kept}).To(Equal([]int{0, others}))
		})
	},
		Entry("nothing", objects.OpList, objects.Plan{}, func(*history) {}, 4, 400),
		Entry("claims are created", objects.OpList, objects.Plan{}, func(h *history) { h.add("0000a", false); h.add("0599a", false) }, 4, 402),
		Entry("claims are removed", objects.OpList, objects.Plan{}, func(h *history) { h.drop("0000"); h.drop("0300"); h.drop("0301") }, 4, 399),
		Entry("the token expires and another is offered", objects.OpList, objects.Plan{}, func(h *history) { h.shared.Expire(true) }, 5, 400),
		Entry("the token expires and none is offered", objects.OpList, objects.Plan{}, func(h *history) { h.shared.Expire(false) }, 5, 400),
		Entry("the answer of a page is lost", objects.OpList, objects.Plan{Fault: objects.FaultLost}, func(*history) {}, 6, 400),
		Entry("a page is refused", objects.OpList, objects.Plan{Fault: objects.FaultRefused}, func(*history) {}, 6, 400),
		Entry("the answer of a removal is lost", objects.OpDelete, objects.Plan{Fault: objects.FaultLost}, func(*history) {}, 4, 400),
		Entry("a removal is refused", objects.OpDelete, objects.Plan{Fault: objects.FaultRefused}, func(*history) {}, 4, 400),
	)

	It("gives up in an outage after a few calls, and removes what it found by then", func() {
		fleet(1, func(g Gomega, h *history) {
			h.fill(600)
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
			due, others := h.left()
			g.Expect([]int{due, others}).To(Equal([]int{0, 400}))
		})
	})

	It("gives up when every token is too old", func() {
		for _, offer := range []bool{false, true} {
			fleet(1, func(g Gomega, h *history) {
				h.fill(600)
				h.nodes[0].client.Replan(func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
					if op == objects.OpList {
						h.shared.Expire(offer)
					}
					return objects.Plan{}
				})
				err := h.nodes[0].store.Collect(context.Background())
				due, others := h.left()
				g.Expect(others).To(Equal(400))
				if offer {
					// Each token that is offered gets one page further.
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

	It("bounds the claims of a page by their size", func() {
		sizes(1000, 16<<10, func(g Gomega, c *collection) {
			g.Expect(c.store.Collect(context.Background())).To(Succeed())
			g.Expect(c.largest).To(BeNumerically("<", 4<<20))
		})
	})
})

// collection is one collector over HTTP before the stand-in of the platform. It
// notes what answers to listings weigh.
type collection struct {
	hbs.Platform
	store    *claim.Store
	platform *standin.Platform
	host     *host.Host
	// largest is the most bytes of values in one answer, live the most heap in
	// use while the collector holds one, less what was in use before.
	largest, live, base int64
}

// ListPage implements hornbeamstage.Platform.
func (c *collection) ListPage(ctx context.Context, kind hbs.ObjectKind, limit int, token string) (hbs.Page, error) {
	page, err := c.Platform.ListPage(ctx, kind, limit, token)
	c.weigh(page.Objects)
	return page, err
}

func (c *collection) weigh(objs []hbs.Object) {
	var bytes int64
	for _, obj := range objs {
		bytes += int64(len(obj.Value))
	}
	c.largest = max(c.largest, bytes)
	c.live = max(c.live, heap()-c.base)
	runtime.KeepAlive(objs)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// sizes runs f with n claims of which each has an answer of so many bytes, and
// one in a hundred is due.
func sizes(n, bytes int, f func(g Gomega, c *collection)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fabric := &memnet.Fabric{}
		address := netip.MustParseAddrPort("10.0.0.1:80")
		c := &collection{platform: &standin.Platform{Address: address, Network: fabric.Network("p")},
			host: &host.Host{Network: fabric.Network("a"), Classify: func(netip.AddrPort) host.Purpose { return "platform" }}}
		for i := range n {
			if err := c.platform.Put(hbs.ObjectClaim, fmt.Sprintf("%064d", i), stored(i%100 == 0, bytes)); err != nil {
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
		c.base = heap()
		f(NewWithT(t), c)
		cancel()
		wg.Wait()
		time.Sleep(network.DialTimeout)
	})
}

var measure = flag.Bool("sizes", false, "measure the collection of many claims")

func TestSizes(t *testing.T) {
	if !*measure {
		t.Skip("give -sizes to measure")
	}
	suiteT = t
	for _, bytes := range []int{1 << 10, 16 << 10} {
		for _, n := range []int{1_000, 10_000, 100_000} {
			if n*bytes > 1<<28 {
				continue
			}
			sizes(n, bytes, func(_ Gomega, c *collection) {
				began := time.Now()
				err := c.store.Collect(context.Background())
				var calls []string
				for kind, k := range c.platform.Calls() {
					calls = append(calls, fmt.Sprintf("%s %d", kind.Verb, k))
				}
				t.Logf("%d claims of %d B: %s; %d B with the platform; largest answer %d B, %d B in use; %v, error %v",
					n, bytes, strings.Join(calls, ", "), c.host.Bytes()["platform"], c.largest, c.live, time.Since(began).Round(time.Millisecond), err)
			})
		}
	}
}
