// Package engine is a stand-in for a model engine that batches continuously
// and keeps a limited prefix cache. It speaks the engine protocol of
// docs/protocols.md, keeps records of what it really ran and has faults that
// can be turned on.
//
// It approximates, it does not simulate: one step of the batch prefills a chunk
// of one or more prompts and adds one token to every stream.
package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// Shape is the size and speed of an engine.
type Shape struct {
	// Slots is the number of streams in one batch, at least 1.
	Slots int `json:"slots" toml:"slots"`
	// CacheTokens is the size of the prefix cache.
	CacheTokens int `json:"cache_tokens" toml:"cache_tokens"`
	// PrefillRate is in prompt tokens a second, ChunkTokens the most of one step.
	PrefillRate float64 `json:"prefill_rate" toml:"prefill_rate"`
	ChunkTokens int     `json:"chunk_tokens" toml:"chunk_tokens"`
	// StepBase and StepPerStream are the seconds that a step takes beside its prefill.
	StepBase      float64 `json:"step_base" toml:"step_base"`
	StepPerStream float64 `json:"step_per_stream" toml:"step_per_stream"`
}

// Step returns the time of a step with so many streams and prefilled tokens.
func (s Shape) Step(streams, prefilled int) time.Duration {
	sec := s.StepBase + float64(streams)*s.StepPerStream + float64(prefilled)/s.PrefillRate
	return time.Duration(sec * float64(time.Second))
}

// Cost returns the engine seconds of a request when the batch is full.
func (s Shape) Cost(computed, output int) float64 {
	step := s.Step(s.Slots, 0).Seconds()
	return float64(computed)/s.PrefillRate + float64(output)*step/float64(s.Slots)
}

// Delays of what the engine publishes, and bounds.
const (
	// loadLag is the age of the load that a report tells.
	loadLag = 500 * time.Millisecond
	// loadEvery is the time between two samples of the load.
	loadEvery = 100 * time.Millisecond
	// eventLag is the time from a change of the cache to its event.
	eventLag = 300 * time.Millisecond
	// maxWaiting bounds the queue; more is refused as not run.
	maxWaiting = 256
	// adapterLoad is the time that an adapter takes to load.
	adapterLoad = 300 * time.Millisecond
	// kvRate is how fast one engine moves kept KV cache, in tokens a second. Its
	// transfers follow each other.
	kvRate = 100_000
)

// Engine is one stand-in. Exported fields are set before Run.
type Engine struct {
	ID      hbs.EndpointID
	Address netip.AddrPort
	Network hbs.Network
	Model   hbs.ModelName
	// Initial is the weights version that a new incarnation starts with.
	Initial      hbs.WeightsVersion
	Adapters     []hbs.AdapterName
	Capabilities hbs.Capabilities
	Shape        Shape
	// Weights and KV are shared by the engines of a deployment; either may be nil.
	Weights *WeightStore
	KV      *KVStore
	Seed    uint64

	mu      sync.Mutex
	rng     *rand.Rand
	life    int
	weights hbs.WeightsVersion
	// since is when weights came into use.
	since    time.Time
	adapters map[hbs.AdapterName]bool
	loading  hbs.WeightsVersion
	role     string
	fence    uint64
	cache    *Cache
	tags     tagTable
	events   eventLog
	loads    []loadSample
	waiting  []*job
	running  []*job
	jobs     map[hbs.AttemptID]*job
	arrivals int
	runs     []*Run
	orders   []TakenOrder
	faults   faults
	// kvFree is when the connection to the store of kept KV cache is free.
	kvFree time.Time
	// published counts bytes of the connections for load reports and cache events.
	published atomic.Int64

	wake    chan struct{}
	restart chan time.Duration
}

// Run serves until ctx ends.
func (e *Engine) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "engine %s", e.ID) }()
	e.init()
	for ctx.Err() == nil {
		down, err := e.live(ctx)
		if err != nil {
			return err
		}
		e.forget()
		_ = delay.For(ctx, down)
	}
	return ctx.Err()
}

func (e *Engine) init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rng = rand.New(rand.NewPCG(e.Seed, 1))
	e.wake = make(chan struct{}, 1)
	e.restart = make(chan time.Duration, 1)
	e.reset()
}

// live serves one incarnation and returns how long the engine stays down after it.
func (e *Engine) live(ctx context.Context) (down time.Duration, err error) {
	l, err := e.Network.Listen(e.Address)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	srv := &http.Server{Handler: e.handler(), ConnContext: withConn}
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(&countingListener{l, &e.published}) })
	wg.Go(func() { e.batch(ctx) })
	select {
	case <-ctx.Done():
	case down = <-e.restart:
	}
	cancel()
	srv.Close()
	wg.Wait()
	return down, nil
}

// forget starts a new incarnation with nothing of the old one.
func (e *Engine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.jobs {
		j.finish(EndCrashed)
	}
	e.reset()
}

func (e *Engine) reset() {
	e.life++
	e.weights = e.Initial
	e.since = time.Now()
	e.adapters = map[hbs.AdapterName]bool{}
	for _, a := range e.Adapters {
		e.adapters[a] = true
	}
	e.loading = ""
	e.role = "serve"
	e.fence = 0
	e.waiting, e.running = nil, nil
	e.jobs = map[hbs.AttemptID]*job{}
	e.loads = nil
	e.events = eventLog{}
	e.clearCache()
}

func (e *Engine) clearCache() {
	e.tags = tagTable{}
	e.cache = NewCache(e.Shape.CacheTokens, e.onEvict)
}

// incarnation is called with mu held.
func (e *Engine) incarnation() hbs.Incarnation {
	return hbs.Incarnation(fmt.Sprintf("%s-%d-%d", e.ID, e.Seed, e.life))
}

// Record returns the platform's record of the engine.
func (e *Engine) Record(domain hbs.DomainName, region hbs.RegionName) hbs.Endpoint {
	return hbs.Endpoint{
		ID:           e.ID,
		Kind:         hbs.KindEngine,
		Domain:       domain,
		Region:       region,
		Address:      e.Address,
		State:        hbs.StateLive,
		Model:        e.Model,
		Weights:      e.Initial,
		Adapters:     e.Adapters,
		Slots:        e.Shape.Slots,
		CacheTokens:  e.Shape.CacheTokens,
		Capabilities: e.Capabilities,
	}
}

// Runs returns the records of all requests that the engine accepted.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// Serving returns the weights in use and since when.
func (e *Engine) Serving() (v hbs.WeightsVersion, since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights, e.since
}

// Published returns the bytes, sent and received, of the connections for load
// reports and cache events so far.
func (e *Engine) Published() int64 { return e.published.Load() }
