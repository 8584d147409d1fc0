package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/cacheevent"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/network"
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

// cacheFeed reads the cache events of all engines.
type cacheFeed struct {
	*Gateway
	client *http.Client
	wg     conc.WaitGroup
	// readers has the function that ends the reader of each engine.
	readers map[hbs.EndpointID]context.CancelFunc
}

// Run keeps one reader for each engine until ctx ends.
func (f *cacheFeed) Run(ctx context.Context) error {
	transport := network.Transport(f.Network)
	defer transport.CloseIdleConnections()
	f.client = &http.Client{Transport: transport}
	f.readers = map[hbs.EndpointID]context.CancelFunc{}
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
		e := r.Endpoints[i]
		if e.Kind != hbs.KindEngine {
			continue
		}
		listed[e.ID] = true
		if f.readers[e.ID] != nil {
			continue
		}
		reading, end := context.WithCancel(ctx)
		f.readers[e.ID] = end
		reader := &cacheReader{cacheFeed: f, engine: e, parts: map[hbs.LevelKey]int{}}
		f.wg.Go(func() { reader.run(reading) })
	}
	for id, end := range f.readers {
		if !listed[id] {
			end()
			delete(f.readers, id)
		}
	}
}

// cacheReader reads the events of one engine.
type cacheReader struct {
	*cacheFeed
	engine hbs.Endpoint
	epoch  string
	next   int64
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
			r.Log.Debug("cache events not read", zap.String("endpoint", string(r.engine.ID)), zap.Error(err))
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
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.engine.Address.String()+platform.CacheEventsPath(r.next), nil)
	if err != nil {
		return p, err
	}
	platform.SetCacheWait(q.Header, cacheWait)
	platform.SetExpected(q.Header, r.engine.ID)
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
	id := r.engine.ID
	switch {
	case r.epoch != "" && p.Epoch != r.epoch:
		r.fleet.TakeCached(id, "", cacheevent.KindCleared, 0)
		r.parts = map[hbs.LevelKey]int{}
	case p.Gap && r.epoch != "":
		r.fleet.TakeCached(id, "", cacheevent.KindGap, 0)
	}
	r.epoch, r.next = p.Epoch, p.Next
	for i := range p.Events {
		e := &p.Events[i]
		key := levelKey(e.Scope, e.Model, e.Part)
		r.fleet.TakeCached(id, e.Weights, r.kind(key, e.Tokens), key)
	}
	r.fleet.TakeHeard(id)
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
