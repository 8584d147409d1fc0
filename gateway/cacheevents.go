package gateway

import (
	"context"
	"maps"
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
	// cachePollWait is how long an engine holds a poll while it has no events.
	cachePollWait = 900 * time.Millisecond
	// cachePollInterval is the least time between two polls of one engine.
	// Events occur one at a time and a poll costs more than an event, so the
	// interval batches them.
	cachePollInterval = 250 * time.Millisecond
	// cachePollTimeout bounds one poll.
	cachePollTimeout = cachePollWait + time.Second
	// cacheRetryDelay is the delay after a poll that failed, cacheRefusedDelay
	// after one that the engine refused because its limit of readers is
	// reached.
	cacheRetryDelay   = time.Second
	cacheRefusedDelay = 10 * time.Second
	// cacheEventReaders is the number of instances that read the cache events of one
	// engine, which refuses more readers than a limit that differs between platforms.
	cacheEventReaders = 8
	// maxCachePageBytes bounds the body of one response.
	maxCachePageBytes = 1 << 20
	// maxTrackedParts bounds the prompt parts of one engine whose cached
	// lengths are tracked.
	maxTrackedParts = 1 << 14
)

// cacheReaders runs the readers of the cache events of all engines and of the
// KV cache store, which is not the platform's store.
type cacheReaders struct {
	*Gateway
	client *http.Client
	wg     conc.WaitGroup
	// readers are keyed by the engine's ID, or by the KV cache store's address.
	readers map[hbs.EndpointID]*cacheReader
	// assigned has the results of reads for the instances that are known now.
	assigned map[hbs.EndpointID]bool
}

