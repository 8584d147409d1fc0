package order_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/order"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
)

var suiteT *testing.T

func TestOrder(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "order")
}

var _ = It("is in no state that an order of an unknown kind asks for", func() {
	Expect((&order.State{}).Satisfies(order.Order{Kind: "reboot"})).To(BeFalse())
	s := order.Sender{Metrics: metrics.NewRegistry()}
	err := s.Ensure(context.Background(), &hbs.Endpoint{ID: "e"}, order.Order{Kind: "reboot"}, func() error { return nil })
	Expect(err).To(MatchError(ContainSubstring("unknown kind")))
})

type directory struct{ roster hbs.Roster }

func (d *directory) Roster() *hbs.Roster      { return &d.roster }
func (d *directory) Changed() <-chan struct{} { return nil }

// pausingNetwork simulates a pause of the process in the first connection after
// armed is set: for afterDial between the dial and the check of the lease, and for
// inWrite between the check and the write.
type pausingNetwork struct {
	hbs.Network
	afterDial, inWrite time.Duration
	armed              atomic.Bool
}

// Dial implements hornbeamstage.Network.
func (n *pausingNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, addr)
	if err != nil || !n.armed.CompareAndSwap(true, false) {
		return conn, err
	}
	time.Sleep(n.afterDial)
	return &pausingConn{conn, n.inWrite}, nil
}

// pausingConn simulates a pause of d between the check of the lease and each
// write.
type pausingConn struct {
	net.Conn
	d time.Duration
}

// Write implements net.Conn.
func (c *pausingConn) Write(p []byte) (int, error) {
	time.Sleep(c.d)
	return c.Conn.Write(p)
}

// Close implements net.Conn. A paused process closes the connection only after the
// pause.
func (c *pausingConn) Close() error {
	time.AfterFunc(c.d+time.Millisecond, func() { _ = c.Conn.Close() })
	return nil
}

// fixture is one engine and instances that compete for the lease of its failure
// domain.
type fixture struct {
	Gomega
	ctx      context.Context
	shared   *objects.Store
	dir      *directory
	fabric   *memnet.Fabric
	engine   *engine.Engine
	endpoint hbs.Endpoint
	clients  []*objects.Client
	wg       conc.WaitGroup
}

func withFixture(c hbs.Capabilities, test func(w *fixture)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &fixture{Gomega: NewWithT(t), ctx: ctx, shared: &objects.Store{}, dir: &directory{}, fabric: &memnet.Fabric{}}
		w.engine = &engine.Engine{
			ID: "e", Address: netip.MustParseAddrPort("10.0.0.9:80"), Network: w.fabric.Network("a"), Model: "m", Initial: "v1",
			Capabilities: c, Weights: &engine.WeightStore{LoadTime: 2 * time.Second, MaxFullSpeedLoads: 2}, Shape: engine.Shape{Slots: 1},
		}
		w.endpoint = w.engine.Record("a", "r")
		w.wg.Go(func() { _ = w.engine.Run(ctx) })
		test(w)
		cancel()
		time.Sleep(2 * time.Minute) // let paused writes finish and goroutines see the canceled context
		w.wg.Wait()
	})
}

// instance starts an instance and returns its Sender, which uses n.
func (w *fixture) instance(id hbs.InstanceID, n hbs.Network) *order.Sender {
	self := hbs.Instance{ID: id, Domain: "a", State: hbs.InstanceLive}
	w.dir.roster.Instances = append(w.dir.roster.Instances, self)
	policy := knob.NewFixed(lease.Knobs, order.Knobs)
	client := &objects.Client{Store: w.shared}
	h := &lease.Holder{Platform: client, Self: self, Directory: w.dir, Policy: policy, Metrics: metrics.NewRegistry()}
	w.clients = append(w.clients, client)
	w.wg.Go(func() { _ = h.Run(w.ctx) })
	return &order.Sender{Lease: h, Network: n, Policy: policy, Metrics: metrics.NewRegistry()}
}

// awaitLease waits until s holds the lease.
func (w *fixture) awaitLease(s *order.Sender) {
	for _, ok := s.Lease.Fence(); !ok; _, ok = s.Lease.Fence() {
		time.Sleep(100 * time.Millisecond)
	}
}

// ensureV2 calls Ensure for v2 with a timeout of one minute.
func (w *fixture) ensureV2(s *order.Sender) error {
	ctx, cancel := context.WithTimeout(w.ctx, time.Minute)
	defer cancel()
	return s.Ensure(ctx, &w.endpoint, order.Order{Kind: order.KindLoadWeights, Weights: "v2"}, func() error { return nil })
}

func loadOrder(v hbs.WeightsVersion) order.Order {
	return order.Order{Kind: order.KindLoadWeights, Weights: v}
}

