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

// loadTime is the duration of a load; it is less than the default of
// permit.cover.
const loadTime = 7 * time.Second

// loadTest runs loads under permits on several instances and counts them.
type loadTest struct {
	faults     *objects.RandomPlans
	mu         sync.Mutex
	running    int
	maxRunning int
	loads      int
}

// work runs loads under permits until ctx ends. A load that was started runs to
// its end, even if its permit expires.
func (t *loadTest) work(ctx context.Context, p *permit.Pool, wg *conc.WaitGroup) {
	for ctx.Err() == nil {
		m, err := p.Acquire(ctx, "e")
		if err != nil {
			return
		}
		if t.faults.Span(2) > 1 {
			time.Sleep(t.faults.Span(40 * time.Second))
		}
		if m.Check() == nil {
			done := t.load(wg)
			if t.faults.Span(4) > 1 {
				<-done
			}
		}
		free, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if t.faults.Span(4) > 1 {
			time.Sleep(loadTime)
			m.Release(free)
		} else {
			m.Abandon()
		}
		cancel()
	}
}

func (t *loadTest) load(wg *conc.WaitGroup) <-chan struct{} {
	t.mu.Lock()
	t.loads++
	t.running++
	t.maxRunning = max(t.maxRunning, t.running)
	d := loadTime
	t.mu.Unlock()
	done := make(chan struct{})
	wg.Go(func() {
		time.Sleep(d)
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
		close(done)
	})
	return done
}

var _ = Describe("Pool", func() {
	DescribeTable("never lets more loads run than it has slots (P1 to P3)", func(slots int, seed uint64) {
		t := &loadTest{faults: &objects.RandomPlans{
			Rand: rand.New(rand.NewPCG(seed, 3)), Faults: 0.3,
			Late: 30 * time.Second, Pause: 40 * time.Second,
		}}
		synctest.Test(suiteT, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			shared := &objects.Store{}
			var wg conc.WaitGroup
			for i := range 5 {
				p := &permit.Pool{
					Name: "load", Limit: func() int { return slots }, Platform: &objects.Client{Store: shared, Plan: t.faults.Plan},
					Self: hbs.Instance{ID: hbs.InstanceID(fmt.Sprintf("r%d", i))}, Policy: knob.NewFixed(permit.Knobs), Metrics: metrics.NewRegistry(),
				}
				wg.Go(func() { t.work(ctx, p, &wg) })
			}
			time.Sleep(16 * time.Hour)
			cancel()
			wg.Wait()
		})
		Expect(t.maxRunning).To(Equal(slots))
		Expect(t.loads).To(BeNumerically(">", 100))
		AddReportEntry(fmt.Sprintf("%d loads in 16 h, %d at once", t.loads, t.maxRunning))
	},
		Entry("one slot, seed 1", 1, uint64(1)),
		Entry("one slot, seed 2", 1, uint64(2)),
		Entry("two slots, seed 3", 2, uint64(3)),
	)
})
