package burn_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
)

var suite *testing.T

func TestBurn(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn")
}

var objectives = []burn.Objective{
	{Kind: burn.FirstToken, Threshold: 480 * time.Millisecond, Target: 0.95},
	{Kind: burn.Availability, Target: 0.999},
	{Kind: burn.CompleteAnswers, Workspace: "w1", Target: 0.9999},
}

func newTracker(id hbs.InstanceID) *burn.Tracker {
	return &burn.Tracker{Instance: id, Objectives: func() []burn.Objective { return objectives }}
}

func answered(ttft time.Duration) burn.Sample {
	return burn.Sample{Workspace: "w1", Model: "m", Outcome: hbs.OutcomeAnswered, FirstToken: ttft, Began: true}
}

var _ = Describe("Tracker", func() {
	It("computes the burn rate as the bad share divided by the allowed share", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			tracker := newTracker("a")
			for range 9 {
				tracker.Observe(answered(time.Millisecond))
			}
			tracker.Observe(answered(time.Second))
			row := find(tracker.Report(), burn.FirstToken)
			g.Expect(row.Rate(0)).To(BeNumerically("~", 2, 1e-9))
		})
	})

	It("drops requests that have left a window and still counts them in a longer one", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			tracker := newTracker("a")
			tracker.Observe(answered(time.Second))
			time.Sleep(6 * time.Minute)
			row := find(tracker.Report(), burn.FirstToken)
			g.Expect(row.Counts[0]).To(Equal(burn.Count{}))
			g.Expect(row.Counts[1]).To(Equal(burn.Count{Bad: 1}))
		})
	})

	It("raises the page alarm only if the rate is high in both windows", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			tracker := newTracker("a")
			tracker.Observe(answered(time.Second))
			g.Expect(find(tracker.Report(), burn.FirstToken).Alarms()).To(ContainElement("page"))
			time.Sleep(6 * time.Minute)
			g.Expect(find(tracker.Report(), burn.FirstToken).Alarms()).NotTo(ContainElement("page"))
		})
	})

	It("does not count callers' errors or cancellations", func() {
		tracker := newTracker("a")
		tracker.Observe(burn.Sample{Workspace: "w1", Model: "m", Outcome: hbs.OutcomeNotRun, Reason: hbs.ReasonBadRequest})
		tracker.Observe(burn.Sample{Workspace: "w1", Model: "m", Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCanceled, Began: true})
		Expect(tracker.Report().Rows).To(BeEmpty())
	})
})

var _ = Describe("Report", func() {
	It("merges the reports of instances and round-trips through JSON", func() {
		a, b := newTracker("a"), newTracker("b")
		a.Observe(answered(100 * time.Millisecond))
		b.Observe(answered(time.Second))
		var buf bytes.Buffer
		Expect(b.Report().Write(&buf, burn.FormatJSON)).To(Succeed())
		var decoded burn.Report
		Expect(json.Unmarshal(buf.Bytes(), &decoded)).To(Succeed())
		Expect(decoded.Validate()).To(Succeed())
		merged := a.Report()
		merged.Merge(&decoded)
		Expect(merged.Instances).To(Equal([]hbs.InstanceID{"a", "b"}))
		Expect(find(merged, burn.FirstToken).Counts[0]).To(Equal(burn.Count{Good: 1, Bad: 1}))
		Expect(merged.Latencies[0].Histogram.Quantile(1)).To(BeNumerically("~", time.Second, 20*time.Millisecond))
	})

	It("lists the instances that did not respond", func() {
		r := newTracker("a").Report()
		r.Missing = []hbs.InstanceID{"b"}
		var buf bytes.Buffer
		Expect(r.Write(&buf, burn.FormatText)).To(Succeed())
		Expect(buf.String()).To(ContainSubstring("no answer from: [b]"))
	})

	It("draws a chart with and without rows", func() {
		tracker := newTracker("a")
		var buf bytes.Buffer
		Expect(tracker.Report().Write(&buf, burn.FormatSVG)).To(Succeed())
		tracker.Observe(answered(time.Second))
		Expect(tracker.Report().Write(&buf, burn.FormatSVG)).To(Succeed())
		Expect(buf.String()).To(ContainSubstring("<svg"))
	})
})

func find(r *burn.Report, kind burn.ObjectiveKind) *burn.Row {
	for i := range r.Rows {
		if r.Rows[i].Objective.Kind == kind {
			return &r.Rows[i]
		}
	}
	return nil
}
