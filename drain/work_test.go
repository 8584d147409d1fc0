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

// directory is a roster that a test sets.
type directory struct{ roster hbs.Roster }

func (d *directory) Roster() *hbs.Roster { return &d.roster }

func (d *directory) Changed() <-chan struct{} { return nil }

func (d *directory) set(r hbs.Revision, state hbs.EndpointState, instances ...hbs.InstanceID) {
	d.roster = hbs.Roster{Endpoints: []hbs.Endpoint{{ID: "e", Kind: hbs.KindEngine, State: state, Revision: r}}}
	for _, id := range instances {
		d.roster.Instances = append(d.roster.Instances, hbs.Instance{ID: id})
	}
}

// chosen is a Placer that always chooses e.
type chosen struct{ hbs.Placer }

func (chosen) Place(req *hbs.Request, _ []hbs.EndpointID) (hbs.Placement, error) {
	return hbs.Placement{Attempt: hbs.AttemptID(req.IdempotencyKey), Endpoint: hbs.Endpoint{ID: "e"}}, nil
}

func (chosen) Finish(*hbs.Placement, hbs.AttemptResult) {}

// drained is the revision of the record that drains e.
const drained = 7

// pair is an instance that drains e and one that may have work there.
type pair struct {
	Gomega
	holder, other   *drain.Work
	sees, seesOther directory
}

func inPair(test func(p *pair)) {
	synctest.Test(suiteT, func(t *testing.T) {
		p := &pair{Gomega: NewWithT(t)}
		p.holder = &drain.Work{Self: "a", Directory: &p.sees}
		p.other = &drain.Work{Self: "b", Directory: &p.seesOther}
		p.sees.set(drained, hbs.StateDraining, "a", "b")
		p.seesOther.set(drained, hbs.StateDraining, "a", "b")
		test(p)
	})
}

func (p *pair) begin(key string, deadline time.Duration) hbs.Placement {
	req := &hbs.Request{IdempotencyKey: key}
	if deadline > 0 {
		req.Deadline = time.Now().Add(deadline)
	}
	at, err := p.other.Placer(chosen{}).Place(req, nil)
	p.Expect(err).NotTo(HaveOccurred())
	return at
}

func (p *pair) end(at hbs.Placement) { p.other.Placer(chosen{}).Finish(&at, hbs.AttemptResult{}) }

func (p *pair) tell() { p.hear(p.other.Digest(100)) }

func (p *pair) hear(data []byte) {
	if data != nil {
		p.Expect(p.holder.Absorb(hbs.Instance{ID: "b"}, data)).To(Succeed())
	}
}

func (p *pair) standing() drain.Standing { return p.holder.Standing("e", drained, nil) }

var _ = Describe("Work", func() {
	b := []hbs.InstanceID{"b"}

	It("is idle when all have told that they have none (rules 1 to 3)", func() {
		inPair(func(p *pair) {
			first, second := p.begin("1", time.Hour), p.begin("2", time.Hour)
			p.tell()
			p.Expect(p.standing()).To(Equal(drain.Standing{Busy: b}))
			p.end(first)
			p.tell()
			p.Expect(p.standing().Idle()).To(BeFalse())
			p.end(second)
			p.Expect(p.standing().Idle()).To(BeFalse())
			p.tell()
			p.Expect(p.standing().Idle()).To(BeTrue())
		})
	})

	It("ends with the longest deadline told of when the instance falls silent (rule 3)", func() {
		inPair(func(p *pair) {
			p.begin("1", time.Minute)
			p.begin("2", time.Second)
			p.tell()
			time.Sleep(time.Minute)
			p.Expect(p.standing().Busy).To(Equal(b))
			time.Sleep(10 * time.Second)
			p.Expect(p.standing().Idle()).To(BeTrue())
		})
	})

	It("has no end without a deadline (rule 3)", func() {
		inPair(func(p *pair) {
			p.begin("1", 0)
			p.tell()
			time.Sleep(24 * time.Hour)
			p.Expect(p.standing().Busy).To(Equal(b))
		})
	})

	It("is not told of by an instance that has not seen the drain (rule 2)", func() {
		inPair(func(p *pair) {
			p.seesOther.set(drained-1, hbs.StateLive, "a", "b")
			p.tell()
			p.Expect(p.standing()).To(Equal(drain.Standing{Unheard: b}))
			p.seesOther.set(drained, hbs.StateDraining, "a", "b")
			p.tell()
			p.Expect(p.standing().Idle()).To(BeTrue())
		})
	})

	It("takes no late word of an earlier drain for one of this (rules 3 and 4)", func() {
		inPair(func(p *pair) {
			p.seesOther.set(drained-2, hbs.StateDraining, "a", "b")
			late := p.other.Digest(100)
			p.hear(late)
			p.Expect(p.standing().Unheard).To(Equal(b))
			p.begin("1", time.Minute)
			p.seesOther.set(drained, hbs.StateDraining, "a", "b")
			p.tell()
			p.hear(late)
			p.Expect(p.standing().Busy).To(Equal(b))
		})
	})

	It("forgets what was told of an engine that drains no more", func() {
		inPair(func(p *pair) {
			p.tell()
			p.Expect(p.standing().Idle()).To(BeTrue())
			p.sees.set(drained+1, hbs.StateLive, "a", "b")
			p.standing()
			p.sees.set(drained, hbs.StateDraining, "a", "b")
			p.Expect(p.standing().Unheard).To(Equal(b))
		})
	})

	It("counts instances that left the roster when they are asked for", func() {
		inPair(func(p *pair) {
			p.sees.set(drained, hbs.StateDraining, "a")
			p.Expect(p.holder.Standing("e", drained, b).Unheard).To(Equal(b))
		})
	})

	It("tells nothing rather than a part that does not fit (rule 5)", func() {
		inPair(func(p *pair) {
			p.Expect(p.other.Digest(3)).To(BeNil())
		})
	})

	It("tells nothing while no engine drains without load reports", func() {
		inPair(func(p *pair) {
			p.seesOther.roster.Endpoints[0].Capabilities.LoadReports = true
			p.Expect(p.other.Digest(100)).To(BeNil())
		})
	})
})

// FuzzAbsorb checks that no bytes of a peer make an instance seem idle that did
// not say so, or stop this one.
func FuzzAbsorb(f *testing.F) {
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
		w := &drain.Work{Self: "a", Directory: &d}
		err := w.Absorb(hbs.Instance{ID: "b"}, data)
		if s := w.Standing("e", drained, nil); err != nil && len(s.Unheard) != 1 {
			t.Errorf("%x was refused, but taken: %v", data, s)
		}
	})
}
