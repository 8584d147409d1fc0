package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// suspension is when machines are suspended, after the publication of new weights,
// and for how long.
type suspension struct{ after, time time.Duration }

// lateRuns sends many requests, with prompts that share nothing, until after the time
// in which engines have to replace their weights. The callers wait for the first
// event for wait, and engines make it shortly before that. The machines are suspended
// once. Two of the engines never replace their weights; lateRuns returns how long
// after the publication of newer ones they began the last request.
func (f *fleet) lateRuns(wait time.Duration, s suspension) (latest time.Duration) {
	old := f.engines[:2]
	f.fail(old, pool.Faults{Busy: true})
	for _, e := range f.engines {
		e.Work = wait - 10*time.Millisecond
	}
	f.publishWeights(2)
	start := time.Now()
	time.AfterFunc(s.after, func() { f.suspend(s.time) })
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
			if began > s.after {
				began += s.time
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
				f.Expect(f.lateRuns(wait, suspension{})).To(BeNumerically("<=", convergeTime))
			})
		}
	},
		Entry("the least time that callers wait", time.Duration(0), 2*time.Second),
		Entry("callers that wait longer", time.Second, 4*time.Second),
	)

	// Guards against work on replaced weights (VERSION): the time for which a machine
	// was suspended didn't count towards the time in which weights are replaced.
	DescribeTable("begin no request too late at instances that were suspended", func(wait time.Duration, s suspension) {
		withFleet(func(f *fleet) {
			f.publishRoutesWithObjective(2, time.Second)
			time.Sleep(settleTime)
			f.Expect(f.lateRuns(wait, s)).To(BeNumerically("<=", convergeTime))
			f.Expect(f.versions()).To(Equal([]int64{1, 1, 2, 2}))
		})
	},
		Entry("before the weights are due", 2*time.Second, suspension{4 * time.Second, 6 * time.Second}),
		Entry("while requests wait that were sent shortly before", 4*time.Second, suspension{8500 * time.Millisecond, 3500 * time.Millisecond}),
	)

	// Guards against work on replaced weights (VERSION): instances that started on a
	// machine that had been suspended before took every version for new.
	It("begin no request at instances that start after a suspension", func() {
		withFleet(func(f *fleet) {
			f.suspend(6 * time.Second)
			f.fail(f.engines[:2], pool.Faults{Busy: true})
			f.publishWeights(2)
			time.Sleep(takeoverTime + convergeTime)
			f.Expect(f.versions()).To(Equal([]int64{1, 1, 2, 2}))
			f.restart(0, 1)
			time.Sleep(takeoverTime)
			before := len(allRuns(f.engines[:2]))
			for n := range 200 {
				f.wg.Go(func() {
					c := streamCall(n % len(f.instances))
					c.id = fmt.Sprintf("late%d", n)
					c.header["X-Prefix-Hash"] = fmt.Sprintf("a%d:300", n)
					f.send(c)
				})
			}
			time.Sleep(routeTimeout)
			f.Expect(allRuns(f.engines[:2])).To(HaveLen(before))
		})
	})
})
