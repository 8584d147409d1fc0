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

// Factors by which an endpoint is slower than expected.
const (
	normal = 1
	slow   = 3
)

// normalHedges is how many hedges of the default burst are available to endpoints
// that are not slow: one more than half, since a balance of exactly half may still
// be spent.
const normalHedges = 5

// readHook calls onRead when the burst of the retries is read for the first time,
// to simulate a concurrent goroutine at that point.
type readHook struct {
	hbs.Policy
	onRead func()
}

func (i *readHook) Number(key hbs.KnobKey, scope hbs.Scope) float64 {
	if onRead := i.onRead; key == retry.KnobBurst && onRead != nil {
		i.onRead = nil
		onRead()
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

var _ = Describe("the reserve for slow endpoints (hedge rule 8)", func() {
	req := &hbs.Request{Workspace: "ws", Model: "m", Class: hbs.ClassRepeatable}
	knobs := knob.NewFixed(retry.Knobs, hedge.Knobs)

	It("is not spent when other goroutines spend during a decision", func() {
		i := &readHook{Policy: knobs}
		p := newPolicy(i)
		i.onRead = func() {
			for range normalHedges {
				Expect(p.Budget.Spend(retry.ScopeOf(req))).To(BeTrue())
			}
		}
		Expect(p.Allow(req, normal)).To(BeFalse())
		Expect(p.Allow(req, slow)).To(BeTrue())
	})

	It("is not spent by concurrent hedges", func() {
		const rounds, together = 500, 64
		for range rounds {
			p := newPolicy(knobs)
			var allowed atomic.Int64
			var wg conc.WaitGroup
			for range together {
				wg.Go(func() {
					if p.Allow(req, normal) {
						allowed.Add(1)
					}
				})
			}
			wg.Wait()
			Expect(allowed.Load()).To(BeEquivalentTo(normalHedges))
		}
	})
})
