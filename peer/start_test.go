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
		withFleet(func(f *fleet) {
			id := f.putWorkspace(0)
			f.start("a")
			f.waitFor(time.Second, "configuration", func() bool { return f.haveWorkspace(id) })
		})
	})

	It("has it within 1 s from peers alone during a platform outage, and they know the instance", func() {
		withFleet(func(f *fleet) {
			f.startDefault()
			id := f.putWorkspace(0)
			time.Sleep(4 * time.Second)
			f.platform.Outage(time.Hour)
			time.Sleep(2 * time.Second)
			n := f.start("d")
			f.waitFor(time.Second, "configuration", func() bool { return f.haveWorkspace(id) })
			sibling := f.nodes[6]
			f.waitFor(2*time.Second, "known to its sibling", func() bool { return len(sibling.server.Alive()) > 1 && hasInstance(sibling, n.id) })
		})
	})

	It("uses the fallback configuration (floor) when all restart during a platform outage, and finds its peers", func() {
		withFleet(func(f *fleet) {
			f.floor = &config.Config{Workspaces: []config.Workspace{{ID: "floor", Weight: 1}}}
			f.putWorkspace(0)
			f.platform.Outage(30 * time.Second)
			f.startDefault()
			f.waitFor(time.Second, "floor", func() bool { return f.haveWorkspace("floor") })
			f.waitFor(5*time.Second, "siblings", func() bool { return hasInstance(f.nodes[0], "i-01") && hasInstance(f.nodes[1], "i-00") })
			time.Sleep(30 * time.Second)
			f.waitFor(5*time.Second, "configuration", func() bool { return f.haveWorkspace("w-0") })
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
	It("is known as leaving within 1 s, and removed once its heartbeats stop (rule 2)", func() {
		withFleet(func(f *fleet) {
			f.startDefault()
			time.Sleep(3 * time.Second)
			leaving, staying := f.nodes[0], f.nodes[1]
			f.g.Expect(leaving.directory.Leave(f.ctx)).To(Succeed())
			f.waitFor(time.Second, "leaving", func() bool {
				for _, i := range staying.directory.Roster().Instances {
					if i.ID == leaving.id {
						return i.State == hbs.InstanceLeaving
					}
				}
				return false
			})
			f.kill(leaving)
			f.waitFor(2*time.Second, "dropped", func() bool { return !hasInstance(staying, leaving.id) })
			f.g.Expect(staying.server.IsRepresentative()).To(BeTrue())
		})
	})
})

var _ = Describe("calls to the platform", func() {
	DescribeTable("do not grow with the number of instances", func(instances int) {
		withFleet(func(f *fleet) {
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
	It("is rejected with an error that names both versions (rule 6)", func() {
		withFleet(func(f *fleet) {
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
