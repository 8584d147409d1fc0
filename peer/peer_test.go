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

// withFleet runs body with a new fleet in a synctest bubble.
func withFleet(body func(f *fleet)) {
	synctest.Test(suite, func(t *testing.T) {
		f := newFleet(NewWithT(t))
		defer f.close()
		body(f)
	})
}

var _ = Describe("configuration", func() {
	It("reaches all instances within 3 s although a watcher dies in between", func() {
		withFleet(func(f *fleet) {
			f.startDefault()
			time.Sleep(3 * time.Second)
			var dead []*node
			var worst time.Duration
			for k := range 10 {
				id := f.putWorkspace(k)
				if k == 4 {
					time.Sleep(3 * time.Millisecond)
					dead = f.watchers("a")[:1]
					f.kill(dead[0])
				}
				took := f.waitFor(3*time.Second, "change known", func() bool { return f.haveWorkspace(id, dead...) })
				worst = max(worst, took)
				time.Sleep(2*time.Second - min(took, 2*time.Second))
			}
			AddReportEntry("slowest change, one of two watchers killed", worst)
		})
	})

	It("reaches a domain that is cut off only from the platform within 3 s", func() {
		withFleet(func(f *fleet) {
			f.startDefault()
			time.Sleep(3 * time.Second)
			f.fabric.Partition("d", platformDomain)
			time.Sleep(5 * time.Second)
			for k := range 5 {
				id := f.putWorkspace(k)
				took := f.waitFor(3*time.Second, "change known", func() bool { return f.haveWorkspace(id) })
				AddReportEntry("change known everywhere after, one domain cut off from the platform", took)
				time.Sleep(2 * time.Second)
			}
		})
	})

	It("stays in use in a domain cut off from everything, which catches up within 5 s of healing", func() {
		withFleet(func(f *fleet) {
			f.startDefault()
			first := f.putWorkspace(0)
			time.Sleep(4 * time.Second)
			others := []hbs.DomainName{"a", "c", "d", platformDomain}
			for _, other := range others {
				f.fabric.Partition("b", other)
			}
			last := f.putWorkspace(1)
			time.Sleep(time.Minute)
			cutOff := f.nodes[2]
			f.g.Expect(cutOff.config.Config().Workspace(first)).NotTo(BeNil())
			f.g.Expect(cutOff.config.Config().Workspace(last)).To(BeNil())
			for _, other := range others {
				f.fabric.Heal("b", other)
			}
			took := f.waitFor(5*time.Second, "caught up", func() bool { return f.haveWorkspace(last) })
			AddReportEntry("caught up after healing", took)
		})
	})
})

var _ = DescribeTable("a change right after all watchers of a domain died is known in time", func(instances int, limit time.Duration) {
	withFleet(func(f *fleet) {
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
		id := f.putWorkspace(0)
		took := f.waitFor(limit, "change known", func() bool { return f.haveWorkspace(id, dead...) })
		AddReportEntry("change known without the former watchers after", took)
	})
}, Entry("7", 7, 3*time.Second), Entry("33", 33, 9*time.Second))

var _ = Describe("a leaving endpoint", func() {
	It("is known as such everywhere within 3 s, also in a domain cut off from the platform", func() {
		withFleet(func(f *fleet) {
			e := hbs.Endpoint{ID: "e", Kind: hbs.KindEngine, Domain: "a", Address: platformAddress, State: hbs.StateLive, Model: "m", Slots: 1}
			f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, "e", e)).To(Succeed())
			f.startDefault()
			time.Sleep(4 * time.Second)
			f.fabric.Partition("d", platformDomain)
			time.Sleep(2 * time.Second)
			f.g.Expect(f.platform.SetEndpointState(e, hbs.StateLeaving)).To(Succeed())
			took := f.waitFor(3*time.Second, "leaving", func() bool {
				for _, n := range f.nodes {
					es := n.directory.Roster().Endpoints
					if len(es) != 1 || es[0].State != hbs.StateLeaving {
						return false
					}
				}
				return true
			})
			AddReportEntry("known as leaving after, including 1 s until the platform lists it", took)
		})
	})
})

var _ = Describe("two domains", func() {
	It("cut off from each other during a platform outage keep working and reconnect after healing", func() {
		withFleet(func(f *fleet) {
			f.startDefault()
			id := f.putWorkspace(0)
			time.Sleep(4 * time.Second)
			f.platform.Outage(2 * time.Minute)
			f.fabric.Partition("a", "b")
			time.Sleep(time.Minute)
			f.g.Expect(f.haveWorkspace(id)).To(BeTrue())
			for _, n := range f.nodes {
				f.g.Expect(n.directory.Roster().Instances).To(HaveLen(7))
			}
			f.fabric.Heal("a", "b")
			time.Sleep(61 * time.Second)
			last := f.putWorkspace(1)
			took := f.waitFor(5*time.Second, "caught up", func() bool { return f.haveWorkspace(last) })
			AddReportEntry("a change after outage and partition known after", took)
		})
	})
})
