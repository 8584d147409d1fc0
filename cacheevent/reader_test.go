package cacheevent_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/cacheevent"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

var suiteT *testing.T

func TestCacheEvent(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "cacheevent")
}

var address = netip.MustParseAddrPort("10.0.0.1:80")

func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: {\"incarnation\":\"1\",\"kind\":\"stored\",\"tag\":\"%016x\",\"tokens\":64}\n\n", id, id)
}

// read serves the given bodies to a Reader, one for each connection, until the time
// within has passed. It returns the events delivered and the "from" parameter of
// each request.
func read(budget *rate.Limiter, within time.Duration, bodies ...string) (delivered []cacheevent.Event, requested []string) {
	synctest.Test(suiteT, func(*testing.T) {
		f := &memnet.Fabric{}
		l, err := f.Network("a").Listen(address)
		Expect(err).NotTo(HaveOccurred())
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requested = append(requested, r.URL.Query().Get("from"))
			if n := len(requested); n <= len(bodies) {
				_, _ = w.Write([]byte(bodies[n-1]))
			}
		})}
		transport := network.NewTransport(f.Network("a"))
		reader := cacheevent.Reader{
			Client:   &http.Client{Transport: transport},
			Endpoint: hbs.Endpoint{ID: "e", Address: address},
			Budget:   budget,
			OnEvent:  func(e cacheevent.Event) { delivered = append(delivered, e) },
		}
		var wg conc.WaitGroup
		wg.Go(func() { _ = srv.Serve(l) })
		ctx, cancel := context.WithTimeout(context.Background(), within)
		_ = reader.Run(ctx)
		cancel()
		transport.CloseIdleConnections()
		_ = srv.Close()
		wg.Wait()
	})
	return delivered, requested
}

func kinds(events []cacheevent.Event) (list []cacheevent.Kind) {
	for _, e := range events {
		list = append(list, e.Kind)
	}
	return list
}

// tick is the interval at which a source writes events.
const tick = 100 * time.Millisecond

// followDuration is how long follow runs. It ends between two ticks.
const followDuration = 2*time.Minute + tick/2

// source is an engine that publishes perTick events per tick. The Tokens of each event
// are its number.
type source struct {
	perTick int
	start   time.Time

	mu sync.Mutex
	// next is the number of the event to send next, sent the number of bytes sent,
	// from the "from" parameter of each request.
	next, sent int
	from       []string
	// gaps is the number of gaps that the reader reported, last the number of the
	// last event that it delivered.
	gaps, last int
}

// tickBytes returns about the number of bytes of the events of one tick.
func (s *source) tickBytes() int { return s.perTick * len(event(100_000)) }

// published returns the number of events published so far.
func (s *source) published() int { return int(time.Since(s.start)/tick) * s.perTick }

func (s *source) take(e cacheevent.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Kind == cacheevent.KindGap {
		s.gaps++
		return
	}
	s.last = e.Tokens
}

// ServeHTTP implements http.Handler.
func (s *source) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.from = append(s.from, r.URL.Query().Get("from"))
	s.mu.Unlock()
	next := s.published()
	if n, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil {
		next = n
	}
	w.WriteHeader(http.StatusOK)
	for r.Context().Err() == nil {
		var b strings.Builder
		for ; next < s.published(); next++ {
			b.WriteString(strings.Replace(event(next), `"tokens":64`, fmt.Sprintf(`"tokens":%d`, next), 1))
		}
		n, _ := w.Write([]byte(b.String()))
		w.(http.Flusher).Flush()
		s.mu.Lock()
		s.sent += n
		s.next = max(s.next, next)
		s.mu.Unlock()
		_ = delay.For(r.Context(), tick)
	}
}

