package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/admission"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/hedge"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/retry"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

var suiteT *testing.T

func TestDispatch(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// world is a dispatcher before a few endpoints in a bubble.
type world struct {
	Gomega
	ctx    context.Context
	fabric *memnet.Fabric
	placer *listPlacer
	d      *dispatch.Dispatcher
	wg     conc.WaitGroup
	n      int
}

// inWorld runs test in a bubble of virtual time.
func inWorld(test func(w *world)) { inWorldWith(policy, test) }

var policy = knob.NewFixed(attempt.Knobs, admission.Knobs, retry.Knobs, hedge.Knobs)

func inWorldWith(policy hbs.Policy, test func(w *world)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{Gomega: NewWithT(t), ctx: ctx, fabric: &memnet.Fabric{}, placer: &listPlacer{tail: time.Second}}
		w.d = &dispatch.Dispatcher{
			Placer: w.placer, Directory: w.placer, Network: w.fabric.Network("a"), Metrics: metrics.NewRegistry(),
			Policy: policy,
		}
		w.wg.Go(func() { _ = w.d.Run(ctx) })
		test(w)
		cancel()
		w.wg.Wait()
	})
}

func (w *world) address() netip.AddrPort {
	w.n++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(w.n)}), 80)
}

// serve adds an endpoint with a handler.
func (w *world) serve(e hbs.Endpoint, h http.HandlerFunc) {
	e.Address = w.address()
	e.ID = hbs.EndpointID(fmt.Sprintf("e%d", w.n))
	e.State = hbs.StateLive
	w.placer.endpoints = append(w.placer.endpoints, e)
	l, err := w.fabric.Network("a").Listen(e.Address)
	w.Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Handler: h}
	w.wg.Go(func() { _ = srv.Serve(l) })
	context.AfterFunc(w.ctx, func() { _ = srv.Close() })
}

// engine adds a stand-in engine.
func (w *world) engine() *engine.Engine {
	e := &engine.Engine{
		Address: w.address(), Network: w.fabric.Network("a"), Model: "m", Initial: "w1", Seed: uint64(w.n),
		Capabilities: hbs.Capabilities{Resume: true, EchoesAttempt: true, CachedTokens: true, Priority: true},
		Shape:        engine.Shape{Slots: 8, CacheTokens: 1e5, PrefillRate: 1e4, ChunkTokens: 1024, StepBase: 0.03},
	}
	e.ID = hbs.EndpointID(fmt.Sprintf("e%d", w.n))
	w.placer.endpoints = append(w.placer.endpoints, e.Record("a", "r"))
	w.wg.Go(func() { _ = e.Run(w.ctx) })
	synctest.Wait()
	return e
}

func (w *world) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, w.d.Metrics).Count()
}

// listPlacer places on the first endpoint with a free slot, in the order of
// the list, starting at turn.
type listPlacer struct {
	endpoints []hbs.Endpoint
	tail      time.Duration
	// first is the predicted time to the first token.
	first  time.Duration
	rotate bool
	// slowness is guarded by mu.
	slowness map[hbs.EndpointID]float64

	mu      sync.Mutex
	turn    int
	n       int
	booked  map[hbs.EndpointID]int
	results []hbs.AttemptResult
	// gaps are what was told of streams.
	gaps []time.Duration
}

func (p *listPlacer) Roster() *hbs.Roster { return &hbs.Roster{Endpoints: p.endpoints} }

func (p *listPlacer) Changed() <-chan struct{} { return nil }

func (p *listPlacer) Place(_ *hbs.Request, avoid []hbs.EndpointID) (hbs.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.booked == nil {
		p.booked = map[hbs.EndpointID]int{}
	}
	if p.rotate {
		p.turn++
	}
	err := hbs.ErrNoEndpoint
	for i := range p.endpoints {
		e := p.endpoints[(p.turn+i)%len(p.endpoints)]
		if slices.Contains(avoid, e.ID) {
			continue
		}
		err = hbs.ErrFull
		if e.Slots > 0 && p.booked[e.ID] >= e.Slots {
			continue
		}
		p.booked[e.ID]++
		p.n++
		return hbs.Placement{Attempt: hbs.AttemptID(fmt.Sprintf("at%d", p.n)), Endpoint: e, Tail: p.tail, FirstToken: p.first}, nil
	}
	return hbs.Placement{}, err
}

func (p *listPlacer) FirstToken(*hbs.Placement, time.Duration, int) {}

func (p *listPlacer) Slowness(at *hbs.Placement) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1, p.slowness[at.Endpoint.ID])
}

func (p *listPlacer) Gap(*hbs.Placement, time.Duration) {}

func (p *listPlacer) Paced(_ *hbs.Placement, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gaps = append(p.gaps, gap)
}

func (p *listPlacer) Finish(at *hbs.Placement, r hbs.AttemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.booked[at.Endpoint.ID]--
	p.results = append(p.results, r)
}

// sink keeps an answer. It fails at the write number leaveAt, if positive.
type sink struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	writes  int
	leaveAt int
}

func (s *sink) Start(status int, h http.Header) error {
	s.status, s.header = status, h
	return nil
}

func (s *sink) Write(p []byte) error {
	s.writes++
	if s.writes == s.leaveAt {
		return errors.New("caller left")
	}
	s.body.Write(p)
	return nil
}

// gate counts how often it was opened.
type gate struct {
	opened int
	err    error
}

func (g *gate) Open(context.Context) error {
	g.opened++
	return g.err
}

func chat(tokens int) *hbs.Request {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%sx"}]}`, tokens, engine.MarkBody("b"))
	return &hbs.Request{
		ID: "r", Workspace: "ws", Class: hbs.ClassRepeatable, Model: "m", Weights: "w1", Stream: true,
		PromptTokens: 10, ExpectedTokens: tokens, Method: "POST", Path: "/v1/chat/completions", Body: []byte(body),
	}
}

func call(class hbs.RouteClass, method, body string) *hbs.Request {
	return &hbs.Request{
		ID: "r", Workspace: "ws", Class: class, Service: "s", Method: method, Path: "/x", Body: []byte(body),
		IdempotencyKey: "k", Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

var service = hbs.Endpoint{Kind: hbs.KindService, Service: "s", Slots: 100}

func outcomeOf(err error) (hbs.Outcome, hbs.Reason) {
	var r *hbs.Refusal
	if !errors.As(err, &r) {
		return "", ""
	}
	return r.Outcome, r.Reason
}
