package hedge_test

import (
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/hedge"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/retry"
)

func TestHedge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge")
}

// ordinary and slow are slownesses of endpoints.
const (
	ordinary = 1
	slow     = 3
)

// shared is how many of the default burst go to endpoints that are not slow:
// one more than half, since exactly half is still ample.
const shared = 5

// interposer runs between when the burst of the retries is read for the first
// time, as another goroutine may.
type interposer struct {
	hbs.Policy
	between func()
}

func (i *interposer) Number(key hbs.KnobKey, scope hbs.Scope) float64 {
	if between := i.between; key == retry.KnobBurst && between != nil {
		i.between = nil
		between()
	}
	return i.Policy.Number(key, scope)
}

func newPolicy(knobs hbs.Policy) *hedge.Policy {
	return &hedge.Policy{
		Budget:  &retry.Budget{Knobs: knobs, Share: hedge.KnobShare, Burst: hedge.KnobBurst},
		Retries: &retry.Budget{Knobs: knobs, Share: retry.KnobShare, Burst: retry.KnobBurst},
		Knobs:   knobs,
		Metrics: metrics.NewRegistry(),
	}
}

var _ = Describe("the half kept for slow endpoints (hedge rule 8)", func() {
	req := &hbs.Request{Workspace: "ws", Model: "m", Class: hbs.ClassRepeatable}
	knobs := knob.NewFixed(retry.Knobs, hedge.Knobs)

	It("is not touched when others spend during a decision", func() {
		i := &interposer{Policy: knobs}
		p := newPolicy(i)
		i.between = func() {
			for range shared {
				Expect(p.Budget.Spend(retry.ScopeOf(req))).To(BeTrue())
			}
		}
		Expect(p.Allow(req, ordinary)).To(BeFalse())
		Expect(p.Allow(req, slow)).To(BeTrue())
	})

	It("is not touched by hedges that start at one instant", func() {
		const rounds, together = 500, 64
		for range rounds {
			p := newPolicy(knobs)
			var allowed atomic.Int64
			var wg conc.WaitGroup
			for range together {
				wg.Go(func() {
					if p.Allow(req, ordinary) {
						allowed.Add(1)
					}
				})
			}
			wg.Wait()
			Expect(allowed.Load()).To(BeEquivalentTo(shared))
		}
	})
})
