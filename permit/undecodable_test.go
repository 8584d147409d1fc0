package permit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/permit"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
)

var _ = Describe("a search for a permit", func() {
	// search looks for a permit of one slot for a minute and returns the log.
	search := func(g Gomega, client *objects.Client) (logs *observer.ObservedLogs, registry metrics.Registry) {
		core, logs := observer.New(zap.DebugLevel)
		registry = metrics.NewRegistry()
		p := &permit.Pool{
			Name: "load", Limit: func() int { return 1 }, Platform: client, Self: hbs.Instance{ID: "r"},
			Policy: knob.NewFixed(permit.Knobs), Metrics: registry, Log: zap.New(core),
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := p.Acquire(ctx, "e")
		g.Expect(err).To(HaveOccurred())
		return logs, registry
	}

	It("logs a slot that can't be decoded once, and leaves it", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			client := &objects.Client{Store: &objects.Store{}}
			_, err := client.Create(t.Context(), hbs.Object{Kind: hbs.ObjectPermit, Name: "load.0", Value: []byte(`{"holder":"x"}`)})
			g.Expect(err).NotTo(HaveOccurred())
			logs, _ := search(g, client)
			lines := logs.FilterMessage("permit slot can't be decoded").All()
			g.Expect(lines).To(HaveLen(1))
			g.Expect(lines[0].ContextMap()).To(HaveKeyWithValue("name", "load.0"))
		})
	})

	It("logs the begin and the end of a time in which the slots can't be read, and counts the reads that fail", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Now()
			client := &objects.Client{Store: &objects.Store{}, Plan: func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
				if op != objects.OpList || time.Since(start) < 30*time.Second {
					return objects.Plan{Fault: objects.FaultRefused}
				}
				return objects.Plan{}
			}}
			logs, registry := search(g, client)
			g.Expect(logs.FilterMessage("permits can't be read").Len()).To(Equal(1))
			g.Expect(logs.FilterMessage("permits can be read again").Len()).To(Equal(1))
			g.Expect(registry.Get("permit_read_failures").(metrics.Counter).Count()).To(BeNumerically(">", 100))
		})
	})
})
