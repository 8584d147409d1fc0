package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
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
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
)

var suiteT *testing.T

func TestLease(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

const (
	// samplingInterval is the interval at which tests check who holds the lease.
	samplingInterval = 50 * time.Millisecond
	// grant is the default of lease.duration minus that of lease.margin.
	grant = 7 * time.Second
	// minHandover is the shortest time between two holders: the sum of the defaults
	// of lease.margin and lease.order_lifetime, minus the sampling error.
	minHandover = 4*time.Second - 2*samplingInterval
)

type directory struct{ roster hbs.Roster }

func (d *directory) Roster() *hbs.Roster      { return &d.roster }
func (d *directory) Changed() <-chan struct{} { return nil }

// domain is a failure domain with three instances that compete for its lease.
type domain struct {
	holders []*lease.Holder
	clients []*objects.Client
	wg      conc.WaitGroup
	mu      sync.Mutex
	random  *objects.RandomPlans
}

// newDomain starts the instances. wrap returns the platform that an instance uses
// instead of its client of the store; nil leaves the client.
func newDomain(ctx context.Context, seed uint64, faults float64, wrap func(*objects.Client) hbs.Platform) *domain {
	d := &domain{random: &objects.RandomPlans{
		Rand: rand.New(rand.NewPCG(seed, 0)), Faults: faults,
		Late: 15 * time.Second, Pause: 20 * time.Second, Slow: 3 * time.Second,
	}}
	shared := &objects.Store{}
	dir := &directory{}
	for i := range 3 {
		dir.roster.Instances = append(dir.roster.Instances,
			hbs.Instance{ID: hbs.InstanceID(fmt.Sprintf("r%d", i)), Domain: "a", State: hbs.InstanceLive})
	}
	for _, self := range dir.roster.Instances {
		client := &objects.Client{Store: shared, Plan: d.random.Plan}
		seen := hbs.Platform(client)
		if wrap != nil {
			seen = wrap(client)
		}
		h := &lease.Holder{Platform: seen, Self: self, Directory: dir, Policy: knob.NewFixed(lease.Knobs), Metrics: metrics.NewRegistry()}
		d.holders = append(d.holders, h)
		d.clients = append(d.clients, client)
		d.wg.Go(func() { _ = h.Run(ctx) })
	}
	return d
}

// holder returns the index and fencing number of an instance that holds the lease,
// and the number of instances that do.
func (d *domain) holder() (at int, fence uint64, n int) {
	for i, h := range d.holders {
		if f, ok := h.Fence(); ok {
			at, fence, n = i, f, n+1
		}
	}
	return at, fence, n
}

// watchHolders checks for span that there is at most one holder, that fencing
// numbers do not decrease, and that at least minHandover passes between two holders.
// It returns the number of terms and the first violation.
func (d *domain) watchHolders(span time.Duration) (terms int, violation string) {
	last, lastFence := time.Time{}, uint64(0)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(samplingInterval) {
		_, fence, n := d.holder()
		switch {
		case n > 1:
			return terms, "two holders"
		case n == 0:
			continue
		case fence < lastFence:
			return terms, "fencing number decreased"
		case fence > lastFence && lastFence > 0 && time.Since(last) < minHandover:
			return terms, fmt.Sprintf("next holder %v after the previous one", time.Since(last))
		}
		if fence != lastFence {
			terms++
		}
		last, lastFence = time.Now(), fence
	}
	return terms, ""
}

// inDomain runs test on a domain in a synctest bubble.
func inDomain(seed uint64, faults float64, test func(g Gomega, d *domain)) {
	inWrappedDomain(seed, faults, nil, test)
}

func inWrappedDomain(seed uint64, faults float64, wrap func(*objects.Client) hbs.Platform, test func(g Gomega, d *domain)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		d := newDomain(ctx, seed, faults, wrap)
		test(NewWithT(t), d)
		cancel()
		d.wg.Wait()
	})
}

// readLag is the age of the objects that stale reads return.
const readLag = 5 * time.Second

// lagging is a store whose stale reads return objects as they were readLag ago.
type lagging struct {
	*objects.Client
	mu       sync.Mutex
	readings []reading
}

type reading struct {
	at  time.Time
	obj hbs.Object
}

