package backpressure_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/backpressure"
)

var suiteT *testing.T

func TestBackpressure(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "backpressure")
}

// The operators' bound on what an endpoint gets in some window: limitFactor times what
// its limit allows, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// answerTime is the time from a request to the header of its response.
	answerTime = 100 * time.Millisecond
	tick       = 20 * time.Millisecond
)

// member is one instance with its view of one endpoint.
type member struct {
	state *backpressure.State
	// outstanding has the times of the requests that are not answered yet.
	outstanding []time.Time
}

// group is several instances that send to one endpoint.
type group struct {
	members []*member
	ids     []hbs.InstanceID
	// signals is what the endpoint tells in its responses.
	signals hbs.EndpointSignals
	// sent has the time of each request.
	sent []time.Time
	// known is set while the instances know each other.
	known bool
}

func newGroup(n int, endpoint hbs.EndpointID) *group {
	g := &group{known: true}
	for i := range n {
		g.ids = append(g.ids, hbs.InstanceID(fmt.Sprintf("instance-%d", i)))
	}
	for i := range n {
		others := slices.Delete(slices.Clone(g.ids), i, i+1)
		shares := &backpressure.Shares{Self: g.ids[i], Others: func() ([]hbs.InstanceID, bool) { return others, g.known }}
		g.members = append(g.members, &member{state: &backpressure.State{Endpoint: endpoint, Shares: shares}})
	}
	return g
}

func limited(perSecond float64) hbs.EndpointSignals {
	return hbs.EndpointSignals{Limited: true, RequestsPerSecond: perSecond}
}

// tell makes every instance know what the endpoint tells now.
func (g *group) tell(signals hbs.EndpointSignals) {
	g.signals = signals
	for _, m := range g.members {
		now := time.Now()
		m.state.Observe(now, now, signals)
	}
}

// play lets time pass for d. In each tick, each instance has demand requests for the
// endpoint, a fraction being the chance of one, and sends those that it may send.
func (g *group) play(rnd *rand.Rand, d time.Duration, demand float64) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(tick) {
		now := time.Now()
		for _, i := range rnd.Perm(len(g.members)) {
			m := g.members[i]
			m.receive(now, g.signals)
			for range int(demand + rnd.Float64()) {
				if m.state.Next(now).After(now) {
					break
				}
				m.state.Take(now)
				m.outstanding = append(m.outstanding, now)
				g.sent = append(g.sent, now)
			}
		}
	}
}

// receive answers the requests whose answer is due.
func (m *member) receive(now time.Time, signals hbs.EndpointSignals) {
	for len(m.outstanding) > 0 && now.Sub(m.outstanding[0]) >= answerTime {
		m.state.Observe(now, m.outstanding[0], signals)
		m.outstanding = m.outstanding[1:]
	}
}

