package quarantine_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/quarantine"
)

// again returns a request with an ID of its own for a plain service, a repeated one if the
// fingerprint was used before.
func again(f hbs.Fingerprint) *hbs.Request {
	requests++
	return &hbs.Request{ID: hbs.RequestID(fmt.Sprint("r", requests)), Fingerprint: f}
}

// crashTwice reports two crashes, of different engines, under a request.
func crashTwice(t *quarantine.Tracker, f hbs.Fingerprint) {
	t.Crashed(again(f), engine(1, 1), time.Now())
	t.Crashed(again(f), engine(2, 1), time.Now())
}

// tell passes the report of one instance on to others.
func tell(from *quarantine.Tracker, revision hbs.Revision, to ...*quarantine.Tracker) json.RawMessage {
	value, _, err := from.Report()
	Expect(err).NotTo(HaveOccurred())
	for _, t := range to {
		if t != from {
			t.Merge(&hbs.Object{Kind: quarantine.Kind, Name: string(from.Self), Revision: revision, Value: value}, true)
		}
	}
	return value
}

var _ = Describe("a repeated request", func() {
	// Guards against a request that crashes all engines whenever they are back.
	It("is refused after three crashes of which the last was a trial, for itself only (rules 11 and 12)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			crashTwice(t, "w/1")
			r := t.Check(again("w/1"))
			g.Expect(r).NotTo(BeNil())
			g.Expect(r.RetryAfter).To(BeNumerically(">", 0))
			time.Sleep(r.RetryAfter)
			trial := again("w/1")
			g.Expect(t.Begin(trial)).To(BeNil())
			g.Expect(t.Begin(again("w/1"))).NotTo(BeNil(), "one at a time")
			g.Expect(t.Crashed(trial, engine(1, 2), time.Now())).To(BeFalse())
			time.Sleep(moment)
			r = t.Check(again("w/1"))
			g.Expect(r).NotTo(BeNil())
			g.Expect(r.Outcome).To(Equal(hbs.OutcomeNotRun))
			g.Expect(r.Reason).To(Equal(hbs.ReasonRequestQuarantined))
			time.Sleep(firstQuarantine - 2*moment)
			g.Expect(t.Begin(again("w/1"))).NotTo(BeNil())
			g.Expect(t.Check(again("w/2"))).To(BeNil())
			g.Expect(t.Check(again("x/1"))).To(BeNil())
			time.Sleep(2 * moment)
			g.Expect(t.Check(again("w/1"))).To(BeNil())
		})
	})

	// Guards against requests that fail, or wait, for one crash of an engine.
	It("is not held after one crash and may be sent again at once, but not after two (rule 11)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			g.Expect(t.Crashed(again("w/1"), engine(1, 1), time.Now())).To(BeTrue())
			for range 10 {
				g.Expect(t.Begin(again("w/1"))).To(BeNil())
			}
			g.Expect(t.Crashed(again("w/1"), engine(2, 1), time.Now())).To(BeFalse())
			g.Expect(t.Begin(again("w/1"))).NotTo(BeNil())
		})
	})

	// Guards against a sound request that stays held or refused although an engine
	// answered it, here or elsewhere.
	It("is free everywhere after an answer (rules 3 and 9)", func() {
		inBubble(func(g *WithT) {
			here, there := newTracker("i"), newTracker("j")
			crashTwice(here, "w/1")
			tell(here, 1, there)
			g.Expect(there.Check(again("w/1"))).NotTo(BeNil())
			time.Sleep(moment)
			there.Answered(again("w/1"))
			g.Expect(there.Check(again("w/1"))).To(BeNil())
			tell(there, 1, here)
			g.Expect(here.Check(again("w/1"))).To(BeNil())
		})
	})

	// Guards against a loss of power, told late and at different times, that is taken for
	// the fault of a request for which many ask.
	It("is not refused for engines that crash at one moment, nor for a second time after an answer (rule 12)", func() {
		inBubble(func(g *WithT) {
			var all []*quarantine.Tracker
			for n := range 7 {
				all = append(all, newTracker(fmt.Sprint("i", n)))
			}
			for life := range 3 {
				time.Sleep(moment)
				for n, t := range all {
					for range 5 {
						t.Crashed(again("w/hot"), engine(n%3, life), time.Now())
					}
				}
				for _, t := range all {
					time.Sleep(150 * time.Millisecond)
					tell(t, hbs.Revision(2*life+1), all...)
				}
				for n, t := range all {
					g.Expect(t.Check(again("w/hot"))).NotTo(BeNil(), "instance %d", n)
				}
				time.Sleep(3 * moment)
				for n, t := range all {
					g.Expect(t.Check(again("w/hot"))).To(BeNil(), "instance %d", n)
				}
				all[life].Answered(again("w/hot"))
				tell(all[life], hbs.Revision(2*life+2), all...)
				for n, t := range all {
					g.Expect(t.Check(again("w/hot"))).To(BeNil(), "instance %d", n)
				}
			}
		})
	})

	// Guards against requests that are refused for what crashed engines beside them.
	It("is not refused for crashes of which another request explains all and has more (rules 5 and 11)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 4 {
				t.Crashed(again("w/dead"), engine(n, 1), time.Now())
				if n > 0 {
					t.Crashed(again("w/beside"), engine(n, 1), time.Now())
				}
				time.Sleep(3 * moment)
			}
			g.Expect(t.Check(again("w/dead"))).NotTo(BeNil())
			g.Expect(t.Check(again("w/beside"))).To(BeNil())
		})
	})

	// Guards against sound requests that are refused for a part which they share with the
	// deadly request.
	It("is to blame in place of its parts (rule 12)", func() {
		inBubble(func(g *WithT) {
			t := newTracker("i")
			for n := range 4 {
				q := request("shared", "own")
				q.Fingerprint = "w/1"
				t.Crashed(q, engine(n, 1), time.Now())
				answer(t, 20, "shared", "other")
				time.Sleep(3 * moment)
			}
			q := request("shared", "own")
			g.Expect(t.Check(q)).To(BeNil())
			q.Fingerprint = "w/1"
			r := t.Check(q)
			g.Expect(r).NotTo(BeNil())
			g.Expect(r.Reason).To(Equal(hbs.ReasonRequestQuarantined))
		})
	})

	// Guards against instances that all send what is held at the same moment.
	It("is tried by one instance after the other (rule 11)", func() {
		inBubble(func(g *WithT) {
			all, ids := fleetOf(7)
			crashTwice(all[0], "w/1")
			tell(all[0], 1, all...)
			var first []time.Time
			tried := map[hbs.InstanceID]bool{}
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				for _, t := range all {
					if !tried[t.Self] && t.Begin(again("w/1")) == nil {
						tried[t.Self] = true
						first = append(first, time.Now())
					}
				}
			}
			g.Expect(first).To(HaveLen(len(ids)))
			for i := range len(first) - 1 {
				g.Expect(first[i+1].Sub(first[i])).To(BeNumerically(">=", 300*time.Millisecond))
			}
		})
	})

	// Guards against entries about requests that an older build takes for ones about
	// parts, and against entries about neither or both.
	It("is told in entries of their own (rules 9 and 10)", func() {
		inBubble(func(g *WithT) {
			here, there := newTracker("i"), newTracker("j")
			crashTwice(here, "w/1")
			value := tell(here, 1, there)
			g.Expect(string(value)).To(ContainSubstring(`"request":"w/1"`))
			g.Expect(string(value)).NotTo(ContainSubstring(`"part"`))
			odd := strings.ReplaceAll(string(value), `"request":"w/1"`, `"request":"w/2","part":"p"`)
			there.Merge(&hbs.Object{Kind: quarantine.Kind, Name: "k", Revision: 1, Value: json.RawMessage(odd)}, true)
			g.Expect(there.Check(again("w/1"))).NotTo(BeNil())
			g.Expect(there.Check(again("w/2"))).To(BeNil())
		})
	})
})

