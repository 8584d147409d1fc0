package quarantine_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/quarantine"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
)

// shareTime is enough for all instances to read what one has to tell.
const shareTime = 2 * time.Second

// sharing is a set of instances that share a store.
type sharing struct {
	*WithT
	store    objects.Store
	clients  []*objects.Client
	trackers []*quarantine.Tracker
	cancels  []context.CancelFunc
	ctx      context.Context
	wg       conc.WaitGroup
}

// withSharing runs f with n instances in a bubble.
func withSharing(n int, f func(s *sharing)) {
	synctest.Test(suite, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &sharing{WithT: NewWithT(t), ctx: ctx}
		defer s.wg.Wait()
		defer cancel()
		for i := range n {
			s.start(fmt.Sprint("i", i))
		}
		time.Sleep(time.Second)
		f(s)
	})
}

// start starts an instance that lists and watches reports.
func (s *sharing) start(name string) *quarantine.Tracker {
	ctx, cancel := context.WithCancel(s.ctx)
	c := &objects.Client{Store: &s.store}
	t := newTracker(name)
	sharer := quarantine.NewSharer(t, c, zap.NewNop())
	s.clients, s.trackers, s.cancels = append(s.clients, c), append(s.trackers, t), append(s.cancels, cancel)
	s.wg.Go(func() { _ = sharer.Run(ctx) })
	s.wg.Go(func() { watch(ctx, c, sharer) })
	return t
}

// watch passes the reports in the store on until ctx ends.
func watch(ctx context.Context, c *objects.Client, s *quarantine.Sharer) {
	for ctx.Err() == nil {
		objs, rev, err := c.List(ctx, quarantine.Kind)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		for i := range objs {
			s.Tracker.Merge(&objs[i], false)
		}
		s.Read()
		events := make(chan hbs.WatchEvent, 1)
		var wg conc.WaitGroup
		wg.Go(func() {
			defer close(events)
			_ = c.Watch(ctx, quarantine.Kind, rev, events)
		})
		for ev := range events {
			switch {
			case ev.Bookmark:
			case ev.Deleted:
				s.Tracker.Removed(ev.Object.Name)
			default:
				s.Tracker.Merge(&ev.Object, true)
			}
			s.Read()
		}
		wg.Wait()
	}
}

// crashAt reports a crash at one instance, and answers to others at all of them.
func (s *sharing) crashAt(i, n int) {
	s.trackers[i].Crashed(request("shared", "bad"), engine(n, 1), time.Time{})
	for _, t := range s.trackers {
		answer(t, 5, "shared", "other")
	}
	time.Sleep(moment)
}

// refusing returns the number of instances that refuse the part.
func (s *sharing) refusing(part hbs.PartID) (n int) {
	for _, t := range s.trackers {
		if t.Check(request("shared", part)) != nil {
			n++
		}
	}
	return n
}

// away is a plan of calls to a store that is away.
func away(objects.Op, hbs.ObjectKind) objects.Plan {
	return objects.Plan{Fault: objects.FaultRefused}
}