// most returns the largest number of requests in one window.
func (g *group) most() (most int) {
	first := 0
	for i, t := range g.sent {
		for t.Sub(g.sent[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowed(limit float64) float64 { return limitFactor*limit*limitWindow.Seconds() + limitSlack }

func inBubble(f func(g *WithT)) {
	synctest.Test(suiteT, func(t *testing.T) { f(NewWithT(t)) })
}

// endpoints is the number of endpoints that are played, with other instances that
// share their limits.
const endpoints = 2

var sizes = []int{1, 2, 7, 23, 60, 200}

var _ = Describe("a limit", func() {
	// Guards against an endpoint that gets more than it has named (LIMIT): all
	// instances have requests for it all the time, or had none for long.
	DescribeTable("is kept by all instances together", func(limit float64) {
		for _, n := range sizes {
			for e := range endpoints {
				inBubble(func(w *WithT) {
					rnd := rand.New(rand.NewPCG(uint64(n), uint64(e)))
					g := newGroup(n, hbs.EndpointID(fmt.Sprint("e", e)))
					g.tell(limited(limit))
					g.play(rnd, 20*time.Second, 2)
					time.Sleep(30 * time.Second)
					g.play(rnd, 10*time.Second, 2)
					g.play(rnd, 20*time.Second, 0.01)
					g.play(rnd, 10*time.Second, 2)
					w.Expect(float64(g.most())).To(BeNumerically("<=", allowed(limit)), "%d instances", n)
				})
			}
		}
	}, Entry("none", 0.0), Entry("one in ten seconds", 0.1), Entry("one in two seconds", 0.5), Entry("one", 1.0), Entry("few", 2.7), Entry("some", 4.8), Entry("many", 20.0), Entry("very many", 100.0))

	DescribeTable("is used while all instances have requests", func(limit float64) {
		for _, n := range sizes {
			inBubble(func(w *WithT) {
				g := newGroup(n, "e")
				g.tell(limited(limit))
				const d = 40 * time.Second
				g.play(rand.New(rand.NewPCG(uint64(n), 1)), d, 2)
				w.Expect(float64(len(g.sent))).To(BeNumerically(">=", math.Floor(0.8*limit*d.Seconds())), "%d instances", n)
			})
		}
	}, Entry("one in two seconds", 0.5), Entry("few", 2.7), Entry("many", 20.0))

	It("ends with a response to a later request that names none (rule 1)", func() {
		inBubble(func(w *WithT) {
			g := newGroup(1, "e")
			s := g.members[0].state
			before := time.Now()
			time.Sleep(tick)
			g.tell(limited(1))
			time.Sleep(tick)
			w.Expect(s.Observe(time.Now(), before, hbs.EndpointSignals{})).To(BeFalse())
			_, holds := s.Limit()
			w.Expect(holds).To(BeTrue())
			w.Expect(s.Observe(time.Now(), time.Now(), hbs.EndpointSignals{})).To(BeTrue())
			w.Expect(s.Next(time.Now())).To(BeZero())
		})
	})

	It("stays as it is after a response with a malformed one", func() {
		inBubble(func(w *WithT) {
			g := newGroup(1, "e")
			s := g.members[0].state
			g.tell(limited(1))
			time.Sleep(tick)
			w.Expect(s.Observe(time.Now(), time.Now(), hbs.EndpointSignals{Malformed: "x"})).To(BeFalse())
			_, holds := s.Limit()
			w.Expect(holds).To(BeTrue())
		})
	})

	It("is known to have ended at instances without a share too (rule 3)", func() {
		for _, n := range sizes {
			inBubble(func(w *WithT) {
				g := newGroup(n, "e")
				g.tell(limited(2))
				g.signals = hbs.EndpointSignals{}
				g.play(rand.New(rand.NewPCG(uint64(n), 2)), time.Duration(5*n)*time.Second+10*time.Second, 0.5)
				for _, m := range g.members {
					w.Expect(m.state.Next(time.Now())).To(BeZero())
				}
			})
		}
	})

	// Guards against instances that have just started and take the whole limit (LIMIT).
	It("is hardly used while the instances don't know each other", func() {
		inBubble(func(w *WithT) {
			const limit = 5
			g := newGroup(7, "e")
			g.known = false
			g.tell(limited(limit))
			g.play(rand.New(rand.NewPCG(1, 1)), 20*time.Second, 2)
			w.Expect(len(g.sent)).To(BeNumerically("<", 20*limit/2))
			g.known = true
			g.play(rand.New(rand.NewPCG(1, 2)), 20*time.Second, 2)
			w.Expect(len(g.sent)).To(BeNumerically(">", 20*limit/2))
			w.Expect(float64(g.most())).To(BeNumerically("<=", allowed(limit)))
		})
	})

	It("is not charged for a request that was not sent", func() {
		inBubble(func(w *WithT) {
			g := newGroup(60, "e")
			g.tell(limited(1))
			for _, m := range g.members {
				now := time.Now()
				if m.state.Next(now).After(now) {
					continue
				}
				m.state.Take(now)
				m.state.Return(now)
				w.Expect(m.state.Next(now).After(now)).To(BeFalse())
			}
		})
	})
})

var _ = Describe("a pause", func() {
	refusal := func(d time.Duration) hbs.EndpointSignals { return hbs.EndpointSignals{PauseFor: d} }

	It("lasts as long as the endpoint said, and is not shortened (rule 4)", func() {
		inBubble(func(w *WithT) {
			s := newGroup(1, "e").members[0].state
			now := time.Now()
			w.Expect(s.Observe(now, now, refusal(10*time.Second))).To(BeTrue())
			w.Expect(s.Observe(now, now, refusal(time.Second))).To(BeFalse())
			s.Observe(now, now, hbs.EndpointSignals{})
			until, paused := s.Paused(now.Add(10*time.Second - 1))
			w.Expect(paused).To(BeTrue())
			w.Expect(until).To(BeTemporally("~", now.Add(10*time.Second), time.Second))
			_, paused = s.Paused(now.Add(11 * time.Second))
			w.Expect(paused).To(BeFalse())
		})
	})

	It("ends at different moments at different instances (rule 4)", func() {
		inBubble(func(w *WithT) {
			ends := map[time.Time]bool{}
			now := time.Now()
			for _, m := range newGroup(60, "e").members {
				m.state.Observe(now, now, refusal(5*time.Second))
				until, _ := m.state.Paused(now)
				w.Expect(until).To(BeTemporally(">=", now.Add(5*time.Second)))
				ends[until] = true
			}
			w.Expect(len(ends)).To(BeNumerically(">", 50))
		})
	})
})
