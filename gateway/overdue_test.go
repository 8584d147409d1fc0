package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// suspendedAfter is the time after the publication of new weights at which lateRuns
// suspends the machines; engines that load new weights have them by then.
const suspendedAfter = 4 * time.Second

// lateRuns sends many requests, with prompts that share nothing, until after the time
// in which engines have to replace their weights. The callers wait for the first
// event for wait, and engines make it shortly before that. The machines are suspended
// once, for the time suspended. Two of the engines never replace their weights;
// lateRuns returns how long after the publication of newer ones they began the last
// request.
func (f *fleet) lateRuns(wait, suspended time.Duration) (latest time.Duration) {
	old := f.engines[:2]
	f.fail(old, pool.Faults{Busy: true})
	for _, e := range f.engines {
		e.Work = wait - 10*time.Millisecond
	}
	f.publishWeights(2)
	start := time.Now()
	time.AfterFunc(suspendedAfter, func() { f.suspend(suspended) })
	for n := 0; time.Since(start) < convergeTime+wait; n++ {
		f.wg.Go(func() {
			c := streamCall(n % len(f.instances))
			c.id = fmt.Sprintf("late%d", n)
			c.header["X-Prefix-Hash"] = fmt.Sprintf("a%d:300", n)
			c.disconnectAfter = wait
			f.send(c)
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(wait)
	for _, e := range old {
		for _, r := range e.Runs() {
			began := r.Began.Sub(start)
			if began > suspendedAfter {
				began += suspended
			}
			latest = max(latest, began)
		}
	}
	return latest
}

var _ = Describe("engines with weights that should have been replaced", func() {
	// Guards against work on replaced weights (VERSION): a request began at an engine
	// that was in use when it was sent, after as long a wait as its caller bears.
	DescribeTable("begin no request too late, however long callers wait for the first event", func(objective, wait time.Duration) {
		for phase := range 8 {
			withFleet(func(f *fleet) {
				f.publishRoutesWithObjective(2, objective)
				time.Sleep(settleTime + time.Duration(phase)*250*time.Millisecond)
				f.Expect(f.lateRuns(wait, 0)).To(BeNumerically("<=", convergeTime))
			})
		}
	},
		Entry("the least time that callers wait", time.Duration(0), 2*time.Second),
		Entry("callers that wait longer", time.Second, 4*time.Second),
	)

	// Guards against work on replaced weights (VERSION): the time for which a machine
	// was suspended didn't count towards the time in which weights are replaced.
	It("begin no request too late at instances that were suspended", func() {
		withFleet(func(f *fleet) {
			f.Expect(f.lateRuns(2*time.Second, 6*time.Second)).To(BeNumerically("<=", convergeTime))
			f.Expect(f.versions()).To(Equal([]int64{1, 1, 2, 2}))
		})
	})
})
