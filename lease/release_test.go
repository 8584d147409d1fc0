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
	// look is the longest time between two looks at the lease, and a call.
	look = 3*time.Second + sample
	// lapse is the longest time from a holder's last renewal to the next holder.
	lapse = 17500 * time.Millisecond
	// stopEvery is how many looks at a holder lie between two stops, in the mean.
	stopEvery = 100
)

// settled waits for the first holder.
func (d *domain) settled(g Gomega) (at int, fence uint64) {
	time.Sleep(10 * time.Second)
	at, fence, n := d.holder()
	g.Expect(n).To(Equal(1))
	return at, fence
}

// next waits for a holder with another fencing number, or a minute.
func (d *domain) next(fence uint64) (after time.Duration, next uint64) {
	begun := time.Now()
	for time.Since(begun) < time.Minute {
		if _, f, n := d.holder(); n == 1 && f != fence {
			return time.Since(begun), f
		}
		time.Sleep(sample)
	}
	return time.Since(begun), fence
}

// draw returns a number from 1 to n.
func (d *domain) draw(n int) int { return 1 + d.random.IntN(n) }

// restart gives instance at a new life.
func (d *domain) restart(ctx context.Context, at int) {
	old := d.keepers[at]
	k := &lease.Keeper{Platform: old.Platform, Self: old.Self, Directory: old.Directory, Policy: old.Policy, Metrics: metrics.NewRegistry()}
	d.keepers[at] = k
	d.wg.Go(func() { _ = k.Run(ctx) })
}

// updates plans each update of a client by fault, and leaves the rest alone.
func updates(p objects.Plan) func(objects.Op, hbs.ObjectKind) objects.Plan {
	return func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
		if op == objects.OpUpdate {
			return p
		}
		return objects.Plan{}
	}
}

// give gives an order that is valid for its lifetime.
func give(k *lease.Keeper) (*lease.Use, error) {
	fence, _ := k.Fence()
	u := k.Use(fence, time.Now().Add(orderLifetime))
	_, err := u.Write(func() (int, error) { return 0, nil })
	return u, err
}

