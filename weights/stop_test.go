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
	// stopBound is the most that a stop may take: rollout.stop_patience, the
	// freeing of two permits, a renewal, and an order under way with its margin.
	stopBound = 5*time.Second + 4*time.Second + time.Second + 5*time.Second
	// nextGrant is the longest time from a release to the next grant.
	nextGrant = 3500 * time.Millisecond
	// lapse is the longest time from the end of a holder to the next grant.
	lapse  = 17500 * time.Millisecond
	glance = 20 * time.Millisecond
)

// alone is a domain whose orders wait for no other domain.
var alone = size{engines: 6, domains: 1, instances: 3, loads: 2, load: 2 * time.Second, outShare: 0.34}

// holder returns the instance that holds the domain's lease, or -1.
func (f *fleet) holder(domain hbs.DomainName) (at int, fence uint64) {
	for i, k := range f.keepers {
		if fence, ok := k.Fence(); ok && f.domain(i) == domain {
			return i, fence
		}
	}
	return -1, 0
}

// stop stops instance i as a planned stop does and returns how long that took.
func (f *fleet) stop(i int) time.Duration {
	begun := time.Now()
	f.Expect(f.rollouts[i].Stop(context.Background())).To(Succeed())
	f.Expect(f.keepers[i].Release(context.Background())).To(Succeed())
	return time.Since(begun)
}

// awaitNext waits until a domain has another fencing number, or a minute.
func (f *fleet) awaitNext(domain hbs.DomainName, fence uint64) {
	for begun := time.Now(); time.Since(begun) < time.Minute; time.Sleep(glance) {
		if _, now := f.holder(domain); now > fence {
			return
		}
	}
}

// ordered returns when an engine of the domain first took an order of another
// holder than the one with this fencing number.
func (f *fleet) ordered(domain hbs.DomainName, fence uint64) (first time.Time) {
	for i, e := range f.engines {
		for _, o := range e.Orders() {
			if f.domain(i) == domain && o.Fence > fence && (first.IsZero() || o.At.Before(first)) {
				first = o.At
			}
		}
	}
	return first
}

// midLoad asks for v2 and waits until an engine of domain d0 loads it.
func (f *fleet) midLoad() {
	f.order("v2")
	for begun := time.Now(); time.Since(begun) < time.Minute; time.Sleep(glance) {
		if first := f.ordered("d0", 0); !first.IsZero() {
			return
		}
	}
}

// handOver is how the end of a holder went.
type handOver struct{ stopped, granted, ordered time.Duration }

// String implements fmt.Stringer.
func (h handOver) String() string {
	const digits = 10 * time.Millisecond
	return fmt.Sprintf("ended after %v, next grant after %v, next order after %v",
		h.stopped.Round(digits), h.granted.Round(digits), h.ordered.Round(digits))
}

// endHolder ends the holder of domain d0 and waits until the rollout is over.
func (f *fleet) endHolder(end func(i int) time.Duration) (h handOver) {
	i, fence := f.holder("d0")
	f.Expect(i).To(BeNumerically(">=", 0))
	begun := time.Now()
	stopped := make(chan time.Duration, 1)
	f.wg.Go(func() { stopped <- end(i) })
	f.awaitNext("d0", fence)
	h.granted = time.Since(begun)
	f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", 10*time.Minute))
	h.stopped, h.ordered = <-stopped, f.ordered("d0", fence).Sub(begun)
	return h
}

var _ = Describe("Stop (R8)", func() {
	// Moments at which a holder ends.
	idle := func(f *fleet) { f.order("v2") }
	draining := func(f *fleet) {
		f.order("v2")
		time.Sleep(4 * time.Second)
	}
	stop := func(f *fleet) func(int) time.Duration { return f.stop }
	end := func(f *fleet) func(int) time.Duration {
		return func(i int) time.Duration {
			f.ends[i]()
			return 0
		}
	}

	DescribeTable("hands orders over", func(moment func(*fleet), how func(*fleet) func(int) time.Duration, pause time.Duration) {
		var figures string
		inFleet(alone, func(f *fleet) {
			quit := f.callers(4)
			moment(f)
			h := f.endHolder(how(f))
			quit()
			figures = h.String()
			f.Expect(h.stopped).To(BeNumerically("<", stopBound))
			f.Expect(h.granted).To(BeNumerically("<", h.stopped+pause))
			f.Expect(f.store.MostAtOnce()).To(BeNumerically("<=", alone.loads))
			f.Expect(f.cutRuns() + f.cut).To(BeZero())
			f.Expect(f.stale()).To(BeZero())
		})
		AddReportEntry(figures)
	},
		Entry("stopped before its first step", idle, stop, nextGrant),
		Entry("stopped while it drains", draining, stop, nextGrant),
		Entry("stopped in the middle of an order", (*fleet).midLoad, stop, nextGrant),
		Entry("ended before its first step", idle, end, lapse),
		Entry("ended while it drains", draining, end, lapse),
		Entry("ended in the middle of an order", (*fleet).midLoad, end, lapse),
	)

	It("gives back all engines before the lease", func() {
		inFleet(alone, func(f *fleet) {
			f.midLoad()
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

	It("does not hang when the platform goes out with it, and the lease lapses", func() {
		inFleet(alone, func(f *fleet) {
			f.midLoad()
			i, _ := f.holder("d0")
			f.setOutage(true)
			f.Expect(f.stop(i)).To(BeNumerically("<", stopBound))
			time.Sleep(time.Minute)
			f.setOutage(false)
			f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", 10*time.Minute))
			f.Expect(f.store.MostAtOnce()).To(BeNumerically("<=", alone.loads))
			f.Expect(f.cutRuns()).To(BeZero())
		})
	})

	It("abandons a load that outlives the patience, and the next holder finds it under way", func() {
		slow := alone
		slow.load = 7 * time.Second
		inFleet(slow, func(f *fleet) {
			f.midLoad()
			i, _ := f.holder("d0")
			f.Expect(f.stop(i)).To(BeNumerically("<", stopBound))
			f.Expect(f.rollOut(10 * time.Minute)).To(BeNumerically("<", 10*time.Minute))
			f.Expect(f.store.MostAtOnce()).To(BeNumerically("<=", slow.loads))
			for _, e := range f.engines {
				f.Expect(e.Orders()).To(HaveLen(1))
			}
		})
	})
})