var _ = Describe("instances that share reports", func() {
	// Guards against engines that crash on since no instance alone saw enough.
	It("quarantine a part although each saw one crash (rule 9)", func() {
		withSharing(5, func(s *sharing) {
			for i := range 3 {
				s.crashAt(i, i)
			}
			time.Sleep(shareTime)
			s.Expect(s.refusing("bad")).To(Equal(5))
			s.Expect(s.refusing("other")).To(BeZero())
		})
	})

	// Guards against instances that have to see crashes of their own.
	It("quarantine a part of which only one saw crashes", func() {
		withSharing(4, func(s *sharing) {
			for n := range 3 {
				s.crashAt(0, n)
			}
			time.Sleep(shareTime)
			s.Expect(s.refusing("bad")).To(Equal(4))
		})
	})

	// Guards against an instance that starts and sends what all others refuse.
	It("tell one that starts later, also when those that found it are gone", func() {
		withSharing(2, func(s *sharing) {
			for n := range 3 {
				s.crashAt(0, n)
			}
			time.Sleep(shareTime)
			s.cancels[0]()
			s.cancels[1]()
			time.Sleep(time.Minute)
			late := s.start("late")
			time.Sleep(shareTime)
			s.Expect(late.Check(request("bad"))).NotTo(BeNil())
			time.Sleep(firstQuarantine)
			s.Expect(late.Check(request("bad"))).To(BeNil())
		})
	})

	// Guards against an answer of before the crashes that seems to be later than they,
	// as its age was written down long ago.
	It("tell one that starts later nothing by answers of long ago (rule 9)", func() {
		withSharing(2, func(s *sharing) {
			s.crashAt(0, 0)
			time.Sleep(shareTime)
			answer(s.trackers[1], 1, "shared", "bad")
			time.Sleep(shareTime)
			s.cancels[1]()
			s.crashAt(0, 1)
			s.crashAt(0, 2)
			time.Sleep(shareTime)
			late := s.start("late")
			time.Sleep(shareTime)
			late.Crashed(request("shared", "bad"), engine(3, 1), time.Time{})
			for _, t := range s.trackers {
				answer(t, 5, "shared", "other")
			}
			time.Sleep(shareTime)
			s.Expect(late.Check(request("bad"))).NotTo(BeNil())
		})
	})

	// Guards against a sound part that stays refused where no answer was seen.
	It("release a part that was answered at one of them (rules 3 and 9)", func() {
		withSharing(3, func(s *sharing) {
			for n := range 3 {
				s.crashAt(0, n)
			}
			time.Sleep(shareTime)
			s.Expect(s.refusing("bad")).To(Equal(3))
			answer(s.trackers[2], 1, "shared", "bad")
			time.Sleep(shareTime)
			s.Expect(s.refusing("bad")).To(BeZero())
		})
	})

	// Guards against an instance that starts and refuses a sound part, as the report of
	// the quarantine that an answer ended is still in the store.
	It("tell one that starts later of no quarantine that an answer at another has ended (rule 9)", func() {
		withSharing(3, func(s *sharing) {
			for n := range 3 {
				s.crashAt(0, n)
			}
			time.Sleep(shareTime)
			s.Expect(s.refusing("bad")).To(Equal(3))
			answer(s.trackers[2], 1, "shared", "bad")
			time.Sleep(shareTime)
			s.Expect(s.refusing("bad")).To(BeZero())
			late := s.start("late")
			time.Sleep(shareTime)
			s.Expect(late.Check(request("bad"))).To(BeNil())
		})
	})

	// Guards against a store that is needed to protect engines.
	It("go by their own crashes while the store is away, and share them when it is back", func() {
		withSharing(3, func(s *sharing) {
			for _, c := range s.clients {
				c.Replan(away)
			}
			for n := range 4 {
				s.crashAt(0, n)
			}
			time.Sleep(shareTime)
			s.Expect(s.refusing("bad")).To(Equal(1))
			for _, c := range s.clients {
				c.Replan(nil)
			}
			time.Sleep(2 * shareTime)
			s.Expect(s.refusing("bad")).To(Equal(3))
		})
	})

	// Guards against reports that stay in the store for ever, and against calls while
	// nothing happens.
	It("remove reports that tell nothing more, and write only news (rule 10)", func() {
		withSharing(3, func(s *sharing) {
			for n := range 2 {
				s.crashAt(0, n)
			}
			time.Sleep(shareTime)
			s.Expect(s.store.Objects(quarantine.Kind)).To(HaveLen(1))
			s.cancels[0]()
			written := s.clients[1].Calls(objects.OpCreate) + s.clients[1].Calls(objects.OpUpdate)
			time.Sleep(20 * time.Minute)
			s.Expect(s.store.Objects(quarantine.Kind)).To(BeEmpty())
			s.Expect(s.clients[1].Calls(objects.OpCreate) + s.clients[1].Calls(objects.OpUpdate)).To(Equal(written))
		})
	})

	// Guards against an instance that can't write its report after a restart.
	It("go on with the report of an earlier incarnation of the same name", func() {
		withSharing(2, func(s *sharing) {
			s.crashAt(0, 0)
			time.Sleep(shareTime)
			s.cancels[0]()
			s.trackers = s.trackers[1:]
			s.start("i0")
			time.Sleep(shareTime)
			s.crashAt(1, 1)
			s.crashAt(1, 2)
			time.Sleep(shareTime)
			s.Expect(s.refusing("bad")).To(Equal(2))
			reports := map[string]string{}
			for _, o := range s.store.Objects(quarantine.Kind) {
				s.Expect(reports).NotTo(HaveKey(o.Name))
				reports[o.Name] = string(o.Value)
			}
			s.Expect(reports).To(And(HaveLen(2), HaveKey("i1")))
			s.Expect(reports["i0"]).To(And(ContainSubstring(`"e1"`), ContainSubstring(`"e2"`)))
		})
	})
})

