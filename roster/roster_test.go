package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/roster"
)

var suite *testing.T

func TestRoster(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

const gracePeriod = 2 * time.Second

func engine(id hbs.EndpointID, weights hbs.WeightsVersion) hbs.Endpoint {
	return hbs.Endpoint{
		ID: id, Kind: hbs.KindEngine, Domain: "d", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		State: hbs.StateLive, Model: "m", Weights: weights, Slots: 1,
	}
}

// states returns the state of each endpoint in the roster.
func states(d *roster.Directory) map[hbs.EndpointID]hbs.EndpointState {
	m := map[hbs.EndpointID]hbs.EndpointState{}
	for _, e := range d.Roster().Endpoints {
		m[e.ID] = e.State
	}
	return m
}

// next returns the endpoints that are marked as next to change their weights.
func next(d *roster.Directory) (ids []hbs.EndpointID) {
	for _, e := range d.Roster().Endpoints {
		if e.Rollout == hbs.RolloutNext {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

var _ = Describe("Directory", func() {
	withDirectory := func(f func(g *WithT, d *roster.Directory)) {
		synctest.Test(suite, func(t *testing.T) {
			f(NewWithT(t), &roster.Directory{Self: hbs.Instance{ID: "i"}, RecoveryGrace: gracePeriod})
		})
	}

	It("removes an endpoint at once when its record is removed (rule 2)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			d.Put(engine("a", "1"))
			changed := d.Changed()
			d.Remove("a")
			g.Expect(states(d)).To(BeEmpty())
			g.Expect(changed).To(BeClosed())
		})
	})

	// Guards against instances of large fleets that have no processor time left for
	// requests: each change of a record built a roster of all endpoints.
	It("publishes one roster for all changes of a batch", func() {
		d := &roster.Directory{}
		before, changed := d.Roster(), d.Changed()
		d.Batch(func() {
			for i := range 50 {
				d.Put(engine(hbs.EndpointID(fmt.Sprintf("e%d", i)), "1"))
				Expect(d.Roster() == before).To(BeTrue())
			}
		})
		Expect(changed).To(BeClosed())
		Expect(d.Roster().Endpoints).To(HaveLen(50))
	})

	It("keeps an endpoint whose record expired during an outage, for RecoveryGrace after it (rule 3)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			d.Put(engine("a", "1"))
			d.Put(engine("b", "1"))
			time.Sleep(10 * time.Second)
			d.PlatformRecovered()
			d.Remove("a")
			d.Replace([]hbs.Endpoint{engine("c", "1")})
			time.Sleep(gracePeriod / 2)
			d.ApplyTimeouts()
			g.Expect(states(d)).To(HaveLen(3))
			d.Put(engine("a", "1"))
			time.Sleep(gracePeriod)
			d.ApplyTimeouts()
			g.Expect(states(d)).To(HaveLen(2))
			g.Expect(states(d)).To(HaveKey(hbs.EndpointID("a")))
			g.Expect(states(d)).NotTo(HaveKey(hbs.EndpointID("b")))
			d.Remove("a")
			g.Expect(states(d)).To(HaveLen(1))
		})
	})

	// Guards against an endpoint that is used on because its record, which another
	// writer made odd during an outage, is taken for one that expired.
	It("drops an endpoint at once when its record can't be decoded, also soon after an outage (rule 1)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			d.Put(engine("a", "1"))
			d.Put(engine("b", "1"))
			time.Sleep(10 * time.Second)
			d.PlatformRecovered()
			d.Discard("a")
			g.Expect(states(d)).To(HaveLen(1))
			g.Expect(states(d)).To(HaveKey(hbs.EndpointID("b")))
			d.Remove("b")
			d.Discard("b")
			g.Expect(states(d)).To(BeEmpty())
			d.Put(engine("b", "1"))
			time.Sleep(2 * gracePeriod)
			d.ApplyTimeouts()
			g.Expect(states(d)).To(HaveLen(1))
		})
	})

	It("prefers the weights that an endpoint reports over those in its record (rule 4)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			d.Put(engine("a", "1"))
			d.SetReportedWeights("a", "1", "2")
			d.SetReportedWeights("a", "1", "3")
			d.SetReportedWeights("a", "2", "")
			g.Expect(d.Roster().Endpoints[0].Weights).To(Equal(hbs.WeightsVersion("2")))
		})
	})

	It("gives an engine that changes its weights no new work, until it has them or ChangeTimeout has passed (rule 5)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			d.ChangeTimeout = 6 * time.Second
			d.Put(engine("a", "1"))
			d.Put(engine("b", "1"))
			d.AnnounceChange("a", "1")
			d.AnnounceChange("b", "1")
			g.Expect(states(d)).To(HaveEach(hbs.StateDraining))
			d.Put(engine("a", "2"))
			g.Expect(states(d)).To(HaveKeyWithValue(hbs.EndpointID("a"), hbs.StateLive))
			time.Sleep(7 * time.Second)
			d.AnnounceChange("b", "1")
			d.ApplyTimeouts()
			g.Expect(states(d)).To(HaveEach(hbs.StateLive))
		})
	})

	It("gives engines with too old weights no new work while another engine of the model has newer ones (rule 6)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			start := time.Now()
			d.TooOld = func(e *hbs.Endpoint) bool { return e.Weights == "1" && time.Since(start) > time.Minute }
			d.Put(engine("a", "1"))
			time.Sleep(2 * time.Minute)
			d.ApplyTimeouts()
			g.Expect(states(d)).To(HaveKeyWithValue(hbs.EndpointID("a"), hbs.StateLive), "it is the only engine of its model")
			d.Put(engine("b", "2"))
			g.Expect(states(d)).To(HaveKeyWithValue(hbs.EndpointID("a"), hbs.StateDraining))
			g.Expect(states(d)).To(HaveKeyWithValue(hbs.EndpointID("b"), hbs.StateLive))
		})
	})

	// Guards against work on replaced weights (VERSION): when the weights of all engines
	// were too old, those with the oldest ones came into use again.
	It("gives only the engines with the newest weights new work while all are too old (rule 6)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			d.ChangeTimeout = time.Minute
			d.TooOld = func(*hbs.Endpoint) bool { return true }
			d.Put(engine("a", "9"))
			d.Put(engine("b", "10"))
			d.Put(engine("c", "10"))
			d.Put(engine("d", "11"))
			d.AnnounceChange("d", "11")
			g.Expect(states(d)).To(Equal(map[hbs.EndpointID]hbs.EndpointState{
				"a": hbs.StateDraining, "b": hbs.StateLive, "c": hbs.StateLive, "d": hbs.StateDraining,
			}))
		})
	})

	// Guards against lost capacity and work on replaced weights (VERSION): engines whose
	// weights aren't due yet went out of use together with those that are.
	It("gives all engines whose weights aren't due yet new work while all are too old (rule 6)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			d.TooOld = func(*hbs.Endpoint) bool { return true }
			d.Due = func(e *hbs.Endpoint) bool { return e.Weights == "9" }
			d.Put(engine("a", "9"))
			d.Put(engine("b", "10"))
			d.Put(engine("c", "11"))
			g.Expect(states(d)).To(Equal(map[hbs.EndpointID]hbs.EndpointState{
				"a": hbs.StateDraining, "b": hbs.StateLive, "c": hbs.StateLive,
			}))
		})
	})

	// Guards against work on replaced weights (VERSION): engines with the newest weights
	// stayed in use at instances that know that nothing excuses it.
	It("gives engines whose weights are barred no new work, also while all are too old (rule 6)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			barred := false
			d.TooOld = func(e *hbs.Endpoint) bool { return e.Weights == "1" }
			d.Barred = func(*hbs.Endpoint) bool { return barred }
			d.Put(engine("a", "1"))
			d.Put(engine("b", "1"))
			g.Expect(states(d)).To(HaveEach(hbs.StateLive))
			barred = true
			d.ApplyTimeouts()
			g.Expect(states(d)).To(HaveEach(hbs.StateDraining))
			d.SetReportedWeights("b", "1", "2")
			g.Expect(states(d)).To(Equal(map[hbs.EndpointID]hbs.EndpointState{"a": hbs.StateDraining, "b": hbs.StateLive}))
			barred = false
			d.Put(engine("b", "1"))
			g.Expect(states(d)).To(HaveEach(hbs.StateLive))
		})
	})

	// Guards against work on replaced weights that no log line explains.
	It("logs when an engine's weights are too old, and whether it stays in use (rule 6)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			core, logs := observer.New(zap.InfoLevel)
			d.Log = zap.New(core)
			d.TooOld = func(e *hbs.Endpoint) bool { return e.Weights == "1" }
			d.Put(engine("a", "1"))
			d.Put(engine("b", "2"))
			d.ApplyTimeouts()
			d.Put(engine("a", "2"))
			var seen []any
			for _, l := range logs.FilterMessage("state of weights changed").All() {
				f := l.ContextMap()
				g.Expect(f).To(HaveKeyWithValue("endpoint", "a"))
				seen = append(seen, f["to"], f["new_work"])
			}
			g.Expect(seen).To(Equal([]any{"overdue_in_use", true, "overdue", false, "", true}))
		})
	})

	It("marks the engines that are next to change their weights, until they change (rule 7)", func() {
		withDirectory(func(g *WithT, d *roster.Directory) {
			d.ChangeTimeout = time.Minute
			released := false
			d.Rollouts = func(es []hbs.Endpoint) map[hbs.EndpointID]hbs.Rollout {
				for i := range es {
					if released && es[i].State == hbs.StateLive && es[i].Weights == "1" {
						return map[hbs.EndpointID]hbs.Rollout{es[i].ID: hbs.RolloutNext}
					}
				}
				return nil
			}
			d.Put(engine("a", "1"))
			d.Put(engine("b", "1"))
			g.Expect(next(d)).To(BeEmpty())
			released = true
			d.ApplyTimeouts()
			g.Expect(next(d)).To(ConsistOf(hbs.EndpointID("a")))
			d.AnnounceChange("a", "1")
			g.Expect(next(d)).To(ConsistOf(hbs.EndpointID("b")))
			d.Put(engine("b", "2"))
			g.Expect(next(d)).To(BeEmpty())
		})
	})
})