// GetStale implements hornbeamstage.StaleReader.
func (l *lagging) GetStale(ctx context.Context, kind hbs.ObjectKind, name string) (hbs.Object, error) {
	obj, err := l.Get(ctx, kind, name)
	if err != nil {
		return obj, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readings = append(l.readings, reading{time.Now(), obj})
	for len(l.readings) > 1 && time.Since(l.readings[1].at) >= readLag {
		l.readings = l.readings[1:]
	}
	return l.readings[0].obj, nil
}

var _ = Describe("Holder", func() {
	It("never has two holders although reads are stale, and still replaces a dead one (L3)", func() {
		lags := func(c *objects.Client) hbs.Platform { return &lagging{Client: c} }
		for seed := range uint64(10) {
			inWrappedDomain(seed, 0.2, lags, func(g Gomega, d *domain) {
				_, violation := d.watchHolders(5 * time.Minute)
				g.Expect(violation).To(BeEmpty(), "seed %d", seed)
			})
		}
		inWrappedDomain(1, 0, lags, func(g Gomega, d *domain) {
			time.Sleep(10 * time.Second)
			at, fence, _ := d.holder()
			d.clients[at].Kill()
			time.Sleep(40 * time.Second)
			_, next, n := d.holder()
			g.Expect(n).To(Equal(1))
			g.Expect(next).To(Equal(fence + 1))
		})
	})

	It("holds one lease without interruption while nothing fails", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			terms, violation := d.watchHolders(10 * time.Minute)
			g.Expect(violation).To(BeEmpty())
			g.Expect(terms).To(Equal(1))
		})
	})

	It("is replaced within 20 s after the holder dies, with the next fencing number (L3, L4)", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			time.Sleep(10 * time.Second)
			at, fence, n := d.holder()
			g.Expect(n).To(Equal(1))
			died := time.Now()
			d.clients[at].Kill()
			for _, f, n := d.holder(); n == 0 || f == fence; _, f, n = d.holder() {
				time.Sleep(samplingInterval)
			}
			_, next, _ := d.holder()
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(time.Since(died)).To(BeNumerically("<", 20*time.Second))
		})
	})

	It("starts the grant of a renewal that is confirmed late when it was first sent (L5)", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			time.Sleep(10 * time.Second)
			at, _, _ := d.holder()
			var sent time.Time
			var confirmed bool
			d.clients[at].Replan(func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
				d.mu.Lock()
				defer d.mu.Unlock()
				if sent.IsZero() {
					sent = time.Now()
				}
				switch {
				case confirmed, op == objects.OpGet && time.Since(sent) < 2*time.Second:
					return objects.Plan{Fault: objects.FaultRefused}
				case op == objects.OpGet:
					confirmed = true
				case op == objects.OpUpdate && time.Since(sent) < 2*time.Second:
					return objects.Plan{Fault: objects.FaultLost}
				}
				return objects.Plan{}
			})
			time.Sleep(4 * time.Second)
			d.mu.Lock()
			end := sent.Add(grant)
			d.mu.Unlock()
			time.Sleep(time.Until(end))
			d.mu.Lock()
			defer d.mu.Unlock()
			_, held := d.holders[at].Fence()
			g.Expect(confirmed).To(BeTrue())
			g.Expect(held).To(BeFalse())
		})
	})

	DescribeTable("never has two holders under lost responses, late effects and pauses (L1 to L5)", func(faults float64, seed uint64) {
		terms := 0
		for i := range uint64(20) {
			inDomain(seed*1000+i, faults, func(g Gomega, d *domain) {
				n, violation := d.watchHolders(10 * time.Minute)
				g.Expect(violation).To(BeEmpty(), "seed %d", seed*1000+i)
				terms += n
			})
		}
		Expect(terms).To(BeNumerically(">", 20), "the faults cause takeovers")
		AddReportEntry(fmt.Sprintf("%d terms in 200 minutes", terms))
	},
		Entry("seed 1", 0.3, uint64(1)),
		Entry("seed 2", 0.3, uint64(2)),
		Entry("seed 3", 0.3, uint64(3)),
		Entry("seed 4, two calls in three fail", 0.67, uint64(4)),
	)
})
