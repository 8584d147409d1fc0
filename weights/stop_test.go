package weights_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// maxStopTime is the longest time that a stop may take: rollout.stop_patience,
	// the release of two permits, a renewal, and an order in progress with its
	// margin.
	maxStopTime = 5*time.Second + 4*time.Second + time.Second + 5*time.Second
	// maxGrantAfterRelease is the longest time from the release of a lease to the
	// next grant.
	maxGrantAfterRelease = 3500 * time.Millisecond
	// maxGrantAfterCrash is the longest time from the crash of a holder to the next
	// grant.
	maxGrantAfterCrash = 17500 * time.Millisecond
	pollInterval       = 20 * time.Millisecond
)

// singleDomain is a fleet with one domain, so that no order waits for another
// domain.
var singleDomain = fleetConfig{engines: 6, domains: 1, instances: 3, maxLoads: 2, loadTime: 2 * time.Second, outShare: 0.34}

// holder returns the instance that holds the domain's lease and its fencing number,
// or -1.
func (f *fleet) holder(domain hbs.DomainName) (index int, fence uint64) {
	for i, h := range f.holders {
		if fence, ok := h.Fence(); ok && f.domain(i) == domain {
			return i, fence
		}
	}
	return -1, 0
}

// stop performs a planned stop of instance i and returns how long it took.
func (f *fleet) stop(i int) time.Duration {
	start := time.Now()
	f.Expect(f.rollouts[i].Stop(context.Background())).To(Succeed())
	f.Expect(f.holders[i].Release(context.Background())).To(Succeed())
	return time.Since(start)
}

// awaitNextGrant waits, for at most a minute, until a domain's lease has a higher
// fencing number.
func (f *fleet) awaitNextGrant(domain hbs.DomainName, fence uint64) {
	for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(pollInterval) {
		if _, now := f.holder(domain); now > fence {
			return
		}
	}
}

// firstOrder returns when an engine of the domain first received an order with a
// higher fencing number than fence; zero if none did.
func (f *fleet) firstOrder(domain hbs.DomainName, fence uint64) (first time.Time) {
	for i, e := range f.engines {
		for _, o := range e.Orders() {
			if f.domain(i) == domain && o.Fence > fence && (first.IsZero() || o.At.Before(first)) {
				first = o.At
			}
		}
	}
	return first
}

// awaitLoading sets v2 as the desired weights and waits until an engine of
// domain d0 has received a load order.
func (f *fleet) awaitLoading() {
	f.setDesired("v2")
	for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(pollInterval) {
		if first := f.firstOrder("d0", 0); !first.IsZero() {
			return
		}
	}
}

// handover has the times from the end of a lease holder to the end of its stop, the
// next grant and the next holder's first order.
type handover struct{ stopped, granted, ordered time.Duration }

// String implements fmt.Stringer.
func (h handover) String() string {
	const precision = 10 * time.Millisecond
	return fmt.Sprintf("ended after %v, next grant after %v, next order after %v",
		h.stopped.Round(precision), h.granted.Round(precision), h.ordered.Round(precision))
}

// endHolder ends the lease holder of domain d0 by end and waits until the rollout
// is complete.
func (f *fleet) endHolder(end func(i int) time.Duration) (h handover) {
	i, fence := f.holder("d0")
	f.Expect(i).To(BeNumerically(">=", 0))
	start := time.Now()
	stopped := make(chan time.Duration, 1)
	f.wg.Go(func() { stopped <- end(i) })
	f.awaitNextGrant("d0", fence)
	h.granted = time.Since(start)
	f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", 10*time.Minute))
	h.stopped, h.ordered = <-stopped, f.firstOrder("d0", fence).Sub(start)
	return h
}

var _ = Describe("Stop (R8)", func() {
	// The moments at which the holder ends.
	beforeFirstStep := func(f *fleet) { f.setDesired("v2") }
	draining := func(f *fleet) {
		f.setDesired("v2")
		time.Sleep(4 * time.Second)
	}
	stop := func(f *fleet) func(int) time.Duration { return f.stop }
	crash := func(f *fleet) func(int) time.Duration {
		return func(i int) time.Duration {
			f.cancels[i]()
			return 0
		}
	}

	DescribeTable("hands the rollout over to the next holder", func(moment func(*fleet), how func(*fleet) func(int) time.Duration, maxGap time.Duration) {
		var figures string
		inFleet(singleDomain, func(f *fleet) {
			stopCallers := f.startCallers(4)
			moment(f)
			h := f.endHolder(how(f))
			stopCallers()
			figures = h.String()
			f.Expect(h.stopped).To(BeNumerically("<", maxStopTime))
			f.Expect(h.granted).To(BeNumerically("<", h.stopped+maxGap))
			f.Expect(f.weightStore.PeakLoads()).To(BeNumerically("<=", singleDomain.maxLoads))
			f.Expect(f.crashedRuns() + f.sendErrors).To(BeZero())
			f.Expect(f.staleOrders()).To(BeZero())
		})
		AddReportEntry(figures)
	},
		Entry("stopped before its first step", beforeFirstStep, stop, maxGrantAfterRelease),
		Entry("stopped while it drains", draining, stop, maxGrantAfterRelease),
		Entry("stopped during a load", (*fleet).awaitLoading, stop, maxGrantAfterRelease),
		Entry("crashed before its first step", beforeFirstStep, crash, maxGrantAfterCrash),
		Entry("crashed while it drains", draining, crash, maxGrantAfterCrash),
		Entry("crashed during a load", (*fleet).awaitLoading, crash, maxGrantAfterCrash),
	)

	It("restores all engines before it releases the lease", func() {
		inFleet(singleDomain, func(f *fleet) {
			f.awaitLoading()
			i, _ := f.holder("d0")
			f.stop(i)
			for _, e := range f.Roster().Endpoints {
				s, err := f.rollouts[i].Orders.State(f.ctx, &e)
				f.Expect(err).NotTo(HaveOccurred())
				f.Expect(e.State).To(Equal(hbs.StateLive))
				f.Expect(e.Weights).To(Equal(s.Weights))
			}
		})
	})

	It("returns in time while the platform is down, and the rollout completes after the outage", func() {
		inFleet(singleDomain, func(f *fleet) {
			f.awaitLoading()
			i, _ := f.holder("d0")
			f.setPlatformDown(true)
			f.Expect(f.stop(i)).To(BeNumerically("<", maxStopTime))
			time.Sleep(time.Minute)
			f.setPlatformDown(false)
			f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", 10*time.Minute))
			f.Expect(f.weightStore.PeakLoads()).To(BeNumerically("<=", singleDomain.maxLoads))
			f.Expect(f.crashedRuns()).To(BeZero())
		})
	})

	It("abandons a load that outlasts rollout.stop_patience, and the next holder does not order it again", func() {
		slow := singleDomain
		slow.loadTime = 7 * time.Second
		inFleet(slow, func(f *fleet) {
			f.awaitLoading()
			i, _ := f.holder("d0")
			f.Expect(f.stop(i)).To(BeNumerically("<", maxStopTime))
			f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", 10*time.Minute))
			f.Expect(f.weightStore.PeakLoads()).To(BeNumerically("<=", slow.maxLoads))
			for _, e := range f.engines {
				f.Expect(e.Orders()).To(HaveLen(1))
			}
		})
	})
})
