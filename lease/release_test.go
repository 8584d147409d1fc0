package lease_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
)

const (
	// orderLifetime and margin are the defaults of the knobs.
	orderLifetime = 2 * time.Second
	margin        = 2 * time.Second
	// maxTakeover is the longest time until a candidate reads a released lease and
	// acquires it: lease.renew_interval and the time of a call.
	maxTakeover = 3*time.Second + samplingInterval
	// maxExpiry is the longest time from the last renewal of a holder to the next
	// holder if the lease is not released.
	maxExpiry = 17500 * time.Millisecond
	// stopEvery is the mean number of samples of a holder between two random stops.
	stopEvery = 100
)

// awaitFirstHolder waits until there is a holder, and returns it.
func (d *domain) awaitFirstHolder(g Gomega) (at int, fence uint64) {
	time.Sleep(10 * time.Second)
	at, fence, n := d.holder()
	g.Expect(n).To(Equal(1))
	return at, fence
}

// awaitNextHolder waits up to a minute for a holder with a fencing number other than
// fence. It returns how long that took, and the new fencing number.
func (d *domain) awaitNextHolder(fence uint64) (after time.Duration, next uint64) {
	begun := time.Now()
	for time.Since(begun) < time.Minute {
		if _, f, n := d.holder(); n == 1 && f != fence {
			return time.Since(begun), f
		}
		time.Sleep(samplingInterval)
	}
	return time.Since(begun), fence
}

// roll returns a random number from 1 to n.
func (d *domain) roll(n int) int { return 1 + d.random.IntN(n) }

// restart replaces the stopped instance with index at by a new process.
func (d *domain) restart(ctx context.Context, at int) {
	old := d.holders[at]
	h := &lease.Holder{Platform: old.Platform, Self: old.Self, Directory: old.Directory, Policy: old.Policy, Metrics: metrics.NewRegistry()}
	d.holders[at] = h
	d.wg.Go(func() { _ = h.Run(ctx) })
}

// planUpdates returns a plan that applies p to each update of a client and lets
// other calls succeed.
func planUpdates(p objects.Plan) func(objects.Op, hbs.ObjectKind) objects.Plan {
	return func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
		if op == objects.OpUpdate {
			return p
		}
		return objects.Plan{}
	}
}

// sendOrder begins and writes an order that is valid for orderLifetime.
func sendOrder(h *lease.Holder) (*lease.PendingOrder, error) {
	fence, _ := h.Fence()
	o := h.BeginOrder(fence, time.Now().Add(orderLifetime))
	_, err := o.Write(func() (int, error) { return 0, nil })
	return o, err
}