// report returns what an instance has to tell.
func report(g *WithT, t *quarantine.Tracker, revision hbs.Revision) *hbs.Object {
	value, _, err := t.Report()
	g.Expect(err).NotTo(HaveOccurred())
	return &hbs.Object{Kind: quarantine.Kind, Name: string(t.Self), Revision: revision, Value: value}
}

var _ = Describe("an instance that reads reports", func() {
	// Guards against an instance that starts and blames a part that was answered since.
	It("is told nothing by crashes of long ago, as by answers (rule 9)", func() {
		inBubble(func(g *WithT) {
			t, saw, knows := newTracker("i"), newTracker("j"), newTracker("k")
			for n := range 3 {
				saw.Crashed(request("shared", "sound"), engine(n, 1), time.Time{})
				time.Sleep(moment)
			}
			crashes := report(g, saw, 1)
			knows.Merge(crashes, true)
			answer(knows, 1, "shared", "sound")
			answers := report(g, knows, 2)
			time.Sleep(moment)
			t.Merge(crashes, false)
			t.Merge(answers, false)
			answer(t, 50, "other")
			time.Sleep(moment)
			g.Expect(t.Check(request("shared", "sound"))).To(BeNil())
		})
	})

	// Guards against an answer of before the crashes that seems to be later than they,
	// as its age was written down long ago.
	It("is told nothing by answers of long ago, and counts its crashes on (rule 9)", func() {
		inBubble(func(g *WithT) {
			t, other := newTracker("i"), newTracker("j")
			other.Crashed(request("shared", "bad"), engine(9, 1), time.Time{})
			report(g, other, 1)
			answer(other, 1, "shared", "bad")
			answers := report(g, other, 2)
			g.Expect(string(answers.Value)).To(ContainSubstring("answers"))
			crash(t, 2, "shared", "bad")
			t.Merge(answers, false)
			t.Crashed(request("shared", "bad"), engine(2, 1), time.Time{})
			answer(t, 5, "shared", "other")
			time.Sleep(moment)
			g.Expect(t.Check(request("bad"))).NotTo(BeNil())
		})
	})

	// Guards against an answer that is lost since a listing had the report first.
	It("is told by a report that was in a listing before it was watched (rule 9)", func() {
		inBubble(func(g *WithT) {
			t, other := newTracker("i"), newTracker("j")
			crash(t, 3, "shared", "sound")
			g.Expect(t.Check(request("sound"))).NotTo(BeNil())
			time.Sleep(moment)
			other.Merge(report(g, t, 1), true)
			time.Sleep(moment)
			answer(other, 1, "sound")
			r := report(g, other, 2)
			t.Merge(r, false)
			g.Expect(t.Check(request("sound"))).NotTo(BeNil())
			t.Merge(r, true)
			g.Expect(t.Check(request("sound"))).To(BeNil())
		})
	})

	// Guards against a quarantine that is adopted although the part was answered after
	// it began, since telling of it takes time.
	It("adopts no quarantine of a part that it saw answered meanwhile, and tells of the answer (rule 9)", func() {
		inBubble(func(g *WithT) {
			t, other := newTracker("i"), newTracker("j")
			other.Crashed(request("shared", "sound"), engine(9, 1), time.Time{})
			t.Merge(report(g, other, 1), true)
			answer(t, 1, "sound")
			crash(other, 3, "shared", "sound")
			g.Expect(other.Check(request("sound"))).NotTo(BeNil())
			told := report(g, other, 2)
			time.Sleep(100 * time.Millisecond)
			answer(t, 1, "sound")
			time.Sleep(200 * time.Millisecond)
			t.Merge(told, true)
			g.Expect(t.Check(request("sound"))).To(BeNil())
			other.Merge(report(g, t, 3), true)
			g.Expect(other.Check(request("sound"))).To(BeNil())
		})
	})

	// Guards against one writer of the store who quarantines many parts for hours.
	It("adopts quarantines for no longer than it would quarantine the part itself (rules 8 and 9)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			until := time.Now().Add(3 * time.Hour).UnixMilli()
			value := fmt.Sprintf(`{"quarantines":[{"model":"m","part":"sound","until_ms":%d}]}`, until)
			t.Merge(&hbs.Object{Kind: quarantine.Kind, Name: "odd", Revision: 1, Value: []byte(value)}, true)
			g.Expect(t.Check(request("sound"))).NotTo(BeNil())
			time.Sleep(firstQuarantine + moment)
			g.Expect(t.Check(request("sound"))).To(BeNil())
		})
	})

	// Guards against a quarantine that stays with the instance that found it due.
	It("tells of a quarantine that it finds due while it reads (rule 9)", func() {
		inBubble(func(g *WithT) {
			t, other := newTracker("i"), newTracker("j")
			crash(t, 3, "shared", "bad")
			told := false
			t.Changed = func() { told = true }
			t.Merge(report(g, other, 1), true)
			g.Expect(told).To(BeTrue())
			g.Expect(t.Check(request("bad"))).NotTo(BeNil())
		})
	})
})

