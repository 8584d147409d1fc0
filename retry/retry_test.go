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

func newPolicy(countRefused bool) *retry.Policy {
	knobs := knob.NewFixed(retry.Knobs).With(retry.KnobBurst, burst).With(retry.KnobAttempts, 9)
	return &retry.Policy{
		Budget: &retry.Budget{Knobs: knobs, Share: retry.KnobShare, Burst: retry.KnobBurst},
		Knobs:  knobs, Metrics: metrics.NewRegistry(), CountRefused: countRefused,
	}
}

// sentOf returns how many attempts were sent if the only one ended with res.
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
	// allowed returns how many retries are granted to ten attempts that end with res.
	allowed := func(p *retry.Policy, req *hbs.Request, res *attempt.Result) (n int) {
		for range 10 {
			if p.Allow(req, res, 1, sentOf(res)) {
				n++
			}
		}
		return n
	}

	It("retries refused requests without limit by default (rule 2)", func() {
		Expect(allowed(newPolicy(false), repeatable, refused)).To(Equal(10))
	})

	It("retries refused requests within the budget if CountRefused is set, as for engines that shed load", func() {
		Expect(allowed(newPolicy(true), repeatable, refused)).To(Equal(burst))
	})

	It("retries unsent requests without limit even if CountRefused is set (rule 2)", func() {
		Expect(allowed(newPolicy(true), repeatable, unreached)).To(Equal(10))
	})

	It("respects the attempt limit of the request (rule 5)", func() {
		once := *repeatable
		once.Attempts = 1
		Expect(allowed(newPolicy(false), &once, refused)).To(BeZero())
		Expect(allowed(newPolicy(false), &once, unreached)).To(Equal(10), "it was sent to no endpoint")
	})

	It("continues a broken stream only if its last event is known (rule 1)", func() {
		broken := &attempt.Result{AttemptResult: hbs.AttemptResult{End: hbs.EndBroken}, Started: true}
		Expect(allowed(newPolicy(false), repeatable, broken)).To(BeZero())
		broken.LastEvent = "7"
		Expect(allowed(newPolicy(false), repeatable, broken)).To(Equal(burst))
		Expect(allowed(newPolicy(false), &hbs.Request{Class: hbs.ClassOnce}, broken)).To(BeZero())
	})
})
