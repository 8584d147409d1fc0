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
	// sample is the time between two looks at who holds the lease.
	sample = 50 * time.Millisecond
	// grant is the default of lease.duration less that of lease.margin.
	grant = 7 * time.Second
	// gap is the sum of the defaults of lease.margin and lease.order_lifetime,
	// less the error of sampling.
	gap = 4*time.Second - 2*sample
)

type directory struct{ roster hbs.Roster }

func (d *directory) Roster() *hbs.Roster      { return &d.roster }
func (d *directory) Changed() <-chan struct{} { return nil }

// domain is three instances that want one lease.
type domain struct {
	keepers []*lease.Keeper
	clients []*objects.Client
	wg      conc.WaitGroup
	mu      sync.Mutex
	random  *objects.RandomPlans
}

// newDomain starts the instances. wrap makes what they see of the store; nil is
// the store itself.
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
		k := &lease.Keeper{Platform: seen, Self: self, Directory: dir, Policy: knob.NewFixed(lease.Knobs), Metrics: metrics.NewRegistry()}
		d.keepers = append(d.keepers, k)
		d.clients = append(d.clients, client)
		d.wg.Go(func() { _ = k.Run(ctx) })
	}
	return d
}

// holder returns the one that holds the lease, and how many do.
func (d *domain) holder() (at int, fence uint64, n int) {
	for i, k := range d.keepers {
		if f, ok := k.Fence(); ok {
			at, fence, n = i, f, n+1
		}
	}
	return at, fence, n
}

// watch checks for a time that there is one holder at most, that fencing numbers
// grow, and that the margin and an order's lifetime lie between two holders. It returns the
// number of terms.
func (d *domain) watch(span time.Duration) (terms int, broken string) {
	last, lastFence := time.Time{}, uint64(0)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(sample) {
		_, fence, n := d.holder()
		switch {
		case n > 1:
			return terms, "two holders"
		case n == 0:
			continue
		case fence < lastFence:
			return terms, "fencing number went back"
		case fence > lastFence && lastFence > 0 && time.Since(last) < gap:
			return terms, fmt.Sprintf("next holder %v after the last", time.Since(last))
		}
		if fence != lastFence {
			terms++
		}
		last, lastFence = time.Now(), fence
	}
	return terms, ""
}

// inDomain runs test in a bubble.
func inDomain(seed uint64, faults float64, test func(g Gomega, d *domain)) {
	inDomainThat(seed, faults, nil, test)
}

func inDomainThat(seed uint64, faults float64, wrap func(*objects.Client) hbs.Platform, test func(g Gomega, d *domain)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		d := newDomain(ctx, seed, faults, wrap)
		test(NewWithT(t), d)
		cancel()
		d.wg.Wait()
	})
}

// behind is the age of what lagging reads return.
const behind = 5 * time.Second

// lagging is a store whose cheap reads tell what was there a while ago.
type lagging struct {
	*objects.Client
	mu   sync.Mutex
	read []reading
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
	l.read = append(l.read, reading{time.Now(), obj})
	for len(l.read) > 1 && time.Since(l.read[1].at) >= behind {
		l.read = l.read[1:]
	}
	return l.read[0].obj, nil
}

var _ = Describe("Keeper", func() {
	It("never has two holders though reads are behind, and finds a new one all the same (L3)", func() {
		lags := func(c *objects.Client) hbs.Platform { return &lagging{Client: c} }
		for seed := range uint64(10) {
			inDomainThat(seed, 0.2, lags, func(g Gomega, d *domain) {
				_, broken := d.watch(5 * time.Minute)
				g.Expect(broken).To(BeEmpty(), "seed %d", seed)
			})
		}
		inDomainThat(1, 0, lags, func(g Gomega, d *domain) {
			time.Sleep(10 * time.Second)
			at, fence, _ := d.holder()
			d.clients[at].Kill()
			time.Sleep(40 * time.Second)
			_, next, n := d.holder()
			g.Expect(n).To(Equal(1))
			g.Expect(next).To(Equal(fence + 1))
		})
	})

	It("holds one lease without a break while nothing fails", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			terms, broken := d.watch(10 * time.Minute)
			g.Expect(broken).To(BeEmpty())
			g.Expect(terms).To(Equal(1))
		})
	})

	It("is taken over after the lapse and an order's lifetime when the holder dies (L3, L4)", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			time.Sleep(10 * time.Second)
			at, fence, n := d.holder()
			g.Expect(n).To(Equal(1))
			died := time.Now()
			d.clients[at].Kill()
			for _, f, n := d.holder(); n == 0 || f == fence; _, f, n = d.holder() {
				time.Sleep(sample)
			}
			_, next, _ := d.holder()
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(time.Since(died)).To(BeNumerically("<", 20*time.Second))
		})
	})

	It("counts a renewal that is confirmed late from its first sending (L5)", func() {
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
			_, held := d.keepers[at].Fence()
			g.Expect(confirmed).To(BeTrue())
			g.Expect(held).To(BeFalse())
		})
	})

	DescribeTable("never has two holders under lost answers, late effects and pauses (L1 to L5)", func(faults float64, seed uint64) {
		terms := 0
		for i := range uint64(20) {
			inDomain(seed*1000+i, faults, func(g Gomega, d *domain) {
				n, broken := d.watch(10 * time.Minute)
				g.Expect(broken).To(BeEmpty(), "seed %d", seed*1000+i)
				terms += n
			})
		}
		Expect(terms).To(BeNumerically(">", 20), "the faults provoke takeovers")
		AddReportEntry(fmt.Sprintf("%d terms in 200 minutes", terms))
	},
		Entry("seed 1", 0.3, uint64(1)),
		Entry("seed 2", 0.3, uint64(2)),
		Entry("seed 3", 0.3, uint64(3)),
		Entry("seed 4, two calls in three fail", 0.67, uint64(4)),
	)
})
