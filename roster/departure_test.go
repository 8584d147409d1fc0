package roster_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/roster"
)

// beat returns the record of engine a with a number of heartbeats, in a store that was
// restored so many times.
func beat(incarnation hbs.Incarnation, heartbeats float64, restores uint64) hbs.Endpoint {
	e := engine("a", "1")
	e.Incarnation, e.Heartbeats, e.Revision = incarnation, heartbeats, hbs.RevisionAfter(restores, 7)
	return e
}

// Guards against requests to endpoints that have left (DRAIN), and against endpoints
// that are left out although they run.
var _ = DescribeTable("an endpoint that left before the store was restored (rule 8)", func(leave func(*roster.Directory), after time.Duration, record hbs.Endpoint, want hbs.EndpointState) {
	synctest.Test(suite, func(t *testing.T) {
		g := NewWithT(t)
		d := &roster.Directory{Self: hbs.Instance{ID: "i"}, RecoveryGrace: gracePeriod}
		d.Put(beat("1", 5, 0))
		time.Sleep(10 * time.Second)
		leave(d)
		time.Sleep(time.Second)
		d.PlatformRecovered()
		d.Put(beat("1", 5, 1))
		g.Expect(states(d)).To(Equal(map[hbs.EndpointID]hbs.EndpointState{"a": hbs.StateLeaving}))
		time.Sleep(after)
		d.Put(record)
		d.ApplyTimeouts()
		g.Expect(states(d)).To(Equal(map[hbs.EndpointID]hbs.EndpointState{"a": want}))
	})
},
	Entry("its record was removed, and is written without a heartbeat", remove, time.Second, beat("1", 5, 1), hbs.StateLeaving),
	Entry("it was draining, and its record is written without a heartbeat", drain, time.Second, beat("1", 6, 1), hbs.StateLeaving),
	Entry("its record was removed, and it goes on", remove, time.Second, beat("1", 6, 1), hbs.StateLive),
	Entry("it was draining, and starts again", drain, time.Second, beat("2", 1, 1), hbs.StateLive),
	Entry("its record was removed, and stays for long", remove, 21*time.Second, beat("1", 5, 1), hbs.StateLive),
)

func remove(d *roster.Directory) { d.Remove("a") }

func drain(d *roster.Directory) {
	e := beat("1", 6, 0)
	e.State = hbs.StateLeaving
	d.Put(e)
}

var _ = It("takes an endpoint back that registers again in the same store", func() {
	synctest.Test(suite, func(t *testing.T) {
		g := NewWithT(t)
		d := &roster.Directory{Self: hbs.Instance{ID: "i"}, RecoveryGrace: gracePeriod}
		d.Put(beat("1", 5, 0))
		d.Remove("a")
		d.Put(beat("1", 5, 0))
		g.Expect(states(d)).To(HaveKeyWithValue(hbs.EndpointID("a"), hbs.StateLive))
	})
})