// fleetOf returns trackers that know of each other, and their names.
func fleetOf(n int) (all []*quarantine.Tracker, ids []hbs.InstanceID) {
	for i := range n {
		ids = append(ids, hbs.InstanceID(fmt.Sprint("i", i)))
	}
	for i := range n {
		t := newTracker(string(ids[i]))
		t.Others = func() (others []hbs.InstanceID, ok bool) {
			return append(append(others, ids[:i]...), ids[i+1:]...), true
		}
		all = append(all, t)
	}
	return all, ids
}

const (
	// engineSlots is the number of requests that an engine runs at once, patience how
	// long a caller waits for one.
	engineSlots = 6
	patience    = time.Second
	// maxAttempts is the number of engines to which a request may be sent.
	maxAttempts = 2
)

// attackedService is a service whose engines a deadly request crashes, and the instances
// that send to it.
type attackedService struct {
	rng *rand.Rand
	// crashTime is the time from a deadly request to the crash of its engine.
	crashTime time.Duration
	// Engines are back after minDown to maxDown.
	minDown, maxDown time.Duration
	trackers         []*quarantine.Tracker
	news             []bool
	revision         hbs.Revision
	// up is when each engine is up again, lives counts its incarnations.
	up    []time.Time
	lives []int
	// waiting and running are in the order of arrival and of sending.
	waiting, running []flight
	// crashes and sent are the times of crashes and of deadly requests at engines.
	crashes, sent []time.Time
}

// flight is a repeated deadly request, which waits for an engine or runs at one.
type flight struct {
	req           *hbs.Request
	by            *quarantine.Tracker
	arrived, sent time.Time
	engine, life  int
	attempts      int
}

// come repeats the request at one of the instances.
func (s *attackedService) come(now time.Time) {
	f := flight{req: again("w/dead"), by: s.trackers[s.rng.IntN(len(s.trackers))], arrived: now}
	if f.by.Check(f.req) == nil {
		s.waiting = append(s.waiting, f)
	}
}

