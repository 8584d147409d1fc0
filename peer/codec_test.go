package peer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/peer"
)

func instance(id hbs.InstanceID) hbs.Instance {
	return hbs.Instance{ID: id, Domain: "d", State: hbs.InstanceLive, PeerAddress: peerAddress(1)}
}

// fullHeartbeat returns a heartbeat with every field set.
func fullHeartbeat() *peer.Heartbeat {
	from := instance("i")
	return &peer.Heartbeat{From: &from, Interval: time.Second, Summaries: []mirror.Summary{{Kind: hbs.ObjectEndpoint, Revision: 7, Digest: 9}},
		Sections: []peer.SectionData{{Name: "s", Data: []byte{1}}},
		Relayed:  []peer.Relayed{{From: instance("j"), Reach: hbs.ReachFleet, SectionData: peer.SectionData{Name: "t", Data: []byte{2}}}},
		Unlisted: []hbs.Instance{instance("k")}}
}

var _ = Describe("Codec", func() {
	It("decodes what it encoded", func() {
		data, err := peer.Codec{}.Marshal(fullHeartbeat())
		Expect(err).NotTo(HaveOccurred())
		var again peer.Heartbeat
		Expect(peer.Codec{}.Unmarshal(data, &again)).To(Succeed())
		Expect(&again).To(Equal(fullHeartbeat()))
	})

	DescribeTable("rejects invalid messages", func(good bool, v, into any) {
		data, err := peer.Codec{}.Marshal(v)
		Expect(err).NotTo(HaveOccurred())
		Expect(peer.Codec{}.Unmarshal(data, into) == nil).To(Equal(good))
	},
		Entry("valid pull", true, &peer.Pull{Kind: hbs.ObjectEndpoint}, &peer.Pull{}),
		Entry("kind that is not mirrored", false, &peer.Pull{Kind: hbs.ObjectClaim}, &peer.Pull{}),
		Entry("heartbeat without an interval", false, &peer.Heartbeat{}, &peer.Heartbeat{}),
		Entry("instance without an ID", false, &peer.Heartbeat{Interval: 1, From: &hbs.Instance{}}, &peer.Heartbeat{}),
		Entry("update without a revision", false, &peer.Push{Updates: []mirror.Update{{Kind: hbs.ObjectEndpoint, Name: "e"}}}, &peer.Push{}),
		Entry("update of a claim", false, &peer.Updates{Updates: []mirror.Update{{Kind: hbs.ObjectClaim, Name: "e", Revision: 1}}}, &peer.Updates{}),
	)
})

func FuzzCodec(f *testing.F) {
	for _, v := range []any{fullHeartbeat(), &peer.Pull{Kind: hbs.ObjectEndpoint}, &peer.Push{Group: []hbs.InstanceID{"i"}}, &peer.Updates{More: true}} {
		data, err := peer.Codec{}.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, into := range []any{&peer.Heartbeat{}, &peer.Pull{}, &peer.Push{}, &peer.Updates{}} {
			if (peer.Codec{}).Unmarshal(data, into) != nil {
				continue
			}
			if _, err := (peer.Codec{}).Marshal(into); err != nil {
				t.Fatal(err)
			}
		}
	})
}
