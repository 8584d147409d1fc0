package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/standin/churn"
)

// Load pattern: instances of the domain are replaced one after another. This one
// hears of each only from a peer, or sends to it in vain.
func TestReplacedInstancesAreForgotten(t *testing.T) {
	const (
		replaced = 10000
		mostKept = 200 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &Server{
			Self:    func() hbs.Instance { return hbs.Instance{ID: "self", Domain: "d"} },
			Objects: &mirror.Set{}, Policy: knob.NewFixed(Knobs),
		}
		m := newMembers(s)
		growth := churn.Growth(replaced, func(i int) {
			id := hbs.InstanceID(fmt.Sprint("i", i))
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
			reported := hbs.Instance{ID: id, Domain: "d", PeerAddress: address}
			m.recordHeartbeat(hbs.Instance{ID: "peer", Domain: "d"}, &Heartbeat{Interval: time.Second, Unlisted: []hbs.Instance{reported}})
			m.recordSendFailure(id)
			time.Sleep(2 * time.Second)
			g.Expect(m.known()).To(HaveKey(id))
		})
		g.Expect(growth).To(BeNumerically("<", mostKept))
		g.Expect(len(m.reported)).To(BeNumerically("<", replaced/10))
	})
}
