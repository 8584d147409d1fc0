package drain_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/drain"
)

var suiteT *testing.T

func TestDrain(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

// directory returns a roster that a test sets.
type directory struct{ roster hbs.Roster }

func (d *directory) Roster() *hbs.Roster { return &d.roster }

func (d *directory) Changed() <-chan struct{} { return nil }

func (d *directory) set(r hbs.Revision, state hbs.EndpointState, instances ...hbs.InstanceID) {
	d.roster = hbs.Roster{Endpoints: []hbs.Endpoint{{ID: "e", Kind: hbs.KindEngine, State: state, Revision: r}}}
	for _, id := range instances {
		d.roster.Instances = append(d.roster.Instances, hbs.Instance{ID: id})
	}
}

// fixedPlacer is a Placer that always chooses e.
type fixedPlacer struct{ hbs.Placer }

func (fixedPlacer) Place(req *hbs.Request, _ []hbs.EndpointID) (hbs.Placement, error) {
	return hbs.Placement{Attempt: hbs.AttemptID(req.IdempotencyKey), Endpoint: hbs.Endpoint{ID: "e"}}, nil
}

func (fixedPlacer) Finish(*hbs.Placement, hbs.AttemptResult) {}

// drained is the revision of the record that drains e.
const drained = 7

// pair is an instance that observes the drain of e and another one that may have
// attempts there.
type pair struct {
	Gomega
	observer, other                   *drain.Tracker
	observerDirectory, otherDirectory directory
}

func inPair(test func(p *pair)) {
	synctest.Test(suiteT, func(t *testing.T) {
		p := &pair{Gomega: NewWithT(t)}
		p.observer = &drain.Tracker{Self: "a", Directory: &p.observerDirectory}
		p.other = &drain.Tracker{Self: "b", Directory: &p.otherDirectory}
		p.observerDirectory.set(drained, hbs.StateDraining, "a", "b")
		p.otherDirectory.set(drained, hbs.StateDraining, "a", "b")
		test(p)
	})
}

func (p *pair) begin(key string, deadline time.Duration) hbs.Placement {
	req := &hbs.Request{IdempotencyKey: key}
	if deadline > 0 {
		req.Deadline = time.Now().Add(deadline)
	}
	at, err := p.other.Placer(fixedPlacer{}).Place(req, nil)
	p.Expect(err).NotTo(HaveOccurred())
	return at
}

func (p *pair) end(at hbs.Placement) { p.other.Placer(fixedPlacer{}).Finish(&at, hbs.AttemptResult{}) }

func (p *pair) exchange() { p.receive(p.other.Digest(100)) }

func (p *pair) receive(data []byte) {
	if data != nil {
		p.Expect(p.observer.Merge(hbs.Instance{ID: "b"}, data)).To(Succeed())
	}
}

func (p *pair) status() drain.Status { return p.observer.Status("e", drained, nil) }

var _ = Describe("Tracker", func() {
	b := []hbs.InstanceID{"b"}

	It("is idle once all instances have reported no attempts (rules 1 to 3)", func() {
		inPair(func(p *pair) {
			first, second := p.begin("1", time.Hour), p.begin("2", time.Hour)
			p.exchange()
			p.Expect(p.status()).To(Equal(drain.Status{Busy: b}))
			p.end(first)
			p.exchange()
			p.Expect(p.status().Idle()).To(BeFalse())
			p.end(second)
			p.Expect(p.status().Idle()).To(BeFalse())
			p.exchange()
			p.Expect(p.status().Idle()).To(BeTrue())
		})
	})

	It("is idle after the latest reported deadline if the instance stops reporting (rule 3)", func() {
		inPair(func(p *pair) {
			p.begin("1", time.Minute)
			p.begin("2", time.Second)
			p.exchange()
			time.Sleep(time.Minute)
			p.Expect(p.status().Busy).To(Equal(b))
			time.Sleep(10 * time.Second)
			p.Expect(p.status().Idle()).To(BeTrue())
		})
	})

	It("stays busy for an attempt without a deadline (rule 3)", func() {
		inPair(func(p *pair) {
			p.begin("1", 0)
			p.exchange()
			time.Sleep(24 * time.Hour)
			p.Expect(p.status().Busy).To(Equal(b))
		})
	})

	It("takes an instance that has not seen the drain as unreported (rules 2 and 4)", func() {
		inPair(func(p *pair) {
			p.otherDirectory.set(drained-1, hbs.StateLive, "a", "b")
			p.exchange()
			p.Expect(p.status()).To(Equal(drain.Status{Unreported: b}))
			p.otherDirectory.set(drained, hbs.StateDraining, "a", "b")
			p.exchange()
			p.Expect(p.status().Idle()).To(BeTrue())
		})
	})

	It("ignores a late report of an earlier drain (rules 3 and 4)", func() {
		inPair(func(p *pair) {
			p.otherDirectory.set(drained-2, hbs.StateDraining, "a", "b")
			late := p.other.Digest(100)
			p.receive(late)
			p.Expect(p.status().Unreported).To(Equal(b))
			p.begin("1", time.Minute)
			p.otherDirectory.set(drained, hbs.StateDraining, "a", "b")
			p.exchange()
			p.receive(late)
			p.Expect(p.status().Busy).To(Equal(b))
		})
	})

	It("removes reports on an engine that is no longer draining", func() {
		inPair(func(p *pair) {
			p.exchange()
			p.Expect(p.status().Idle()).To(BeTrue())
			p.observerDirectory.set(drained+1, hbs.StateLive, "a", "b")
			p.status()
			p.observerDirectory.set(drained, hbs.StateDraining, "a", "b")
			p.Expect(p.status().Unreported).To(Equal(b))
		})
	})

	It("considers instances that left the roster if they are named", func() {
		inPair(func(p *pair) {
			p.observerDirectory.set(drained, hbs.StateDraining, "a")
			p.Expect(p.observer.Status("e", drained, b).Unreported).To(Equal(b))
		})
	})

	It("leaves out reports that do not fit into the budget (rule 5)", func() {
		inPair(func(p *pair) {
			p.Expect(p.other.Digest(3)).To(BeNil())
		})
	})

	It("reports nothing on engines that report their load", func() {
		inPair(func(p *pair) {
			p.otherDirectory.roster.Endpoints[0].Capabilities.LoadReports = true
			p.Expect(p.other.Digest(100)).To(BeNil())
		})
	})
})

// FuzzMerge checks that a refused digest does not make its sender seem idle, and
// that no digest causes a panic.
func FuzzMerge(f *testing.F) {
	for _, seed := range []any{
		[][]any{{"e", 7, 1, int64(time.Hour)}}, [][]any{{"e", 7, -1, 0}}, [][]any{{"e", 7, 0, int64(26 * time.Hour)}}, [][]any{{"", 7, 0, 0}}, []any{1},
	} {
		data, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d directory
		d.set(drained, hbs.StateDraining, "a", "b")
		w := &drain.Tracker{Self: "a", Directory: &d}
		err := w.Merge(hbs.Instance{ID: "b"}, data)
		if s := w.Status("e", drained, nil); err != nil && len(s.Unreported) != 1 {
			t.Errorf("%x was refused but changed the state: %v", data, s)
		}
	})
}
