package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/cacheevent"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

const (
	// cacheWait is how long an engine holds a question without events.
	cacheWait = 900 * time.Millisecond
	// cachePause is the least time between two questions to one engine. Events come
	// one by one, and a question costs more than an event.
	cachePause = 250 * time.Millisecond
	// cacheTimeout bounds one question.
	cacheTimeout = cacheWait + time.Second
	// cacheRetry is the pause after a question that failed, cacheRefused after one
	// that the engine refused: as many others ask it as may.
	cacheRetry   = time.Second
	cacheRefused = 10 * time.Second
	// maxCachePage bounds one answer.
	maxCachePage = 1 << 20
	// maxParts bounds the parts of one engine whose lengths are remembered.
	maxParts = 1 << 14
)

// cacheFeed reads the cache events of all engines and of the store of kept KV
// cache.
type cacheFeed struct {
	*Gateway
	client *http.Client
	wg     conc.WaitGroup
	// readers has the reader of each engine and store.
	readers map[hbs.EndpointID]*cacheReader
}

// Run keeps one reader for each engine until ctx ends.
func (f *cacheFeed) Run(ctx context.Context) error {
	transport := network.Transport(f.Network)
	defer transport.CloseIdleConnections()
	f.client = &http.Client{Transport: transport}
	f.readers = map[hbs.EndpointID]*cacheReader{}
	ctx, cancel := context.WithCancel(ctx)
	defer f.wg.Wait()
	defer cancel()
	for {
		changed := f.directory.Changed()
		f.keep(ctx, f.directory.Roster())
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// keep starts and ends readers as the roster tells.
func (f *cacheFeed) keep(ctx context.Context, r *hbs.Roster) {
	listed := map[hbs.EndpointID]bool{}
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		if e.Kind != hbs.KindEngine {
			continue
		}
		listed[e.ID] = true
		f.read(ctx, e.ID, &cacheReader{source: e.Address, expect: e.ID, sink: &engineSink{f.fleet, e.ID}})
	}
	if store := f.table.storeAddress(); store.IsValid() {
		id := hbs.EndpointID(store.String())
		listed[id] = true
		f.read(ctx, id, &cacheReader{source: store, sink: &keptSink{f.fleet}})
	}
	for id, r := range f.readers {
		if !listed[id] {
			r.end()
			delete(f.readers, id)
		}
	}
}

// read starts a reader, unless the one of that name reads from the same address.
// An engine may start again under its id at another one.
func (f *cacheFeed) read(ctx context.Context, name hbs.EndpointID, r *cacheReader) {
	if old := f.readers[name]; old != nil {
		if old.source == r.source {
			return
		}
		old.end()
		r.sink.take(cacheevent.KindCleared, "", 0)
	}
	ctx, r.end = context.WithCancel(ctx)
	r.cacheFeed, r.parts = f, map[hbs.LevelKey]int{}
	f.readers[name] = r
	f.wg.Go(func() { r.run(ctx) })
}

// cacheSink takes what a reader reads.
type cacheSink interface {
	// take takes a change of a part that is cached for these weights; that of a gap
	// or of a cleared cache has neither.
	take(kind cacheevent.Kind, weights hbs.WeightsVersion, key hbs.LevelKey)
	// heard tells that everything up to now was taken.
	heard()
}

// engineSink takes the events of one engine.
type engineSink struct {
	fleet *placement.Fleet
	id    hbs.EndpointID
}

func (s *engineSink) take(kind cacheevent.Kind, weights hbs.WeightsVersion, key hbs.LevelKey) {
	s.fleet.TakeCached(s.id, weights, kind, key)
}

func (s *engineSink) heard() { s.fleet.TakeHeard(s.id) }

// keptSink takes the events of the store of kept KV cache.
type keptSink struct{ fleet *placement.Fleet }

func (s *keptSink) take(kind cacheevent.Kind, weights hbs.WeightsVersion, key hbs.LevelKey) {
	switch kind {
	case cacheevent.KindCleared, cacheevent.KindGap:
		s.fleet.TakeKeptCleared()
	default:
		s.fleet.TakeKept(weights, key, kind == cacheevent.KindStored)
	}
}

func (s *keptSink) heard() {}

// cacheReader reads the events of one engine or store.
type cacheReader struct {
	*cacheFeed
	source netip.AddrPort
	// expect is empty for a store.
	expect hbs.EndpointID
	sink   cacheSink
	// end ends the reader.
	end   context.CancelFunc
	epoch string
	next  int64
	// parts has the most that was cached of each part.
	parts map[hbs.LevelKey]int
}

// errRefused: as many others read the engine's events as may.
var errRefused = errors.New("engine takes no more readers")

func (r *cacheReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := cachePause
		page, err := r.ask(ctx)
		switch {
		case err == nil:
			r.take(&page)
		case errors.Is(err, errRefused):
			pause = cacheRefused
		default:
			pause = cacheRetry
		}
		if err != nil && ctx.Err() == nil {
			metrics.GetOrRegisterCounter(meterCacheFailures, r.Metrics).Inc(1)
			r.Log.Debug("cache events not read", zap.Stringer("from", r.source), zap.Error(err))
		}
		if delay.For(ctx, pause+rand.N(pause/4)) != nil {
			return
		}
	}
}

func (r *cacheReader) ask(ctx context.Context) (p platform.CachePage, err error) {
	defer func() { err = errors.Wrap(err, "ask for cache events") }()
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.source.String()+platform.CacheEventsPath(r.next), nil)
	if err != nil {
		return p, err
	}
	platform.SetCacheWait(q.Header, cacheWait)
	if r.expect != "" {
		platform.SetExpected(q.Header, r.expect)
	}
	res, err := r.client.Do(q)
	if err != nil {
		return p, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxCachePage))
	switch {
	case err != nil:
		return p, err
	case res.StatusCode == http.StatusTooManyRequests:
		return p, errRefused
	case res.StatusCode != http.StatusOK:
		return p, errors.Newf("status %d", res.StatusCode)
	}
	return platform.DecodeCachePage(body)
}

// take applies a page of events.
func (r *cacheReader) take(p *platform.CachePage) {
	switch {
	case r.epoch != "" && p.Epoch != r.epoch:
		r.sink.take(cacheevent.KindCleared, "", 0)
		r.parts = map[hbs.LevelKey]int{}
	case p.Gap && r.epoch != "":
		r.sink.take(cacheevent.KindGap, "", 0)
	}
	r.epoch, r.next = p.Epoch, p.Next
	for i := range p.Events {
		e := &p.Events[i]
		key := levelKey(e.Scope, e.Model, e.Part)
		r.sink.take(r.kind(key, e.Tokens), e.Weights, key)
	}
	r.sink.heard()
}

// kind tells whether a part of which so many tokens are cached counts as cached.
// Parts lose their ends first; the first half is worth more than none.
func (r *cacheReader) kind(key hbs.LevelKey, tokens int) cacheevent.Kind {
	most := max(r.parts[key], tokens)
	if len(r.parts) < maxParts {
		r.parts[key] = most
	}
	if tokens > 0 && 2*tokens >= most {
		return cacheevent.KindStored
	}
	delete(r.parts, key)
	return cacheevent.KindEvicted
}
