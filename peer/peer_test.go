package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

var suite *testing.T

func TestPeer(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// inBubble runs body with a fleet in virtual time.
func inBubble(body func(f *fleet)) {
	synctest.Test(suite, func(t *testing.T) {
		f := newFleet(NewWithT(t))
		defer f.close()
		body(f)
	})
}

var _ = Describe("configuration", func() {
	It("is in force everywhere within 3 s while a watcher dies half-way", func() {
		inBubble(func(f *fleet) {
			f.startToday()
			time.Sleep(3 * time.Second)
			var dead []*node
			var worst time.Duration
			for k := range 10 {
				id := f.change(k)
				if k == 4 {
					time.Sleep(3 * time.Millisecond)
					dead = f.watchers("a")[:1]
					f.kill(dead[0])
				}
				took := f.within(3*time.Second, "change in force", func() bool { return f.inForce(id, dead...) })
				worst = max(worst, took)
				time.Sleep(2*time.Second - min(took, 2*time.Second))
			}
			AddReportEntry("slowest change, one of two watchers killed", worst)
		})
	})

	It("reaches a domain that is cut off from the platform alone within 3 s", func() {
		inBubble(func(f *fleet) {
			f.startToday()
			time.Sleep(3 * time.Second)
			f.fabric.Cut("d", platformDomain)
			time.Sleep(5 * time.Second)
			for k := range 5 {
				id := f.change(k)
				took := f.within(3*time.Second, "change in force", func() bool { return f.inForce(id) })
				AddReportEntry("change in force, one domain cut off from the platform", took)
				time.Sleep(2 * time.Second)
			}
		})
	})

	It("stays in force in a domain cut off from all and catches up within 5 s of healing", func() {
		inBubble(func(f *fleet) {
			f.startToday()
			first := f.change(0)
			time.Sleep(4 * time.Second)
			others := []hbs.DomainName{"a", "c", "d", platformDomain}
			for _, other := range others {
				f.fabric.Cut("b", other)
			}
			last := f.change(1)
			time.Sleep(time.Minute)
			cutOff := f.nodes[2]
			f.g.Expect(cutOff.config.Config().Workspace(first)).NotTo(BeNil())
			f.g.Expect(cutOff.config.Config().Workspace(last)).To(BeNil())
			for _, other := range others {
				f.fabric.Heal("b", other)
			}
			took := f.within(5*time.Second, "caught up", func() bool { return f.inForce(last) })
			AddReportEntry("caught up after healing", took)
		})
	})
})

var _ = DescribeTable("a change right after all watchers of a domain died is in force in time", func(instances int, limit time.Duration) {
	inBubble(func(f *fleet) {
		f.seeds = append(f.seeds, peerAddress(0), peerAddress(1), peerAddress(2))
		for range instances {
			f.start("a")
		}
		time.Sleep(10 * time.Second)
		dead := f.watchers("a")
		f.g.Expect(dead).To(HaveLen(2))
		for _, n := range dead {
			f.kill(n)
		}
		id := f.change(0)
		took := f.within(limit, "change in force", func() bool { return f.inForce(id, dead...) })
		AddReportEntry("in force without the old watchers after", took)
	})
}, Entry("7", 7, 3*time.Second), Entry("33", 33, 9*time.Second))

var _ = Describe("a leaving endpoint", func() {
	It("is known as such everywhere within 3 s, also where the platform can't be reached", func() {
		inBubble(func(f *fleet) {
			e := hbs.Endpoint{ID: "e", Kind: hbs.KindEngine, Domain: "a", Address: platformAddress, State: hbs.StateLive, Model: "m", Slots: 1}
			f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, "e", e)).To(Succeed())
			f.startToday()
			time.Sleep(4 * time.Second)
			f.fabric.Cut("d", platformDomain)
			time.Sleep(2 * time.Second)
			f.g.Expect(f.platform.SetEndpointState(e, hbs.StateLeaving)).To(Succeed())
			took := f.within(3*time.Second, "leaving", func() bool {
				for _, n := range f.nodes {
					es := n.directory.Roster().Endpoints
					if len(es) != 1 || es[0].State != hbs.StateLeaving {
						return false
					}
				}
				return true
			})
			AddReportEntry("known as leaving after, the list's lag of 1 s included", took)
		})
	})
})

var _ = Describe("two domains", func() {
	It("cut off from each other while the platform is out serve on and join again after healing", func() {
		inBubble(func(f *fleet) {
			f.startToday()
			id := f.change(0)
			time.Sleep(4 * time.Second)
			f.platform.Outage(2 * time.Minute)
			f.fabric.Cut("a", "b")
			time.Sleep(time.Minute)
			f.g.Expect(f.inForce(id)).To(BeTrue())
			for _, n := range f.nodes {
				f.g.Expect(n.directory.Roster().Instances).To(HaveLen(7))
			}
			f.fabric.Heal("a", "b")
			time.Sleep(61 * time.Second)
			last := f.change(1)
			took := f.within(5*time.Second, "caught up", func() bool { return f.inForce(last) })
			AddReportEntry("a change after outage and partition in force after", took)
		})
	})
})
