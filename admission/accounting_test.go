package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/admission"
	"github.com/hornbeamstage/hornbeamstage/knob"
)

// changingPolicy is a policy that a test replaces.
type changingPolicy struct{ hbs.Policy }

var _ = Describe("the accounting of a controller", func() {
	It("releases the place of long work whose requests stopped counting as long meanwhile", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakePlacer(1, 4)
			policy := &changingPolicy{knob.NewFixed(admission.Knobs).With(admission.KnobLongTokens, 10).With(admission.KnobLongSlots, 0.25)}
			c := &admission.Controller{Placer: s, Directory: s, Policy: policy, Metrics: metrics.NewRegistry()}
			long := &hbs.Request{ID: "r", Model: "m", ExpectedTokens: 1000, Deadline: time.Now().Add(time.Hour)}
			p, err := c.Place(context.Background(), long)
			g.Expect(err).NotTo(HaveOccurred())
			_, ok := c.TryPlace(long, nil)
			g.Expect(ok).To(BeFalse(), "the only place for long work is taken")
			limited := policy.Policy
			policy.Policy = knob.NewFixed(admission.Knobs).With(admission.KnobLongTokens, 1e6)
			c.Finish(long, &p, hbs.AttemptResult{End: hbs.EndComplete, OutputTokens: 1})
			policy.Policy = limited
			_, ok = c.TryPlace(long, nil)
			g.Expect(ok).To(BeTrue())
		})
	})

	// Guards against long work that waits until its deadline for a place at endpoints that
	// get no new work, as their weights are too old or they leave.
	It("refuses long work at once if the endpoints whose places it has taken get no new work", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakePlacer(1, 4)
			policy := knob.NewFixed(admission.Knobs).With(admission.KnobLongTokens, 10).With(admission.KnobLongSlots, 0.25)
			c := &admission.Controller{Placer: s, Directory: s, Policy: policy, Metrics: metrics.NewRegistry()}
			long := &hbs.Request{ID: "r", Model: "m", ExpectedTokens: 1000, Deadline: time.Now().Add(time.Hour)}
			_, err := c.Place(context.Background(), long)
			g.Expect(err).NotTo(HaveOccurred())
			s.endpoints[0].State = hbs.StateDraining
			asked := time.Now()
			_, err = c.Place(context.Background(), long)
			g.Expect(hbs.AsRefusal(err).Reason).To(Equal(hbs.ReasonNoEndpoint))
			g.Expect(time.Since(asked)).To(BeZero())
		})
	})

	// See above: endpoints of other models counted too.
	It("refuses long work at once if only endpoints of another model have their places taken", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakePlacer(2, 4)
			s.endpoints[1].Model, s.byModel = "n", true
			policy := knob.NewFixed(admission.Knobs).With(admission.KnobLongTokens, 10).With(admission.KnobLongSlots, 0.25)
			c := &admission.Controller{Placer: s, Directory: s, Policy: policy, Metrics: metrics.NewRegistry()}
			long := func(model hbs.ModelName) *hbs.Request {
				return &hbs.Request{ID: "r", Model: model, ExpectedTokens: 1000, Deadline: time.Now().Add(time.Hour)}
			}
			_, err := c.Place(context.Background(), long("n"))
			g.Expect(err).NotTo(HaveOccurred())
			s.endpoints[0].State = hbs.StateDraining
			asked := time.Now()
			_, err = c.Place(context.Background(), long("m"))
			g.Expect(hbs.AsRefusal(err).Reason).To(Equal(hbs.ReasonNoEndpoint))
			g.Expect(time.Since(asked)).To(BeZero())
		})
	})

	It("counts the waiting requests of all queues", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakePlacer(1, 1)
			c := &admission.Controller{Placer: s, Directory: s, Policy: knob.NewFixed(admission.Knobs), Metrics: metrics.NewRegistry()}
			ctx, cancel := context.WithCancel(context.Background())
			var wg conc.WaitGroup
			for _, model := range []hbs.ModelName{"a", "a", "a", "b", "c"} {
				wg.Go(func() {
					_, _ = c.Place(ctx, &hbs.Request{ID: "r", Model: model, ExpectedTokens: 1})
				})
				synctest.Wait()
			}
			queued := metrics.GetOrRegisterGauge("admission_queued", c.Metrics)
			g.Expect(queued.Value()).To(BeEquivalentTo(4))
			cancel()
			wg.Wait()
			g.Expect(queued.Value()).To(BeZero())
		})
	})
})
