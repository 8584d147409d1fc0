package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/quarantine"
)

var suite *testing.T

func TestQuarantine(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

const (
	// moment is longer than the time within which crashes count once.
	moment = time.Second
	// firstQuarantine is the default of quarantine.duration.
	firstQuarantine = 10 * time.Minute
)

// inBubble runs a spec in virtual time.
func inBubble(f func(g *WithT)) {
	synctest.Test(suite, func(t *testing.T) { f(NewWithT(t)) })
}

func newTracker(self string) *quarantine.Tracker {
	return &quarantine.Tracker{Self: hbs.InstanceID(self), Policy: knob.NewFixed(quarantine.Knobs)}
}

var requests int

// request returns a request with an ID of its own for the parts.
func request(parts ...hbs.PartID) *hbs.Request {
	requests++
	return &hbs.Request{ID: hbs.RequestID(fmt.Sprint("r", requests)), Model: "m", Parts: parts}
}

// engine returns an incarnation of an engine.
func engine(n, incarnation int) *hbs.Endpoint {
	return &hbs.Endpoint{ID: hbs.EndpointID(fmt.Sprint("e", n)), Incarnation: hbs.Incarnation(fmt.Sprint(incarnation)), Kind: hbs.KindEngine}
}

// answer reports answers to n requests with the parts.
func answer(t *quarantine.Tracker, n int, parts ...hbs.PartID) {
	for range n {
		t.Answered(request(parts...))
	}
}

// crash reports n crashes of different engines at different moments under requests
// with the parts, each followed by answers to others that share the first part.
func crash(t *quarantine.Tracker, n int, parts ...hbs.PartID) {
	for i := range n {
		t.Crashed(request(parts...), engine(i, 1), time.Time{})
		answer(t, 5, parts[0], "other")
		time.Sleep(moment)
	}
}

var _ = Describe("a part under which engines crash", func() {
	// Guards against engines that crash one after the other under requests of one kind.
	It("is quarantined with the third crash, for its model only (rules 1 and 4)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			crash(t, 2, "shared", "bad")
			g.Expect(t.Check(request("shared", "bad"))).To(BeNil())
			crash(t, 3, "shared", "bad")
			r := t.Check(request("shared", "bad"))
			g.Expect(r).NotTo(BeNil())
			g.Expect(r.Outcome).To(Equal(hbs.OutcomeNotRun))
			g.Expect(r.Reason).To(Equal(hbs.ReasonQuarantined))
			g.Expect(r.RetryAfter).To(BeNumerically(">", 0))
			g.Expect(t.Begin(request("elsewhere", "bad"))).NotTo(BeNil())
			other := request("shared", "bad")
			other.Model = "n"
			g.Expect(t.Check(other)).To(BeNil())
		})
	})

	// Guards against sound requests that are refused for a part that they share with
	// deadly ones.
	It("leaves the other parts of its requests usable (rule 3)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			crash(t, 6, "shared", "bad")
			g.Expect(t.Check(request("shared", "good"))).To(BeNil())
			g.Expect(t.Begin(request("shared", "good"))).To(BeNil())
		})
	})

	// Guards against a crash that counts twice since two requests saw it.
	It("counts one incarnation once (rule 2)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for range 5 {
				t.Crashed(request("bad"), engine(1, 1), time.Time{})
				answer(t, 5, "other")
				time.Sleep(moment)
			}
			g.Expect(t.Check(request("bad"))).To(BeNil())
			t.Crashed(request("bad"), engine(1, 2), time.Time{})
			time.Sleep(moment)
			t.Crashed(request("bad"), engine(1, 3), time.Time{})
			time.Sleep(moment)
			g.Expect(t.Check(request("bad"))).NotTo(BeNil())
		})
	})

	// Guards against an engine that crashes again and again before its record tells that
	// it was started again.
	It("counts a crash of the same incarnation again if a connection was made in between (rule 2)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for range 3 {
				connected := time.Now()
				time.Sleep(moment)
				t.Crashed(request("bad"), engine(1, 1), connected)
				t.Crashed(request("bad"), engine(1, 1), connected)
				answer(t, 5, "other")
				time.Sleep(moment)
			}
			g.Expect(t.Check(request("bad"))).NotTo(BeNil())
		})
	})

	// Guards against requests that crash one engine after the other by their repeats.
	It("is not sent again with a request under which an engine crashed, if all of its parts have a further crash (rule 6)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			g.Expect(t.Crashed(request("shared", "bad"), engine(1, 1), time.Time{})).To(BeTrue())
			g.Expect(t.Crashed(request("shared", "bad"), engine(1, 1), time.Time{})).To(BeTrue(), "the same crash")
			g.Expect(t.Crashed(request("shared", "good"), engine(2, 1), time.Time{})).To(BeTrue())
			g.Expect(t.Crashed(request("shared", "bad"), engine(2, 1), time.Time{})).To(BeFalse())
		})
	})

	// Guards against a caller whose prompts have so many parts that a suspect is
	// forgotten.
	It("stays suspect when there are more parts than are tracked", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 3 {
				t.Crashed(request("bad"), engine(n, 1), time.Time{})
				time.Sleep(moment)
			}
			var many []hbs.PartID
			for i := range 5000 {
				many = append(many, hbs.PartID(fmt.Sprint("many", i)))
			}
			t.Crashed(request(many...), engine(9, 1), time.Time{})
			time.Sleep(moment)
			answer(t, 100, "other")
			g.Expect(t.Check(request("bad"))).NotTo(BeNil())
		})
	})

	// Guards against a quarantine that never ends, and one that ends again and again
	// while engines still crash.
	It("is free after the quarantine, twice as late the next time (rule 8)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for offence := range 3 {
				crash(t, 3, "bad")
				crash(t, 3, "shared", "bad")
				g.Expect(t.Check(request("bad"))).NotTo(BeNil())
				time.Sleep(firstQuarantine<<offence - 10*moment)
				g.Expect(t.Check(request("bad"))).NotTo(BeNil())
				time.Sleep(10 * moment)
				g.Expect(t.Check(request("bad"))).To(BeNil())
			}
		})
	})

	// Guards against a sound part that stays refused although an engine answered it.
	It("is free at once after an answer (rules 3 and 8)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			crash(t, 3, "shared", "bad")
			g.Expect(t.Check(request("bad"))).NotTo(BeNil())
			time.Sleep(moment)
			answer(t, 1, "shared", "bad")
			g.Expect(t.Check(request("bad"))).To(BeNil())
		})
	})
})

