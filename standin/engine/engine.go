// Package engine is a stand-in for a model engine that batches continuously
// and keeps a limited prefix cache. It speaks the engine protocol of
// docs/protocols.md, records every request that it executed and can inject
// faults.
//
// It is an approximation, not a simulation of the hardware: one step of the
// batch prefills a chunk of one or more prompts and adds one token to every
// stream.
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
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

// Shape holds the capacity and speed of an engine.
type Shape struct {
	// Slots is the number of streams in one batch, at least 1.
	Slots int `json:"slots" toml:"slots"`
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int `json:"cache_tokens" toml:"cache_tokens"`
	// PrefillRate is the number of prompt tokens computed per second. ChunkTokens is
	// the maximum number computed in one step.
	PrefillRate float64 `json:"prefill_rate" toml:"prefill_rate"`
	ChunkTokens int     `json:"chunk_tokens" toml:"chunk_tokens"`
	// StepBase and StepPerStream are the durations, in seconds, that each step and
	// each stream in it add to the time of the prefill.
	StepBase      float64 `json:"step_base" toml:"step_base"`
	StepPerStream float64 `json:"step_per_stream" toml:"step_per_stream"`
}

// Step returns the duration of a step that decodes the given number of streams
// and prefills the given number of tokens.
func (s Shape) Step(streams, prefilled int) time.Duration {
	sec := s.StepBase + float64(streams)*s.StepPerStream + float64(prefilled)/s.PrefillRate
	return time.Duration(sec * float64(time.Second))
}

// Cost returns the engine time, in seconds, that a request uses when the batch
// is full: the prefill of the computed prompt tokens plus its share of the steps
// that generate the output tokens.
func (s Shape) Cost(computed, output int) float64 {
	step := s.Step(s.Slots, 0).Seconds()
	return float64(computed)/s.PrefillRate + float64(output)*step/float64(s.Slots)
}

// Delays and limits of the engine.
const (
	// loadLag is the minimum age of the load sample that a report contains.
	loadLag = 500 * time.Millisecond
	// loadSampleInterval is the time between two samples of the load.
	loadSampleInterval = 100 * time.Millisecond
	// eventLag is the time from a change of the cache to the publication of its event.
	eventLag = 300 * time.Millisecond
	// maxWaiting is the maximum length of the queue. Further requests are refused
	// with the code not_run.
	maxWaiting = 256
	// adapterLoadTime is the time to load an adapter.
	adapterLoadTime = 300 * time.Millisecond
	// kvTransferRate is the rate, in tokens per second, at which one engine exchanges
	// KV cache with the shared store. Its transfers run one after the other.
	kvTransferRate = 100_000
)

// Engine is one simulated engine. Exported fields are set before Run.
type Engine struct {
	ID      hbs.EndpointID
	Address netip.AddrPort
	Network hbs.Network
	Model   hbs.ModelName
	// Initial is the weights version that each incarnation starts with.
	Initial      hbs.WeightsVersion
	Adapters     []hbs.AdapterName
	Capabilities hbs.Capabilities
	Shape        Shape
	// Weights and KV are shared by the engines of a deployment; either may be nil.
	Weights *WeightStore
	KV      *KVStore
	Seed    uint64

	mu         sync.Mutex
	rng        *rand.Rand
	generation int
	weights    hbs.WeightsVersion
	// weightsSince is when weights came into use.
	weightsSince time.Time
	adapters     map[hbs.AdapterName]bool
	loading      hbs.WeightsVersion
	role         string
	fence        uint64
	cache        *Cache
	tags         tagTable
	events       eventLog
	loadSamples  []loadSample
	waiting      []*job
	running      []*job
	jobs         map[hbs.AttemptID]*job
	arrivals     int
	runs         []*Run
	orders       []OrderRecord
	faults       faults
	endless      endless.Fault
	// kvIdleAt is when the last transfer queued between the engine and KV ends.
	kvIdleAt time.Time
	// publishedBytes counts the bytes of connections for load reports and cache
	// events.
	publishedBytes atomic.Int64

	wake    chan struct{}
	restart chan time.Duration
}

// Run serves until ctx ends.
func (e *Engine) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "engine %s", e.ID) }()
	e.init()
	for ctx.Err() == nil {
		down, err := e.runIncarnation(ctx)
		if err != nil {
			return err
		}
		e.resetAfterCrash()
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

// runIncarnation serves until ctx ends or the engine crashes and returns how long
// the engine stays down afterwards.
func (e *Engine) runIncarnation(ctx context.Context) (down time.Duration, err error) {
	l, err := e.Network.Listen(e.Address)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	srv := &http.Server{Handler: e.endless.Handler(ctx, &wg, e.handler()), ConnContext: withConn}
	wg.Go(func() { _ = srv.Serve(&countingListener{l, &e.publishedBytes}) })
	wg.Go(func() { e.runSteps(ctx) })
	select {
	case <-ctx.Done():
	case down = <-e.restart:
	}
	cancel()
	srv.Close()
	wg.Wait()
	return down, nil
}

// resetAfterCrash ends all jobs as crashed and starts a new incarnation with
// an empty state.
func (e *Engine) resetAfterCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.jobs {
		j.finish(EndCrashed)
	}
	e.reset()
}

func (e *Engine) reset() {
	e.generation++
	e.weights = e.Initial
	e.weightsSince = time.Now()
	e.adapters = map[hbs.AdapterName]bool{}
	for _, a := range e.Adapters {
		e.adapters[a] = true
	}
	e.loading = ""
	e.role = "serve"
	e.fence = 0
	e.waiting, e.running = nil, nil
	e.jobs = map[hbs.AttemptID]*job{}
	e.loadSamples = nil
	e.events = eventLog{}
	e.clearCache()
}

func (e *Engine) clearCache() {
	e.tags = tagTable{}
	e.cache = NewCache(e.Shape.CacheTokens, e.onEvict)
}

// incarnation returns the identifier of the current incarnation. The caller holds
// mu.
func (e *Engine) incarnation() hbs.Incarnation {
	return hbs.Incarnation(fmt.Sprintf("%s-%d-%d", e.ID, e.Seed, e.generation))
}

// Record returns the endpoint record of the engine as the platform lists it.
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

// Runs returns copies of the records of all requests that the engine accepted.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// Serving returns the weights in use and the time at which they came into use.
func (e *Engine) Serving() (v hbs.WeightsVersion, since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights, e.weightsSince
}

// Published returns the number of bytes sent and received so far on connections
// for load reports and cache events.
func (e *Engine) Published() int64 { return e.publishedBytes.Load() }