// crash ends the engines that have run a request for some time, and what they run.
func (s *attackedService) crash(now time.Time) {
	var ended, rest []flight
	for _, f := range s.running {
		if f.life == s.lives[f.engine] && now.Sub(f.sent) >= s.crashTime {
			s.lives[f.engine]++
			s.up[f.engine] = now.Add(s.minDown + time.Duration(s.rng.Int64N(int64(s.maxDown-s.minDown))))
			s.crashes = append(s.crashes, now)
		}
	}
	for _, f := range s.running {
		if f.life == s.lives[f.engine] {
			rest = append(rest, f)
		} else {
			ended = append(ended, f)
		}
	}
	s.running = rest
	for _, f := range ended {
		repeat := f.by.Crashed(f.req, engine(f.engine, f.life), f.sent)
		f.by.End(f.req)
		if repeat && f.attempts < maxAttempts {
			s.waiting = append(s.waiting, f)
		}
	}
}

// send sends what waits to engines that are up and have a free slot.
func (s *attackedService) send(now time.Time) {
	busy := make([]int, len(s.up))
	for _, f := range s.running {
		busy[f.engine]++
	}
	var rest []flight
	for _, f := range s.waiting {
		e := s.rng.IntN(len(s.up))
		switch {
		case now.Sub(f.arrived) > patience:
		case now.Before(s.up[e]) || busy[e] == engineSlots:
			rest = append(rest, f)
		case f.by.Begin(f.req) == nil:
			f.engine, f.life, f.sent = e, s.lives[e], now
			f.attempts++
			busy[e]++
			s.running = append(s.running, f)
			s.sent = append(s.sent, now)
		}
	}
	s.waiting = rest
}

// tell passes on what instances have to tell.
func (s *attackedService) tell() {
	for i, t := range s.trackers {
		if s.news[i] {
			s.news[i] = false
			s.revision++
			tell(t, s.revision, s.trackers...)
		}
	}
}

// play lets the request come at a mean interval.
func (s *attackedService) play(interval time.Duration) {
	const step = 5 * time.Millisecond
	start := time.Now()
	come, tell := start, start
	for now := start; now.Sub(start) < playedTime; now = time.Now() {
		if now.After(tell) {
			s.tell()
			tell = now.Add(tellInterval)
		}
		if now.After(come) {
			s.come(now)
			come = now.Add(time.Duration(s.rng.Int64N(int64(2 * interval))))
		}
		s.crash(now)
		s.send(now)
		time.Sleep(step)
	}
}

// late returns the number of deadly requests that reached engines when all instances had
// to know of three crashes.
func (s *attackedService) late() (n int) {
	if len(s.crashes) < 3 {
		return 0
	}
	for _, at := range s.sent {
		if at.After(s.crashes[2].Add(knownTime)) {
			n++
		}
	}
	return n
}

// Guards against more than three sends by seven instances together, at whatever rate the
// request comes and whichever engines are up.
var _ = DescribeTable("a deadly request reaches engines in three late sends at most (rules 11 and 12)", func(engines int, crashTime, minDown, maxDown, interval time.Duration) {
	for seed := range uint64(20) {
		inBubble(func(g *WithT) {
			s := &attackedService{rng: rand.New(rand.NewPCG(seed, 3)), crashTime: crashTime, minDown: minDown, maxDown: maxDown, news: make([]bool, playedInstances)}
			s.up, s.lives = make([]time.Time, engines), make([]int, engines)
			s.trackers, _ = fleetOf(playedInstances)
			for i, t := range s.trackers {
				t.Changed = func() { s.news[i] = true }
			}
			s.play(interval)
			g.Expect(len(s.crashes)).To(BeNumerically(">=", 3))
			g.Expect(s.late()).To(BeNumerically("<=", maxLate), "seed %d, %d crashes", seed, len(s.crashes))
		})
	}
},
	Entry("100 a second, 3 engines", 3, 20*time.Millisecond, time.Second, 3*time.Second, 10*time.Millisecond),
	Entry("20 a second, 3 engines", 3, 20*time.Millisecond, time.Second, 3*time.Second, 50*time.Millisecond),
	Entry("3 a second, 3 engines", 3, 20*time.Millisecond, time.Second, 3*time.Second, 300*time.Millisecond),
	Entry("one in 2 s, 3 engines", 3, 20*time.Millisecond, time.Second, 3*time.Second, 2*time.Second),
	Entry("100 a second, 3 engines that are back together", 3, 100*time.Millisecond, 3200*time.Millisecond, 3400*time.Millisecond, 10*time.Millisecond),
	Entry("10 a second, 3 engines that are back together", 3, 100*time.Millisecond, 3200*time.Millisecond, 3400*time.Millisecond, 100*time.Millisecond),
	Entry("20 a second, 18 engines that crash late", 18, 300*time.Millisecond, time.Second, 3*time.Second, 50*time.Millisecond),
	Entry("3 a second, 18 engines that crash late", 18, 300*time.Millisecond, time.Second, 3*time.Second, 300*time.Millisecond),
)