var _ = Describe("Release (L7)", func() {
	It("lets the next instance acquire the lease at its next read", func() {
		var figures string
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.awaitFirstHolder(g)
			g.Expect(d.holders[at].Release(context.Background())).To(Succeed())
			after, next := d.awaitNextHolder(fence)
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(after).To(BeNumerically("<", maxTakeover))
			g.Expect(d.holders[at].Release(context.Background())).To(Succeed(), "a second time")
			figures = fmt.Sprintf("next holder after %v", after)
		})
		AddReportEntry(figures)
	})

	DescribeTable("waits for orders that may still be accepted", func(settled bool, least time.Duration) {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.awaitFirstHolder(g)
			begun := time.Now()
			order, err := sendOrder(d.holders[at])
			g.Expect(err).NotTo(HaveOccurred())
			order.End(settled)
			g.Expect(d.holders[at].Release(context.Background())).To(Succeed())
			_, err = sendOrder(d.holders[at])
			g.Expect(err).To(MatchError(lease.ErrNotHeld))
			d.awaitNextHolder(fence)
			g.Expect(time.Since(begun)).To(BeNumerically(">", least))
			g.Expect(time.Since(begun)).To(BeNumerically("<", least+maxTakeover+100*time.Millisecond))
		})
	},
		Entry("no wait if the engine responded", true, time.Duration(0)),
		Entry("the lifetime and the margin if no response came", false, orderLifetime+margin),
	)

	It("lets the lease expire while the write of an order hangs", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.awaitFirstHolder(g)
			h := d.holders[at]
			order := h.BeginOrder(fence, time.Now().Add(orderLifetime))
			d.wg.Go(func() {
				_, _ = order.Write(func() (int, error) {
					time.Sleep(time.Minute)
					return 0, nil
				})
			})
			time.Sleep(time.Millisecond)
			g.Expect(h.Release(context.Background())).To(Succeed())
			after, next := d.awaitNextHolder(fence)
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(after).To(BeNumerically(">", 2*time.Second))
		})
	})

	DescribeTable("is safe if the platform's response is lost or late", func(p objects.Plan, least, most time.Duration) {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.awaitFirstHolder(g)
			d.clients[at].Replan(planUpdates(p))
			begun := time.Now()
			g.Expect(d.holders[at].Release(context.Background())).To(Succeed())
			g.Expect(time.Since(begun)).To(BeNumerically("<", 3*time.Second), "Release does not hang")
			after, next := d.awaitNextHolder(fence)
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(after).To(And(BeNumerically(">=", least), BeNumerically("<", most)))
			time.Sleep(30 * time.Second) // late writes arrive
			_, now, n := d.holder()
			g.Expect(n).To(Equal(1))
			g.Expect(now).To(Equal(next), "the next holder keeps its lease")
		})
	},
		Entry("the response is lost", objects.Plan{Fault: objects.FaultLost}, time.Duration(0), maxTakeover),
		Entry("the release arrives after another instance acquired the expired lease", objects.Plan{Fault: objects.FaultLate, Late: 20 * time.Second}, 5*time.Second, maxExpiry),
		Entry("the platform is unavailable", objects.Plan{Fault: objects.FaultRefused}, 5*time.Second, maxExpiry),
		Entry("the platform hangs", objects.Plan{Fault: objects.FaultNever}, 5*time.Second, maxExpiry),
	)

	It("releases its term after a renewal whose response was lost", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.awaitFirstHolder(g)
			d.clients[at].Replan(func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
				if op == objects.OpGet {
					return objects.Plan{Fault: objects.FaultRefused}
				}
				return objects.Plan{Fault: objects.FaultLost}
			})
			time.Sleep(4 * time.Second)
			d.clients[at].Replan(planUpdates(objects.Plan{}))
			g.Expect(d.holders[at].Release(context.Background())).To(Succeed())
			after, next := d.awaitNextHolder(fence)
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(after).To(BeNumerically("<", maxTakeover))
		})
	})

	It("does not release a lease that another instance has taken over", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.awaitFirstHolder(g)
			client := &objects.Client{Store: d.clients[at].Store}
			obj, err := client.Get(context.Background(), hbs.ObjectLease, "orders.a")
			g.Expect(err).NotTo(HaveOccurred())
			foreign := lease.Lease{Holder: "r9", Term: "t", Fence: fence + 1, DurationSeconds: 9}
			obj.Value, err = json.Marshal(foreign)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = client.Update(context.Background(), obj)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.holders[at].Release(context.Background())).To(Succeed())
			obj, err = client.Get(context.Background(), hbs.ObjectLease, "orders.a")
			g.Expect(err).NotTo(HaveOccurred())
			var now lease.Lease
			g.Expect(json.Unmarshal(obj.Value, &now)).To(Succeed())
			g.Expect(now).To(Equal(foreign))
		})
	})

	DescribeTable("never has a new holder while an order of the previous one is valid, under faults and random stops (L1 to L7)", func(seed uint64) {
		const runs, span = 10, 10 * time.Minute
		terms := 0
		for i := range uint64(runs) {
			inDomain(seed*1000+i, 0.3, func(g Gomega, d *domain) {
				n, violation := d.stopAtRandom(span)
				g.Expect(violation).To(BeEmpty(), "seed %d", seed*1000+i)
				terms += n
			})
		}
		const longestTerm = stopEvery*samplingInterval + maxExpiry
		Expect(terms).To(BeNumerically(">", int(runs*span/longestTerm)), "stops cause handovers")
		AddReportEntry(fmt.Sprintf("%d terms in %v", terms, runs*span))
	},
		Entry("seed 1", uint64(1)),
		Entry("seed 2", uint64(2)),
		Entry("seed 3", uint64(3)),
	)
})

// stopAtRandom releases and restarts holders at random while they send orders, half
// of which get no response. Instances are restarted even while there is no holder,
// since all of them may be stopped before one acquires the lease. It returns the
// number of terms and the first violation.
func (d *domain) stopAtRandom(span time.Duration) (terms int, violation string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan int, len(d.holders))
	stopping := map[int]bool{}
	var valid time.Time
	var last uint64
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(samplingInterval) {
		d.restartStopped(ctx, stopped, stopping)
		at, fence, n := d.holder()
		switch {
		case n > 1:
			return terms, "two holders"
		case n == 0:
			continue
		case fence < last:
			return terms, "fencing number decreased"
		case fence > last && time.Now().Before(valid):
			return terms, "an order of the previous holder is still valid"
		case fence > last:
			terms, last = terms+1, fence
		}
		if order, err := sendOrder(d.holders[at]); err == nil {
			answered := d.roll(2) == 1
			order.End(answered)
			if !answered {
				valid = time.Now().Add(orderLifetime)
			}
		}
		if !stopping[at] && d.roll(stopEvery) == 1 {
			stopping[at] = true
			h := d.holders[at]
			d.wg.Go(func() {
				_ = h.Release(ctx)
				stopped <- at
			})
		}
	}
	return terms, ""
}

// restartStopped restarts the instances that have stopped.
func (d *domain) restartStopped(ctx context.Context, stopped <-chan int, stopping map[int]bool) {
	for {
		select {
		case i := <-stopped:
			stopping[i] = false
			d.restart(ctx, i)
		default:
			return
		}
	}
}
