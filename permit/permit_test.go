package permit_test

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
	"github.com/hornbeamstage/hornbeamstage/permit"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
)

var suiteT *testing.T

func TestPermit(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "permit")
}

// longestLoad is less than the default of permit.cover.
const longestLoad = 7 * time.Second

// yard is some instances that load under permits, and counts the loads.
type yard struct {
	random  *objects.RandomPlans
	mu      sync.Mutex
	running int
	most    int
	loads   int
}

// work loads under permits until ctx ends. A load that was started runs to its
// end, whatever becomes of the permit.
func (y *yard) work(ctx context.Context, p *permit.Pool, wg *conc.WaitGroup) {
	for ctx.Err() == nil {
		m, err := p.Acquire(ctx, "e")
		if err != nil {
			return
		}
		if y.random.Span(2) > 1 {
			time.Sleep(y.random.Span(40 * time.Second))
		}
		if m.Check() == nil {
			done := y.load(wg)
			if y.random.Span(4) > 1 {
				<-done
			}
		}
		free, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if y.random.Span(4) > 1 {
			time.Sleep(longestLoad)
			m.Release(free)
		} else {
			m.Forget()
		}
		cancel()
	}
}

func (y *yard) load(wg *conc.WaitGroup) <-chan struct{} {
	y.mu.Lock()
	y.loads++
	y.running++
	y.most = max(y.most, y.running)
	d := longestLoad
	y.mu.Unlock()
	done := make(chan struct{})
	wg.Go(func() {
		time.Sleep(d)
		y.mu.Lock()
		y.running--
		y.mu.Unlock()
		close(done)
	})
	return done
}

var _ = Describe("Pool", func() {
	DescribeTable("never lets more loads run than it has slots (P1 to P3)", func(slots int, seed uint64) {
		y := &yard{random: &objects.RandomPlans{
			Rand: rand.New(rand.NewPCG(seed, 3)), Faults: 0.3,
			Late: 30 * time.Second, Pause: 40 * time.Second,
		}}
		synctest.Test(suiteT, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			shared := &objects.Store{}
			var wg conc.WaitGroup
			for i := range 5 {
				p := &permit.Pool{
					Name: "load", Limit: func() int { return slots }, Platform: &objects.Client{Store: shared, Plan: y.random.Plan},
					Self: hbs.Instance{ID: hbs.InstanceID(fmt.Sprintf("r%d", i))}, Policy: knob.NewFixed(permit.Knobs), Metrics: metrics.NewRegistry(),
				}
				wg.Go(func() { y.work(ctx, p, &wg) })
			}
			time.Sleep(16 * time.Hour)
			cancel()
			wg.Wait()
		})
		Expect(y.most).To(Equal(slots))
		Expect(y.loads).To(BeNumerically(">", 100))
		AddReportEntry(fmt.Sprintf("%d loads in 16 h, %d at once", y.loads, y.most))
	},
		Entry("one slot, seed 1", 1, uint64(1)),
		Entry("one slot, seed 2", 1, uint64(2)),
		Entry("two slots, seed 3", 2, uint64(3)),
	)
})