var _ = Describe("Release (L7)", func() {
	It("lets the next instance take the lease at its next look", func() {
		var figures string
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.settled(g)
			g.Expect(d.keepers[at].Release(context.Background())).To(Succeed())
			after, next := d.next(fence)
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(after).To(BeNumerically("<", look))
			g.Expect(d.keepers[at].Release(context.Background())).To(Succeed(), "a second time")
			figures = fmt.Sprintf("next holder after %v", after)
		})
		AddReportEntry(figures)
	})

	DescribeTable("waits for orders that may still be taken", func(settled bool, least time.Duration) {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.settled(g)
			begun := time.Now()
			use, err := give(d.keepers[at])
			g.Expect(err).NotTo(HaveOccurred())
			use.End(settled)
			g.Expect(d.keepers[at].Release(context.Background())).To(Succeed())
			_, err = give(d.keepers[at])
			g.Expect(err).To(MatchError(lease.ErrNotHeld))
			d.next(fence)
			g.Expect(time.Since(begun)).To(BeNumerically(">", least))
			g.Expect(time.Since(begun)).To(BeNumerically("<", least+look+100*time.Millisecond))
		})
	},
		Entry("none when the engine answered", true, time.Duration(0)),
		Entry("its lifetime and the margin when no answer came", false, orderLifetime+margin),
	)

	It("leaves the lease to lapse while a write of an order hangs", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.settled(g)
			k := d.keepers[at]
			use := k.Use(fence, time.Now().Add(orderLifetime))
			d.wg.Go(func() {
				_, _ = use.Write(func() (int, error) {
					time.Sleep(time.Minute)
					return 0, nil
				})
			})
			time.Sleep(time.Millisecond)
			g.Expect(k.Release(context.Background())).To(Succeed())
			after, next := d.next(fence)
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(after).To(BeNumerically(">", 2*time.Second))
		})
	})

	DescribeTable("is safe when the platform's answer does not come", func(p objects.Plan, least, most time.Duration) {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.settled(g)
			d.clients[at].Replan(updates(p))
			begun := time.Now()
			g.Expect(d.keepers[at].Release(context.Background())).To(Succeed())
			g.Expect(time.Since(begun)).To(BeNumerically("<", 3*time.Second), "a stop does not hang")
			after, next := d.next(fence)
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(after).To(And(BeNumerically(">=", least), BeNumerically("<", most)))
			time.Sleep(30 * time.Second) // late copies arrive
			_, now, n := d.holder()
			g.Expect(n).To(Equal(1))
			g.Expect(now).To(Equal(next), "the next holder keeps its lease")
		})
	},
		Entry("the answer is lost", objects.Plan{Fault: objects.FaultLost}, time.Duration(0), look),
		Entry("the release arrives after another has taken the lapsed lease", objects.Plan{Fault: objects.FaultLate, Late: 20 * time.Second}, 5*time.Second, lapse),
		Entry("the platform is out", objects.Plan{Fault: objects.FaultRefused}, 5*time.Second, lapse),
		Entry("the platform hangs", objects.Plan{Fault: objects.FaultNever}, 5*time.Second, lapse),
	)

	It("releases its term behind a renewal whose answer was lost", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.settled(g)
			d.clients[at].Replan(func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
				if op == objects.OpGet {
					return objects.Plan{Fault: objects.FaultRefused}
				}
				return objects.Plan{Fault: objects.FaultLost}
			})
			time.Sleep(4 * time.Second)
			d.clients[at].Replan(updates(objects.Plan{}))
			g.Expect(d.keepers[at].Release(context.Background())).To(Succeed())
			after, next := d.next(fence)
			g.Expect(next).To(Equal(fence + 1))
			g.Expect(after).To(BeNumerically("<", look))
		})
	})

	It("does not free a lease that another has taken meanwhile", func() {
		inDomain(1, 0, func(g Gomega, d *domain) {
			at, fence := d.settled(g)
			client := &objects.Client{Store: d.clients[at].Store}
			obj, err := client.Get(context.Background(), hbs.ObjectLease, "orders.a")
			g.Expect(err).NotTo(HaveOccurred())
			foreign := lease.Lease{Holder: "r9", Term: "t", Fence: fence + 1, DurationSeconds: 9}
			obj.Value, err = json.Marshal(foreign)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = client.Update(context.Background(), obj)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.keepers[at].Release(context.Background())).To(Succeed())
			obj, err = client.Get(context.Background(), hbs.ObjectLease, "orders.a")
			g.Expect(err).NotTo(HaveOccurred())
			var now lease.Lease
			g.Expect(json.Unmarshal(obj.Value, &now)).To(Succeed())
			g.Expect(now).To(Equal(foreign))
		})
	})

	DescribeTable("never leaves an order of the last holder valid under faults and stops at random (L1 to L7)", func(seed uint64) {
		const runs, span = 10, 10 * time.Minute
		terms := 0
		for i := range uint64(runs) {
			inDomain(seed*1000+i, 0.3, func(g Gomega, d *domain) {
				n, broken := d.stops(span)
				g.Expect(broken).To(BeEmpty(), "seed %d", seed*1000+i)
				terms += n
			})
		}
		const longestTerm = stopEvery*sample + lapse
		Expect(terms).To(BeNumerically(">", int(runs*span/longestTerm)), "stops hand the lease over")
		AddReportEntry(fmt.Sprintf("%d terms in %v", terms, runs*span))
	},
		Entry("seed 1", uint64(1)),
		Entry("seed 2", uint64(2)),
		Entry("seed 3", uint64(3)),
	)
})

// stops stops holders at random while they give orders, half of which get no
// answer, and starts them again, also while nobody holds the lease: each may be
// stopped before another has taken it.
func (d *domain) stops(span time.Duration) (terms int, broken string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan int, len(d.keepers))
	stopping := map[int]bool{}
	var valid time.Time
	var last uint64
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(sample) {
		d.restartStopped(ctx, stopped, stopping)
		at, fence, n := d.holder()
		switch {
		case n > 1:
			return terms, "two holders"
		case n == 0:
			continue
		case fence < last:
			return terms, "fencing number went back"
		case fence > last && time.Now().Before(valid):
			return terms, "an order of the last holder is valid still"
		case fence > last:
			terms, last = terms+1, fence
		}
		if use, err := give(d.keepers[at]); err == nil {
			answered := d.draw(2) == 1
			use.End(answered)
			if !answered {
				valid = time.Now().Add(orderLifetime)
			}
		}
		if !stopping[at] && d.draw(stopEvery) == 1 {
			stopping[at] = true
			k := d.keepers[at]
			d.wg.Go(func() {
				_ = k.Release(ctx)
				stopped <- at
			})
		}
	}
	return terms, ""
}

// restartStopped gives new lives to the instances that have stopped.
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