// follow runs Readers with one source for each element of perTick.
func follow(perSecond float64, perTick ...int) (sources []*source) {
	synctest.Test(suiteT, func(t *testing.T) {
		g := NewWithT(t)
		fabric := (&memnet.Fabric{}).Network("a")
		ctx, cancel := context.WithTimeout(context.Background(), followDuration)
		defer cancel()
		var wg conc.WaitGroup
		var list []hbs.Endpoint
		byID := map[hbs.EndpointID]*source{}
		for i, n := range perTick {
			s := &source{perTick: n, start: time.Now()}
			e := hbs.Endpoint{ID: hbs.EndpointID(strconv.Itoa(i)), Address: netip.AddrPortFrom(address.Addr(), uint16(80+i))}
			sources, list = append(sources, s), append(list, e)
			byID[e.ID] = s
			l, err := fabric.Listen(e.Address)
			g.Expect(err).NotTo(HaveOccurred())
			srv := &http.Server{Handler: s}
			wg.Go(func() { _ = srv.Serve(l) })
			context.AfterFunc(ctx, func() { _ = srv.Close() })
		}
		readers := cacheevent.Readers{
			Network:        fabric,
			BytesPerSecond: perSecond,
			Changed:        func() <-chan struct{} { return nil },
			Endpoints:      func() []hbs.Endpoint { return list },
			OnEvent:        func(id hbs.EndpointID, e cacheevent.Event) { byID[id].take(e) },
		}
		_ = readers.Run(ctx)
		wg.Wait()
	})
	return sources
}

var _ = Describe("Reader", func() {
	It("reports a gap in the sequence, also across a broken connection", func() {
		delivered, requested := read(nil, time.Second, event(4)+event(5)+event(8), event(9), event(12))
		Expect(kinds(delivered)).To(Equal([]cacheevent.Kind{
			cacheevent.KindStored, cacheevent.KindStored,
			cacheevent.KindGap, cacheevent.KindStored,
			cacheevent.KindStored,
			cacheevent.KindGap, cacheevent.KindStored,
		}))
		Expect(requested[:3]).To(Equal([]string{"", "9", "10"}))
	})

	DescribeTable("ignores an invalid event", func(bad string) {
		delivered, _ := read(nil, 100*time.Millisecond, event(1)+bad+event(3))
		Expect(delivered).To(HaveLen(1))
	},
		Entry("no JSON", "id: 2\ndata: {\n\n"),
		Entry("unknown kind", "id: 2\ndata: {\"kind\":\"moved\"}\n\n"),
		Entry("bad tag", "id: 2\ndata: {\"kind\":\"stored\",\"tag\":\"xyz\"}\n\n"),
		Entry("negative tokens", "id: 2\ndata: {\"kind\":\"cleared\",\"tokens\":-1}\n\n"),
		Entry("no sequence number", "id: x\ndata: {\"kind\":\"cleared\"}\n\n"),
	)
})

var _ = Describe("Readers", func() {
	It("skip events beyond the budget and continue at the newest event (rules 1 and 2)", func() {
		const perSecond = 4096
		s := follow(perSecond, 10)[0]
		bytes := followDuration.Seconds() * perSecond
		Expect(s.sent).To(BeNumerically("<=", bytes+perSecond+float64(s.tickBytes())))
		Expect(s.sent).To(BeNumerically(">=", bytes/2))
		Expect(s.from).To(HaveEach(""))
		Expect(s.gaps).To(And(Equal(len(s.from)-1), BeNumerically(">", 3)))
		Expect(s.last).To(BeNumerically(">", s.next*9/10))
	})

	DescribeTable("charge also what engines send before they notice the close (rule 1)", func(engines, perTick int) {
		const perSecond = 1024
		bound := int(followDuration.Seconds() * perSecond)
		sent, opened := 0, 0
		for _, s := range follow(perSecond, slices.Repeat([]int{perTick}, engines)...) {
			sent += s.sent
			opened += len(s.from)
			bound += cacheevent.MinBurst + s.tickBytes()
			Expect(s.from).To(HaveEach(""))
		}
		Expect(sent).To(BeNumerically("<=", bound))
		fmt.Fprintf(GinkgoWriter, "%.0f B/s of events, %.2f openings/s\n",
			float64(sent)/followDuration.Seconds(), float64(opened)/followDuration.Seconds())
	},
		Entry("3 engines, 380 events/s each", 3, 38),
		Entry("10 engines, 380 events/s each", 10, 38),
		Entry("30 engines, 380 events/s each", 30, 38),
		Entry("10 engines, 2,000 events/s each", 10, 200),
	)

	It("lose no event of a stream within its share while another exceeds its share (rule 4)", func() {
		sources := follow(8192, 1, 200)
		slow, fast := sources[0], sources[1]
		Expect(slow.from).To(HaveLen(1))
		Expect(slow.gaps).To(BeZero())
		Expect(slow.last).To(Equal(slow.next - 1))
		Expect(fast.gaps).To(BeNumerically(">", 1))
	})
})
