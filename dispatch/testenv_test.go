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

var suite *testing.T

func TestDispatch(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// testEnv is a dispatcher and its endpoints on an in-memory network, in a
// synctest bubble.
type testEnv struct {
	Gomega
	ctx    context.Context
	fabric *memnet.Fabric
	placer *listPlacer
	d      *dispatch.Dispatcher
	wg     conc.WaitGroup
	n      int
}

// runInEnv runs test in virtual time, with the default knobs.
func runInEnv(test func(env *testEnv)) { runInEnvWithPolicy(policy, test) }

var policy = knob.NewFixed(attempt.Knobs, admission.Knobs, retry.Knobs, hedge.Knobs)

func runInEnvWithPolicy(policy hbs.Policy, test func(env *testEnv)) {
	runInEnvWith(func(d *dispatch.Dispatcher) { d.Policy = policy }, test)
}

// runInEnvWith runs test in virtual time, with a dispatcher whose fields configure
// sets before it runs.
func runInEnvWith(configure func(d *dispatch.Dispatcher), test func(env *testEnv)) {
	synctest.Test(suite, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		env := &testEnv{Gomega: NewWithT(t), ctx: ctx, fabric: &memnet.Fabric{}, placer: &listPlacer{tail: time.Second}}
		env.d = &dispatch.Dispatcher{
			Placer: env.placer, Directory: env.placer, Network: env.fabric.Network("a"), Metrics: metrics.NewRegistry(),
			Policy: policy,
		}
		configure(env.d)
		env.wg.Go(func() { _ = env.d.Run(ctx) })
		test(env)
		cancel()
		env.wg.Wait()
	})
}

func (env *testEnv) address() netip.AddrPort {
	env.n++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(env.n)}), 80)
}

// addEndpoint adds a copy of e with an address and ID, served by h.
func (env *testEnv) addEndpoint(e hbs.Endpoint, h http.HandlerFunc) {
	e.Address = env.address()
	e.ID = hbs.EndpointID(fmt.Sprintf("e%d", env.n))
	e.State = hbs.StateLive
	env.placer.endpoints = append(env.placer.endpoints, e)
	l, err := env.fabric.Network("a").Listen(e.Address)
	env.Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Handler: h}
	env.wg.Go(func() { _ = srv.Serve(l) })
	context.AfterFunc(env.ctx, func() { _ = srv.Close() })
}

// addEngine adds a simulated engine.
func (env *testEnv) addEngine() *engine.Engine {
	e := &engine.Engine{
		Address: env.address(), Network: env.fabric.Network("a"), Model: "m", Initial: "w1", Seed: uint64(env.n),
		Capabilities: hbs.Capabilities{Resume: true, EchoesAttempt: true, CachedTokens: true, Priority: true},
		Shape:        engine.Shape{Slots: 8, CacheTokens: 1e5, PrefillRate: 1e4, ChunkTokens: 1024, StepBase: 0.03},
	}
	e.ID = hbs.EndpointID(fmt.Sprintf("e%d", env.n))
	env.placer.endpoints = append(env.placer.endpoints, e.Record("a", "r"))
	env.wg.Go(func() { _ = e.Run(env.ctx) })
	synctest.Wait()
	return e
}

func (env *testEnv) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, env.d.Metrics).Count()
}

// listPlacer places a request on the first endpoint with a free slot, in list
// order starting at offset. If rotate is set, offset advances with each
// placement.
type listPlacer struct {
	endpoints []hbs.Endpoint
	tail      time.Duration
	// first is the predicted time to the first token.
	first  time.Duration
	rotate bool
	// slowness has the endpoints that are slower than expected, and by what
	// factor. It is guarded by mu.
	slowness map[hbs.EndpointID]float64

	mu      sync.Mutex
	offset  int
	n       int
	booked  map[hbs.EndpointID]int
	results []hbs.AttemptResult
	// gaps are the values passed to ObserveMinGap.
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
		p.offset++
	}
	err := hbs.ErrNoEndpoint
	for i := range p.endpoints {
		e := p.endpoints[(p.offset+i)%len(p.endpoints)]
		if slices.Contains(avoid, e.ID) {
			continue
		}
		err = hbs.ErrFull
		if e.Slots > 0 && p.booked[e.ID] >= e.Slots {
			continue
		}
		p.booked[e.ID]++
		p.n++
		return hbs.Placement{Attempt: hbs.AttemptID(fmt.Sprintf("at%d", p.n)), Endpoint: e, FirstTokenP95: p.tail, FirstToken: p.first}, nil
	}
	return hbs.Placement{}, err
}

func (p *listPlacer) FirstToken(*hbs.Placement, time.Duration, int) {}

func (p *listPlacer) Slowness(at *hbs.Placement) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1, p.slowness[at.Endpoint.ID])
}

func (p *listPlacer) ObserveGap(*hbs.Placement, time.Duration) {}

func (p *listPlacer) ObserveMinGap(_ *hbs.Placement, gap time.Duration) {
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

// sink records a response. If leaveAt is positive, write number leaveAt fails
// as if the caller had disconnected.
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

// gate counts how often it was opened, and refuses with err if that is set.
type gate struct {
	opened int
	err    error
}

func (g *gate) Open(context.Context) error {
	g.opened++
	return g.err
}

// chatRequest returns a streaming request for a number of output tokens.
func chatRequest(tokens int) *hbs.Request {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%sx"}]}`, tokens, engine.MarkBody("b"))
	return &hbs.Request{
		ID: "r", Workspace: "ws", Class: hbs.ClassRepeatable, Model: "m", Weights: "w1", Stream: true,
		PromptTokens: 10, ExpectedTokens: tokens, Method: "POST", Path: "/v1/chat/completions", Body: []byte(body),
	}
}

// serviceRequest returns a request to the plain service, with an idempotency
// key.
func serviceRequest(class hbs.RouteClass, method, body string) *hbs.Request {
	return &hbs.Request{
		ID: "r", Workspace: "ws", Class: class, Service: "s", Method: method, Path: "/x", Body: []byte(body),
		IdempotencyKey: "k", Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

var service = hbs.Endpoint{Kind: hbs.KindService, Service: "s", Slots: 100}

// outcomeOf returns the outcome and reason of a refusal, empty for other
// errors.
func outcomeOf(err error) (hbs.Outcome, hbs.Reason) {
	var r *hbs.Refusal
	if !errors.As(err, &r) {
		return "", ""
	}
	return r.Outcome, r.Reason
}