// Guards against a report of another writer that ends an instance, blocks the reports
// of others or blames sound parts.
var _ = DescribeTable("an odd report is ignored alone (rule 10)", func(value string) {
	inBubble(func(g *WithT) {
		t, other := newTracker("i"), newTracker("j")
		crash(other, 3, "shared", "bad")
		g.Expect(other.Check(request("bad"))).NotTo(BeNil())
		good, _, err := other.Report()
		g.Expect(err).NotTo(HaveOccurred())
		t.Merge(&hbs.Object{Kind: quarantine.Kind, Name: "odd", Revision: 1, Value: []byte(value)}, true)
		t.Merge(&hbs.Object{Kind: quarantine.Kind, Name: "odd", Revision: 2, Value: []byte(value)}, true)
		t.Merge(&hbs.Object{Kind: quarantine.Kind, Name: "j", Revision: 3, Value: good}, true)
		g.Expect(t.Check(request("bad"))).NotTo(BeNil())
		time.Sleep(5 * time.Hour)
		g.Expect(t.Check(request("sound"))).To(BeNil())
		g.Expect(t.Check(request(""))).To(BeNil())
	})
},
	Entry("no JSON", `{{`),
	Entry("empty", ``),
	Entry("null", `null`),
	Entry("another type", `[1]`),
	Entry("entries of another type", `{"crashes":[1,"x",null,[]],"quarantines":{"a":1},"answers":7}`),
	Entry("deeply nested", `{"crashes":[`+strings.Repeat(`[`, 20000)+strings.Repeat(`]`, 20000)+`]}`),
	Entry("numbers that are too large", `{"crashes":[{"part":"sound","endpoint":"e","age_ms":1e99}],"quarantines":[{"part":"sound","model":"m","until_ms":99999999999999999999}]}`),
	Entry("a quarantine without end", `{"quarantines":[{"part":"sound","model":"m","until_ms":9223372036854775807}]}`),
	Entry("a quarantine in the past", `{"quarantines":[{"part":"sound","model":"m","until_ms":-9223372036854775808}]}`),
	Entry("crashes of the future", `{"crashes":[{"part":"sound","model":"m","endpoint":"e","age_ms":-99999}]}`),
	Entry("no names", `{"crashes":[{"age_ms":1}],"quarantines":[{"until_ms":1}],"answers":[{}]}`),
	Entry("too long", `{"crashes":["`+strings.Repeat(`x`, 300<<10)+`"]}`),
)