// Run maintains one reader for each engine that this instance has to read, and one for
// the KV cache store, until ctx ends.
func (c *cacheReaders) Run(ctx context.Context) error {
	transport := network.NewTransport(c.Network)
	defer transport.CloseIdleConnections()
	c.client = &http.Client{Transport: transport}
	c.readers, c.assigned = map[hbs.EndpointID]*cacheReader{}, map[hbs.EndpointID]bool{}
	ctx, cancel := context.WithCancel(ctx)
	defer c.wg.Wait()
	defer cancel()
	for {
		changed, tableChanged, instancesChanged := c.directory.Changed(), c.routes.tableChanged(), c.presence.Changed()
		c.reconcile(ctx, c.directory.Roster())
		select {
		case <-changed:
		case <-tableChanged:
		case <-instancesChanged:
			clear(c.assigned)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reconcile starts and stops readers so that they match the roster and the route
// table. What was known of a cache that is no longer read is cleared.
func (c *cacheReaders) reconcile(ctx context.Context, r *hbs.Roster) {
	listed, known := map[hbs.EndpointID]bool{}, map[hbs.EndpointID]bool{}
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		known[e.ID] = true
		if e.Kind != hbs.KindEngine || !c.reads(e.ID) {
			continue
		}
		listed[e.ID] = true
		c.startReader(ctx, e.ID, &cacheReader{source: e.Address, engine: e, sink: &engineSink{c.fleet, e.ID}})
	}
	store := c.routes.kvStoreAddress()
	id := hbs.EndpointID(store.String())
	known[id] = true
	if store.IsValid() && c.reads(id) {
		listed[id] = true
		c.startReader(ctx, id, &cacheReader{source: store, sink: &kvStoreSink{c.fleet}})
	}
	for id, r := range c.readers {
		if !listed[id] {
			r.stop()
			delete(c.readers, id)
		}
	}
	maps.DeleteFunc(c.assigned, func(id hbs.EndpointID, _ bool) bool { return !known[id] })
}

// reads reports whether this instance is one of those that read the events of an engine
// or of the KV cache store.
func (c *cacheReaders) reads(name hbs.EndpointID) bool {
	assigned, ok := c.assigned[name]
	if !ok {
		assigned = c.presence.IsAmongFirst(cacheEventReaders, string(name))
		c.assigned[name] = assigned
	}
	return assigned
}

// startReader starts a reader, unless one of the same name already reads from
// the same address. An engine may restart with its ID at another address; what
// was known of its cache is then cleared.
func (c *cacheReaders) startReader(ctx context.Context, name hbs.EndpointID, r *cacheReader) {
	if old := c.readers[name]; old != nil {
		if old.source == r.source {
			return
		}
		old.stop()
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.cacheReaders, r.maxTokens = c, map[hbs.LevelKey]int{}
	c.readers[name] = r
	c.wg.Go(func() { r.run(ctx) })
}

// cacheSink receives the cache events of one reader.
type cacheSink interface {
	// apply receives a change of a prompt part that is cached for the given
	// weights. KindGap and KindCleared have neither weights nor key.
	apply(kind cacheevent.Kind, weights hbs.WeightsVersion, key hbs.LevelKey)
	// caughtUp reports that all events up to now were applied.
	caughtUp()
}

// engineSink applies the events of one engine to the fleet.
type engineSink struct {
	fleet *placement.Placer
	id    hbs.EndpointID
}

func (s *engineSink) apply(kind cacheevent.Kind, weights hbs.WeightsVersion, key hbs.LevelKey) {
	s.fleet.ApplyCacheChange(s.id, weights, kind, key)
}

func (s *engineSink) caughtUp() { s.fleet.MarkEventsRead(s.id) }

// kvStoreSink applies the events of the KV cache store to the fleet.
type kvStoreSink struct{ fleet *placement.Placer }

func (s *kvStoreSink) apply(kind cacheevent.Kind, weights hbs.WeightsVersion, key hbs.LevelKey) {
	switch kind {
	case cacheevent.KindCleared, cacheevent.KindGap:
		s.fleet.ClearStored()
	default:
		s.fleet.SetStored(weights, key, kind == cacheevent.KindStored)
	}
}

func (s *kvStoreSink) caughtUp() {}

// cacheReader polls the cache events of one engine or of the KV cache store.
type cacheReader struct {
	*cacheReaders
	source netip.AddrPort
	// engine is the engine that must answer at source, as it was when the reader was
	// started; nil for the KV cache store.
	engine *hbs.Endpoint
	sink   cacheSink
	// cancel stops the reader.
	cancel context.CancelFunc
	// epoch identifies the sequence of events being read, and next is the
	// position in it from which to continue.
	epoch string
	next  int64
	// maxTokens has the largest number of tokens that was cached of each part.
	maxTokens map[hbs.LevelKey]int
}

// errTooManyReaders is returned when an engine refuses a poll because its limit
// of readers is reached.
var errTooManyReaders = errors.New("engine has reached its limit of cache event readers")

// stop ends the reader and clears what it has reported.
func (r *cacheReader) stop() {
	r.cancel()
	r.sink.apply(cacheevent.KindCleared, "", 0)
}

func (r *cacheReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := cachePollInterval
		page, err := r.poll(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			r.applyPage(&page)
		case errors.Is(err, errTooManyReaders):
			pause = cacheRefusedDelay
		default:
			pause = cacheRetryDelay
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

func (r *cacheReader) poll(ctx context.Context) (p platform.CachePage, err error) {
	defer func() { err = errors.Wrap(err, "poll cache events") }()
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.source.String()+platform.CacheEventsPath(r.next), nil)
	if err != nil {
		return p, err
	}
	platform.SetCacheWait(q.Header, cachePollWait)
	if r.engine != nil {
		platform.SetExpectedEndpoint(q.Header, r.engine.ID)
	}
	res, err := r.client.Do(q)
	if err != nil {
		return p, err
	}
	defer res.Body.Close()
	if r.engine != nil {
		r.observeHeader(r.engine, res.StatusCode, res.Header)
	}
	body, err := network.ReadBody(res.Body, maxCachePageBytes)
	switch {
	case err != nil:
		return p, err
	case res.StatusCode == http.StatusTooManyRequests:
		return p, errTooManyReaders
	case res.StatusCode != http.StatusOK:
		return p, errors.Newf("status %d", res.StatusCode)
	}
	return platform.DecodeCachePage(body)
}

// applyPage applies a page of events. A new epoch means that the cache is
// empty.
func (r *cacheReader) applyPage(p *platform.CachePage) {
	switch {
	case r.epoch != "" && p.Epoch != r.epoch:
		r.sink.apply(cacheevent.KindCleared, "", 0)
		r.maxTokens = map[hbs.LevelKey]int{}
	case p.Gap && r.epoch != "":
		r.sink.apply(cacheevent.KindGap, "", 0)
	}
	r.epoch, r.next = p.Epoch, p.Next
	for i := range p.Events {
		e := &p.Events[i]
		key := levelKey(e.Scope, e.Model, e.Part)
		r.sink.apply(r.eventKind(key, e.Tokens), e.Weights, key)
	}
	r.sink.caughtUp()
}

// eventKind returns KindStored if enough of a part is cached for it to count as
// cached, and KindEvicted otherwise. Parts are evicted from their end, and one
// with at least half of its tokens left is still worth using.
func (r *cacheReader) eventKind(key hbs.LevelKey, tokens int) cacheevent.Kind {
	most := max(r.maxTokens[key], tokens)
	if len(r.maxTokens) < maxTrackedParts {
		r.maxTokens[key] = most
	}
	if tokens > 0 && 2*tokens >= most {
		return cacheevent.KindStored
	}
	delete(r.maxTokens, key)
	return cacheevent.KindEvicted
}