var _ = Describe("a sound part", func() {
	// Guards against a part that is blamed for crashes long ago.
	It("is not blamed for crashes that are far apart (rule 7)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 6 {
				t.Crashed(request("shared", "part"), engine(n, 1), time.Time{})
				answer(t, 5, "shared", "other")
				time.Sleep(3 * time.Minute)
			}
			g.Expect(t.Check(request("part"))).To(BeNil())
		})
	})

	// Guards against a loss of power that is taken for the fault of what ran then.
	It("is not blamed if all engines crash at once (rule 2)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 20 {
				t.Crashed(request("shared", "part"), engine(n, 1), time.Time{})
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(moment)
			answer(t, 50, "other")
			g.Expect(t.Check(request("shared", "part"))).To(BeNil())
		})
	})

	// Guards against one loss of power that counts as several crashes, since reports
	// of it arrive at different times.
	It("is not blamed for one loss of power of which several instances tell (rules 2 and 9)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			var reports []hbs.Object
			for n := range 3 {
				t.Crashed(request("beside"), engine(n, 1), time.Time{})
				o := newTracker(fmt.Sprint("o", n))
				o.Crashed(request("shared", "part"), engine(n, 1), time.Time{})
				value, _, err := o.Report()
				g.Expect(err).NotTo(HaveOccurred())
				reports = append(reports, hbs.Object{Kind: quarantine.Kind, Name: string(o.Self), Revision: 1, Value: value})
			}
			for i := range reports {
				time.Sleep(300 * time.Millisecond)
				t.Merge(&reports[i], true)
			}
			time.Sleep(moment)
			answer(t, 50, "other")
			g.Expect(t.Check(request("shared", "part"))).To(BeNil())
		})
	})

	// Guards against a part that is blamed for the crashes of engines that ran it
	// beside a deadly one, as placement sends similar requests to the same engines.
	It("is not blamed for crashes that another part explains (rule 5)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 4 {
				if n > 0 {
					t.Crashed(request("shared", "beside"), engine(n, 1), time.Time{})
				}
				t.Crashed(request("shared", "bad"), engine(n, 1), time.Time{})
				answer(t, 5, "shared", "other")
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(moment)
			g.Expect(t.Check(request("shared", "beside"))).To(BeNil())
			g.Expect(t.Check(request("shared", "bad"))).NotTo(BeNil())
			for range 3 {
				g.Expect(t.Begin(request("shared", "beside"))).To(BeNil(), "it is no longer suspect")
			}
		})
	})

	// Guards against a part that is blamed first, since the deadly one was known later.
	It("is not blamed while another part, known later, explains its crashes and more (rule 5)", func() {
		inBubble(func(g *WithT) {
			here, there := newTracker("i"), newTracker("j")
			for n := range 4 {
				if n > 0 {
					here.Crashed(request("shared", "beside"), engine(n, 1), time.Time{})
				}
				there.Crashed(request("shared", "bad"), engine(n, 1), time.Time{})
				answer(here, 5, "shared", "other")
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(200 * time.Millisecond)
			value, _, err := there.Report()
			g.Expect(err).NotTo(HaveOccurred())
			here.Merge(&hbs.Object{Kind: quarantine.Kind, Name: "j", Revision: 1, Value: value}, true)
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				answer(here, 1, "shared", "other")
				g.Expect(here.Check(request("beside"))).To(BeNil())
			}
			g.Expect(here.Check(request("bad"))).NotTo(BeNil())
		})
	})

	// Guards against a part that is blamed for crashes which others tell of when the
	// deadly part is known already.
	It("is not blamed for explained crashes that are told later (rules 5 and 9)", func() {
		inBubble(func(g *WithT) {
			here, there := newTracker("i"), newTracker("j")
			for n := range 4 {
				here.Crashed(request("shared", "bad"), engine(n, 1), time.Time{})
				if n > 0 {
					there.Crashed(request("shared", "beside"), engine(n, 1), time.Time{})
				}
				answer(here, 5, "shared", "other")
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(moment)
			g.Expect(here.Check(request("bad"))).NotTo(BeNil())
			value, _, err := there.Report()
			g.Expect(err).NotTo(HaveOccurred())
			here.Merge(&hbs.Object{Kind: quarantine.Kind, Name: "j", Revision: 1, Value: value}, true)
			time.Sleep(moment)
			answer(here, 50, "shared", "other")
			g.Expect(here.Check(request("beside"))).To(BeNil())
		})
	})

	// Guards against sound requests that are refused for a part which so far only came
	// together with the deadly one.
	It("is not blamed as it only comes with a deadly one, until it crashes engines without it (rules 5 and 6)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			crash(t, 3, "shared", "middle", "worse")
			g.Expect(t.Check(request("shared", "middle", "worse"))).NotTo(BeNil())
			g.Expect(t.Check(request("shared", "middle"))).To(BeNil())
			time.Sleep(2 * moment)
			trial := request("shared", "middle")
			g.Expect(t.Begin(trial)).To(BeNil())
			g.Expect(t.Begin(request("shared", "middle"))).NotTo(BeNil())
			t.Crashed(trial, engine(9, 1), time.Time{})
			t.End(trial)
			time.Sleep(moment)
			g.Expect(t.Check(request("shared", "middle"))).NotTo(BeNil())
		})
	})

	// Guards against a verdict before the other instances' reports have arrived.
	It("is not blamed before it is known what others saw (rules 5 and 9)", func() {
		inBubble(func(g *WithT) {
			here, there := newTracker("i"), newTracker("j")
			for n := range 4 {
				if n > 0 {
					here.Crashed(request("shared", "beside"), engine(n, 1), time.Time{})
				}
				there.Crashed(request("shared", "bad"), engine(n, 1), time.Time{})
				answer(here, 5, "shared", "other")
				time.Sleep(300 * time.Millisecond)
			}
			g.Expect(here.Check(request("beside"))).To(BeNil())
			value, _, err := there.Report()
			g.Expect(err).NotTo(HaveOccurred())
			here.Merge(&hbs.Object{Kind: quarantine.Kind, Name: "j", Revision: 1, Value: value}, true)
			time.Sleep(moment)
			g.Expect(here.Check(request("beside"))).To(BeNil())
			g.Expect(here.Check(request("bad"))).NotTo(BeNil())
		})
	})

	// Guards against parts that are blamed while engines crash under every request,
	// for a reason of their own.
	It("is not blamed while nobody is answered (rule 4)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 30 {
				for range 4 {
					t.Crashed(request("shared", "part"), engine(n, 1), time.Time{})
					t.Crashed(request("shared", "other"), engine(n, 1), time.Time{})
				}
				time.Sleep(moment)
			}
			g.Expect(t.Check(request("shared", "part"))).To(BeNil())
		})
	})

	// Guards against a deadly part that is known late, since each engine that it crashes
	// takes many other requests with it.
	It("that is deadly is blamed in time although each crash takes many other requests with it (rule 4)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 4 {
				for i := range 40 {
					t.Crashed(request("shared", hbs.PartID(fmt.Sprint("other", n, i))), engine(n, 1), time.Time{})
					if i == 20 {
						t.Crashed(request("shared", "bad"), engine(n, 1), time.Time{})
					}
				}
				answer(t, 10, "shared", "third")
				time.Sleep(moment)
			}
			g.Expect(t.Check(request("bad"))).NotTo(BeNil())
		})
	})

	// Guards against parts that are blamed since three of their requests, of as many,
	// happened to be at engines that crash for other reasons.
	It("is not blamed for three crashes while engines crash under one in three of the others (rule 4)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 3 {
				t.Crashed(request("part"), engine(2*n, 1), time.Time{})
				time.Sleep(moment)
				for range 8 {
					t.Crashed(request("other"), engine(2*n+1, 1), time.Time{})
				}
				answer(t, 20, "other")
				time.Sleep(moment)
			}
			g.Expect(t.Check(request("part"))).To(BeNil())
		})
	})

	// Guards against parts that are blamed when the first few answers after a long
	// failure happen to be to others.
	It("is not blamed after fewer answers than crashes (rule 4)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 12 {
				t.Crashed(request("shared", "part"), engine(n, 1), time.Time{})
				time.Sleep(moment)
			}
			answer(t, 11, "other")
			time.Sleep(moment)
			g.Expect(t.Check(request("shared", "part"))).To(BeNil())
			answer(t, 1, "other")
			g.Expect(t.Check(request("shared", "part"))).NotTo(BeNil())
		})
	})

	// Guards against parts that are blamed as one of many while engines crash under
	// most requests.
	It("is not blamed while few of the others are answered (rule 4)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 3 {
				t.Crashed(request("part"), engine(n, 1), time.Time{})
				for i := range 10 {
					t.Crashed(request(hbs.PartID(fmt.Sprint("other", n, i))), engine(n, 1), time.Time{})
				}
				answer(t, 2, "third")
				time.Sleep(moment)
			}
			g.Expect(t.Check(request("part"))).To(BeNil())
			answer(t, 60, "third")
			g.Expect(t.Check(request("part"))).NotTo(BeNil())
		})
	})

	// Guards against suspicion that outlives its cause, and against engines that are
	// crashed again as they come back, by all that has waited for them.
	It("is tried by one request at a time while it is suspect, until an answer (rule 6)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 4 {
				t.Crashed(request("shared", "part"), engine(n, 1), time.Time{})
				time.Sleep(moment)
			}
			g.Expect(t.Begin(request("fresh"))).To(BeNil())
			time.Sleep(2 * moment)
			first := request("shared", "part")
			g.Expect(t.Begin(first)).To(BeNil())
			g.Expect(t.Begin(request("shared", "other"))).NotTo(BeNil())
			t.End(first)
			second := request("shared", "other")
			g.Expect(t.Begin(second)).To(BeNil())
			t.Answered(second)
			t.End(second)
			for range 10 {
				g.Expect(t.Begin(request("shared", "other"))).To(BeNil())
			}
			g.Expect(t.Begin(request("part"))).To(BeNil())
			g.Expect(t.Begin(request("part"))).NotTo(BeNil())
		})
	})

	// Guards against trials that follow each other without a pause since so many crashes
	// count already.
	It("is not tried right after a crash, however many there were (rule 6)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 40 {
				t.Crashed(request("part"), engine(n, 1), time.Time{})
				g.Expect(n < 3 || t.Begin(request("part")) != nil).To(BeTrue(), "crash %d", n+1)
				time.Sleep(moment)
			}
		})
	})

	// Guards against trials without a pause of a part whose crashes another explains.
	It("is not tried right after a crash that another part explains (rule 6)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 3 {
				t.Crashed(request("suspect"), engine(n, 1), time.Time{})
				time.Sleep(moment)
			}
			other := request("suspect")
			for n := range 4 {
				t.Crashed(request("shared", "bad"), engine(10+n, 1), time.Time{})
				time.Sleep(moment)
			}
			answer(t, 5, "shared", "other")
			g.Expect(t.Check(request("bad"))).NotTo(BeNil())
			time.Sleep(2 * moment)
			t.Crashed(other, engine(13, 1), time.Time{})
			g.Expect(t.Begin(request("suspect"))).NotTo(BeNil())
		})
	})
})
