package peer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"net"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/peer"
	standin "github.com/hornbeamstage/hornbeamstage/standin/platform"
)

var _ = Describe("an instance that starts", func() {
	It("has the configuration within 1 s with the platform up", func() {
		inBubble(func(f *fleet) {
			id := f.change(0)
			f.start("a")
			f.within(time.Second, "configuration", func() bool { return f.inForce(id) })
		})
	})

	It("has it within 1 s from peers alone while the platform is out, and they know it", func() {
		inBubble(func(f *fleet) {
			f.startToday()
			id := f.change(0)
			time.Sleep(4 * time.Second)
			f.platform.Outage(time.Hour)
			time.Sleep(2 * time.Second)
			n := f.start("d")
			f.within(time.Second, "configuration", func() bool { return f.inForce(id) })
			sibling := f.nodes[6]
			f.within(2*time.Second, "known to its sibling", func() bool { return len(sibling.server.Alive()) > 1 && hasInstance(sibling, n.id) })
		})
	})

	It("takes the floor when all restart while the platform is out, and finds its peers", func() {
		inBubble(func(f *fleet) {
			f.floor = &config.Config{Workspaces: []config.Workspace{{ID: "floor", Weight: 1}}}
			f.change(0)
			f.platform.Outage(30 * time.Second)
			f.startToday()
			f.within(time.Second, "floor", func() bool { return f.inForce("floor") })
			f.within(5*time.Second, "siblings", func() bool { return hasInstance(f.nodes[0], "i-01") && hasInstance(f.nodes[1], "i-00") })
			time.Sleep(30 * time.Second)
			f.within(5*time.Second, "configuration", func() bool { return f.inForce("w-0") })
			f.g.Expect(f.nodes[0].config.Config().Workspace("floor")).To(BeNil())
		})
	})
})

func hasInstance(n *node, id hbs.InstanceID) bool {
	for _, i := range n.directory.Roster().Instances {
		if i.ID == id {
			return true
		}
	}
	return false
}

var _ = Describe("an instance that leaves", func() {
	It("is called leaving by its peers within 1 s, and silent ones are dropped (rule 2)", func() {
		inBubble(func(f *fleet) {
			f.startToday()
			time.Sleep(3 * time.Second)
			leaver, stays := f.nodes[0], f.nodes[1]
			f.g.Expect(leaver.directory.Leave(f.ctx)).To(Succeed())
			f.within(time.Second, "leaving", func() bool {
				for _, i := range stays.directory.Roster().Instances {
					if i.ID == leaver.id {
						return i.State == hbs.InstanceLeaving
					}
				}
				return false
			})
			f.kill(leaver)
			f.within(2*time.Second, "dropped", func() bool { return !hasInstance(stays, leaver.id) })
			f.g.Expect(stays.server.Chosen()).To(BeTrue())
		})
	})
})

var _ = Describe("the platform's calls", func() {
	DescribeTable("do not grow with the instances", func(instances int) {
		inBubble(func(f *fleet) {
			f.seeds = append(f.seeds, peerAddress(0), peerAddress(1))
			for range instances {
				f.start("a")
			}
			time.Sleep(10 * time.Second)
			before := total(f.platform.Calls())
			const span = 30
			time.Sleep(span * time.Second)
			perSecond := float64(total(f.platform.Calls())-before) / span
			AddReportEntry("platform calls per second", perSecond)
			f.g.Expect(perSecond).To(BeNumerically("<", 0.5))
		})
	}, Entry("7", 7), Entry("21", 21))
})

func total(calls map[standin.CallKind]int) (n int) {
	for _, c := range calls {
		n += c
	}
	return n
}

var _ = Describe("another protocol version", func() {
	It("is refused with both versions named (rule 6)", func() {
		inBubble(func(f *fleet) {
			n := f.start("a")
			time.Sleep(time.Second)
			conn, err := grpc.NewClient("passthrough:///peer", grpc.WithTransportCredentials(insecure.NewCredentials()),
				grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
					return f.fabric.Network("a").Dial(ctx, peerAddress(0))
				}), grpc.WithDefaultCallOptions(grpc.ForceCodec(peer.Codec{})))
			f.g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			ctx := metadata.AppendToOutgoingContext(f.ctx, "hornbeamstage-protocol", "99")
			err = conn.Invoke(ctx, "/hornbeamstage.peer/Pull", &peer.Pull{Kind: hbs.ObjectEndpoint}, &peer.Updates{})
			f.g.Expect(status.Code(err)).To(Equal(codes.FailedPrecondition))
			f.g.Expect(err.Error()).To(ContainSubstring(`["99"] is not known; this instance speaks 1`))
			f.g.Expect(n.server.Alive()).To(HaveLen(1))
		})
	})
})
