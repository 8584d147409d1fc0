package retry_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

const burst = 2

func policy(countRefused bool) *retry.Policy {
	knobs := knob.NewFixed(retry.Knobs).With(retry.KnobBurst, burst).With(retry.KnobAttempts, 9)
	return &retry.Policy{
		Budget: &retry.Budget{Knobs: knobs, Share: retry.KnobShare, Burst: retry.KnobBurst},
		Knobs:  knobs, Metrics: metrics.NewRegistry(), CountRefused: countRefused,
	}
}

// sentOf returns how many attempts were sent when the only one ended in res.
func sentOf(res *attempt.Result) int {
	if res.End == hbs.EndUnreached {
		return 0
	}
	return 1
}

var _ = Describe("Policy", func() {
	repeatable := &hbs.Request{Class: hbs.ClassRepeatable}
	refused := &attempt.Result{AttemptResult: hbs.AttemptResult{End: hbs.EndRefused}}
	unreached := &attempt.Result{
		AttemptResult: hbs.AttemptResult{End: hbs.EndUnreached},
		Refusal:       hbs.NotRun(hbs.ReasonConnect, "", 0),
	}
	// allowed counts how many of ten attempts that end alike are followed by another.
	allowed := func(p *retry.Policy, req *hbs.Request, res *attempt.Result) (n int) {
		for range 10 {
			if p.Allow(req, res, 1, sentOf(res)) {
				n++
			}
		}
		return n
	}

	It("moves refused work without bound where what runs counts (rule 2)", func() {
		Expect(allowed(policy(false), repeatable, refused)).To(Equal(10))
	})

	It("moves refused work within the budget where arrivals count, as when engines shed under overload", func() {
		Expect(allowed(policy(true), repeatable, refused)).To(Equal(burst))
	})

	It("moves what was never sent without bound in either case", func() {
		Expect(allowed(policy(true), repeatable, unreached)).To(Equal(10))
	})

	It("keeps to the attempts of the request (rule 5)", func() {
		once := *repeatable
		once.Attempts = 1
		Expect(allowed(policy(false), &once, refused)).To(BeZero())
		Expect(allowed(policy(false), &once, unreached)).To(Equal(10), "it was sent to none")
	})

	It("goes on with a broken stream only after its last event (rule 1)", func() {
		broken := &attempt.Result{AttemptResult: hbs.AttemptResult{End: hbs.EndBroken}, Sent: true}
		Expect(allowed(policy(false), repeatable, broken)).To(BeZero())
		broken.LastEvent = "7"
		Expect(allowed(policy(false), repeatable, broken)).To(Equal(burst))
		Expect(allowed(policy(false), &hbs.Request{Class: hbs.ClassOnce}, broken)).To(BeZero())
	})
})