var _ = Describe("Sender", func() {
	It("brings an engine to the desired weights and sends no further orders (O5, O6)", func() {
		withFixture(hbs.Capabilities{ChecksFence: true}, func(w *fixture) {
			s := w.instance("r0", w.fabric.Network("a"))
			w.awaitLease(s)
			w.Expect(w.ensureV2(s)).To(Succeed())
			w.Expect(w.ensureV2(s)).To(Succeed())
			w.Expect(w.engine.Orders()).To(HaveLen(1))
		})
	})

	It("sends the order again if the engine crashes while loading (O6)", func() {
		withFixture(hbs.Capabilities{}, func(w *fixture) {
			s := w.instance("r0", w.fabric.Network("a"))
			w.awaitLease(s)
			w.wg.Go(func() {
				time.Sleep(time.Second)
				w.Expect(w.engine.Orders()).To(HaveLen(1))
				w.engine.Crash(500 * time.Millisecond)
			})
			w.Expect(w.ensureV2(s)).To(Succeed())
			w.Expect(len(w.engine.Orders())).To(BeNumerically(">", 1))
		})
	})

	It("sends nothing after a pause in which its lease expired (O2)", func() {
		withFixture(hbs.Capabilities{}, func(w *fixture) {
			n := &pausingNetwork{Network: w.fabric.Network("a"), afterDial: 15 * time.Second}
			s := w.instance("r0", n)
			s.Policy = knob.NewFixed(lease.Knobs, order.Knobs).With(lease.KnobOrderLifetime, 30)
			w.awaitLease(s)
			n.armed.Store(true)
			w.clients[0].Kill()
			w.Expect(s.Send(context.Background(), &w.endpoint, loadOrder("v0"))).To(MatchError(lease.ErrNotHeld))
			w.Expect(w.engine.Orders()).To(BeEmpty())
		})
	})

	// The first holder is paused between the check of the lease and the write of an
	// order for v0. In the meantime the second holder orders v2.
	DescribeTable("a holder resumes after a pause in the middle of an order", func(c hbs.Capabilities, wantOrders int) {
		withFixture(c, func(w *fixture) {
			n := &pausingNetwork{Network: w.fabric.Network("a"), inWrite: time.Minute}
			first := w.instance("r0", n)
			w.awaitLease(first)
			n.armed.Store(true)
			w.wg.Go(func() { _ = first.Send(context.Background(), &w.endpoint, loadOrder("v0")) })
			w.clients[0].Kill()
			second := w.instance("r1", w.fabric.Network("a"))
			w.awaitLease(second)
			w.Expect(w.ensureV2(second)).To(Succeed())
			time.Sleep(2 * time.Minute)
			w.Expect(w.engine.Orders()).To(HaveLen(wantOrders))
			w.Expect(w.ensureV2(second)).To(Succeed())
		})
	},
		Entry("engine that checks the fencing number (O1)", hbs.Capabilities{ChecksFence: true}, 1),
		Entry("engine that checks only the expiry (O3)", hbs.Capabilities{}, 1),
	)

	It("corrects an engine that checks nothing and executed a late order (O6)", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			w := &fixture{Gomega: g, ctx: ctx, shared: &objects.Store{}, dir: &directory{}, fabric: &memnet.Fabric{}}
			e := &uncheckedEngine{weights: "v1"}
			addr := netip.MustParseAddrPort("10.0.0.9:80")
			l, err := w.fabric.Network("a").Listen(addr)
			g.Expect(err).NotTo(HaveOccurred())
			srv := &http.Server{Handler: e}
			w.wg.Go(func() { _ = srv.Serve(l) })
			w.endpoint = hbs.Endpoint{ID: "e", Domain: "a", Address: addr}
			n := &pausingNetwork{Network: w.fabric.Network("a"), inWrite: time.Minute}
			first := w.instance("r0", n)
			w.awaitLease(first)
			n.armed.Store(true)
			w.wg.Go(func() { _ = first.Send(context.Background(), &w.endpoint, loadOrder("v0")) })
			w.clients[0].Kill()
			second := w.instance("r1", w.fabric.Network("a"))
			w.awaitLease(second)
			g.Expect(w.ensureV2(second)).To(Succeed())
			time.Sleep(2 * time.Minute)
			g.Expect(e.received()).To(Equal([]hbs.WeightsVersion{"v2", "v0"}), "the late order is executed")
			g.Expect(w.ensureV2(second)).To(Succeed())
			g.Expect(e.received()).To(Equal([]hbs.WeightsVersion{"v2", "v0", "v2"}))
			cancel()
			g.Expect(srv.Close()).To(Succeed())
			w.wg.Wait()
		})
	})
})
