package straggler_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/straggler"
)

func TestStraggler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "straggler")
}

var _ = Describe("Evaluate", func() {
	var scores []*straggler.Score
	now := time.Unix(1_000_000, 0)

	BeforeEach(func() {
		scores = nil
		for range 9 {
			scores = append(scores, &straggler.Score{})
		}
	})

	observe := func(ratios ...float64) {
		for range 10 {
			for i, r := range ratios {
				scores[i].Observe(r, now)
			}
		}
	}

	ejected := func() (n int) {
		for _, s := range scores {
			if s.Ejected() {
				n++
			}
		}
		return n
	}

	It("detects one slow endpoint (rule 3)", func() {
		observe(5, 1, 1, 1, 1, 1, 1, 1, 1)
		straggler.Evaluate(scores, now)
		Expect(scores[0].Slowness()).To(BeNumerically(">", 3))
		Expect(scores[0].Ejected()).To(BeTrue())
		Expect(scores[1].Slowness()).To(Equal(1.0))
		Expect(ejected()).To(Equal(1))
	})

	It("detects no straggler if all endpoints are slow (rule 3)", func() {
		observe(5, 5, 5, 5, 5, 5, 5, 5, 5)
		straggler.Evaluate(scores, now)
		Expect(scores[0].Slowness()).To(Equal(1.0))
		Expect(ejected()).To(BeZero())
	})

	It("ejects at most a third of the endpoints, the slowest first (rule 4)", func() {
		observe(9, 8, 8, 7, 1, 1, 1, 1, 1)
		straggler.Evaluate(scores, now)
		Expect(ejected()).To(Equal(3))
		Expect(scores[3].Ejected()).To(BeFalse())
		Expect(scores[3].Slowness()).To(BeNumerically(">", 3))
	})

	It("counts an overdue first token immediately (rule 2)", func() {
		scores[0].SetOverdue(straggler.Ratio(2*time.Second, 100*time.Millisecond))
		straggler.Evaluate(scores, now)
		Expect(scores[0].Ejected()).To(BeTrue())
		scores[0].SetOverdue(0)
		straggler.Evaluate(scores, now)
		Expect(scores[0].Ejected()).To(BeFalse())
	})

	It("ejects earlier with the evidence of peers than without (rule 2)", func() {
		for range 2 {
			scores[0].Observe(5, now)
		}
		straggler.Evaluate(scores, now)
		Expect(scores[0].Ejected()).To(BeFalse(), "without peers")
		local := scores[0].Local(now)
		scores[0].SetPeers(straggler.Evidence{Sum: 6 * local.Sum, Weight: 6 * local.Weight})
		straggler.Evaluate(scores, now)
		Expect(scores[0].Ejected()).To(BeTrue(), "with six peers that have the same evidence")
		scores[0].SetPeers(straggler.Evidence{Weight: 100})
		straggler.Evaluate(scores, now)
		Expect(scores[0].Slowness()).To(Equal(1.0), "with peers that observed predicted times")
	})

	It("includes an overdue attempt in the evidence for peers before it ends (rule 2)", func() {
		Expect(scores[0].Local(now).Weight).To(BeZero())
		scores[0].SetOverdue(8)
		Expect(scores[0].Local(now).Sum).To(BeNumerically(">", 2))
	})

	It("decays evidence (rule 5)", func() {
		observe(5, 1, 1, 1, 1, 1, 1, 1, 1)
		straggler.Evaluate(scores, now.Add(12*time.Second))
		Expect(scores[0].Slowness()).To(Equal(1.0))
	})

	It("follows the token rate of streams in both directions despite earlier evidence (rule 6)", func() {
		observe(1, 1, 1, 1, 1, 1, 1, 1, 1)
		for range 4 {
			scores[0].ObserveStream(5, now)
		}
		straggler.Evaluate(scores, now)
		Expect(scores[0].Slowness()).To(BeNumerically(">", 1.4))
		for range 4 {
			scores[0].ObserveStream(1, now)
		}
		straggler.Evaluate(scores, now)
		Expect(scores[0].Slowness()).To(Equal(1.0))
	})

	It("does not count noise in short times as slowness (rule 1)", func() {
		Expect(straggler.Ratio(60*time.Millisecond, 10*time.Millisecond)).To(BeNumerically("<", 1.4))
		Expect(straggler.Ratio(5*time.Second, 5*time.Second)).To(Equal(1.0))
	})
})
