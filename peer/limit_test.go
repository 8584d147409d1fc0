package peer_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/limit"
)

var _ = Describe("a workspace's limit over heartbeats", func() {
	const limited = 70.0
	It("holds within 10% when one instance gets all requests, when these move to another domain and when an instance that sums usage dies", func() {
		withFleet(func(f *fleet) {
			limiters := map[hbs.InstanceID]*limit.Limiter{}
			f.sections = func(n *node) []hbs.Section {
				l := &limit.Limiter{Self: n.id, IsRepresentative: n.server.IsRepresentative, Directory: n.directory,
					Policy: knob.NewFixed(limit.Knobs), Metrics: metrics.NewRegistry(),
					Limits: func(hbs.WorkspaceID) limit.Limits { return limit.Limits{RequestsPerSecond: limited} }}
				limiters[n.id] = l
				return l.Sections()
			}
			f.startDefault()
			time.Sleep(5 * time.Second)
			rng := rand.New(rand.NewPCG(5, 6))
			// admittedShare sends requests to n at twice the limit. It returns the rate admitted
			// during the ten seconds after settle, as a share of the limit.
			admittedShare := func(n *node, settle time.Duration) float64 {
				const span = 10 * time.Second
				admitted, counted := 0, time.Now().Add(settle)
				for end := counted.Add(span); time.Now().Before(end); {
					time.Sleep(time.Duration(rng.ExpFloat64() / (2 * limited) * float64(time.Second)))
					_, err := limiters[n.id].Acquire(&hbs.Request{Workspace: "w"})
					if err == nil && time.Now().After(counted) {
						admitted++
					}
				}
				return float64(admitted) / span.Seconds() / limited
			}
			f.g.Expect(admittedShare(f.nodes[0], 10*time.Second)).To(BeNumerically("~", 1, 0.1), "at a")
			f.g.Expect(admittedShare(f.nodes[6], 10*time.Second)).To(BeNumerically("~", 1, 0.1), "moved to d")
			f.g.Expect(admittedShare(f.nodes[2], 10*time.Second)).To(BeNumerically("~", 1, 0.1), "moved to b")
			f.kill(f.nodes[3])
			f.g.Expect(admittedShare(f.nodes[2], 0)).To(BeNumerically("~", 1, 0.1), "after the death of the other instance of b")
			f.kill(f.watchers("c")[0])
			f.g.Expect(admittedShare(f.watchers("c")[1], 10*time.Second)).To(BeNumerically("~", 1, 0.1), "moved to c")
		})
	})

	It("on concurrency, when small, is lent between domains, returned and never exceeded", func() {
		withFleet(func(f *fleet) {
			const slots = 10
			limiters := map[hbs.InstanceID]*limit.Limiter{}
			f.sections = func(n *node) []hbs.Section {
				l := &limit.Limiter{Self: n.id, IsRepresentative: n.server.IsRepresentative, Directory: n.directory, SendLoanRequest: n.server.Ask,
					Policy: knob.NewFixed(limit.Knobs), Metrics: metrics.NewRegistry(),
					Limits: func(hbs.WorkspaceID) limit.Limits { return limit.Limits{Concurrency: slots} }}
				limiters[n.id], n.server.HandleAsk = l, l.HandleLoanRequest
				f.wg.Go(func() { _ = l.Run(f.ctx) })
				return l.Sections()
			}
			f.startDefault()
			time.Sleep(10 * time.Second)
			// acquireAll acquires all slots that it can get at n and returns their release
			// functions.
			acquireAll := func(n *node) (releases []func(int)) {
				for range 10 * slots {
					release, err := limiters[n.id].Acquire(&hbs.Request{Workspace: "w", Deadline: time.Now().Add(20 * time.Second)})
					if err == nil {
						releases = append(releases, release)
					}
					time.Sleep(100 * time.Millisecond)
				}
				return releases
			}
			for _, n := range []*node{f.nodes[0], f.nodes[6]} {
				all := acquireAll(n)
				f.g.Expect(all).To(HaveLen(slots))
				f.g.Expect(acquireAll(f.nodes[3])).To(BeEmpty())
				for _, release := range all {
					release(0)
				}
				time.Sleep(time.Second)
			}
		})
	})
})
