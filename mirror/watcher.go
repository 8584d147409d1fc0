package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// Watcher reads the mirrored kinds from the platform while this instance is a
// representative of its domain.
type Watcher struct {
	Platform hbs.Platform
	Set      *Set
	Policy   hbs.Policy
	Metrics  metrics.Registry
	Log      *zap.Logger
	// IsRepresentative reports whether this instance currently watches for its
	// domain. It is called at each poll, so a change takes effect within one poll
	// interval.
	IsRepresentative func() bool
	// Broadcast passes adopted updates on to peers. It must not block for long.
	Broadcast func([]Update)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	for _, kind := range Kinds {
		wg.Go(func() { w.watchWhileRepresentative(ctx, kind) })
	}
	wg.Wait()
	return ctx.Err()
}

// watchWhileRepresentative keeps kind up to date while this instance is a
// representative of its domain.
func (w *Watcher) watchWhileRepresentative(ctx context.Context, kind hbs.ObjectKind) {
	for ctx.Err() == nil {
		if w.IsRepresentative() {
			w.listAndWatch(ctx, kind)
		}
		w.pause(ctx)
	}
}

// listAndWatch lists the objects of kind once and watches from there. A broken
// watch is reopened from the last revision received. It returns when the next
// listing is due, when the platform has compacted that revision, or when this
// instance is no longer a representative.
func (w *Watcher) listAndWatch(ctx context.Context, kind hbs.ObjectKind) {
	ctx, cancel := context.WithTimeout(ctx, w.Policy.Duration(KnobRelistInterval, hbs.Scope{}))
	defer cancel()
	objs, rev, err := w.Platform.List(ctx, kind)
	if err != nil {
		metrics.GetOrRegisterCounter(meterListFailures, w.Metrics).Inc(1)
		return
	}
	w.forward(w.Set.Replace(kind, objs, rev))
	var remote *remoteEndpoints
	if kind == hbs.ObjectEndpoint && w.Set.Region != "" {
		remote = newRemoteEndpoints(w.Set.Region, objs, rev)
		w.updateSpares(remote)
	}
	for ctx.Err() == nil && w.IsRepresentative() {
		rev, err = w.watch(ctx, kind, rev, remote)
		if errors.Is(err, hbs.ErrCompacted) {
			return
		}
		w.pause(ctx)
	}
}

// updateSpares selects the spares for the region. A watcher whose set has the
// endpoints of all regions does not push them: instances with such sets need no
// spares, and the others pull them.
func (w *Watcher) updateSpares(remote *remoteEndpoints) {
	n := int(w.Policy.Number(KnobSpares, hbs.Scope{}))
	adopted, err := w.Set.ReplaceSpares(remote.list(), remote.revision, n)
	remote.recordSelection(len(adopted) > 0)
	if err != nil {
		w.Log.Error("selecting spares failed", zap.Error(err))
	}
	if w.Set.RegionOnly {
		w.forward(adopted)
	}
}

// watch adopts the changes after rev until the watch breaks, and returns the last
// revision received. It keeps remote, which may be nil, up to date.
func (w *Watcher) watch(ctx context.Context, kind hbs.ObjectKind, rev hbs.Revision, remote *remoteEndpoints) (hbs.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	events := make(chan hbs.WatchEvent, watchBacklog)
	var err error
	var wg conc.WaitGroup
	wg.Go(func() {
		defer cancel()
		err = w.Platform.Watch(ctx, kind, rev, events)
	})
	// The goroutine may read rev only after consume has returned, so rev must not
	// be assigned here.
	last := w.consume(ctx, rev, events, remote)
	cancel()
	wg.Wait()
	return last, err
}

// consume adopts events until the watch ends, this instance is no longer a
// representative, or neither an event nor a bookmark has arrived for
// mirror.quiet_limit, because a connection can die without an error. It returns
// the last revision received.
func (w *Watcher) consume(ctx context.Context, rev hbs.Revision, events <-chan hbs.WatchEvent, remote *remoteEndpoints) hbs.Revision {
	poll := time.NewTicker(w.Policy.Duration(KnobPollInterval, hbs.Scope{}))
	defer poll.Stop()
	c := newCoalescer(w.Policy.Duration(KnobMergeInterval, hbs.Scope{}), func(us []Update) { w.forward(w.Set.Adopt(us)) })
	defer c.timer.Stop()
	// The next watch starts after the returned revision and does not deliver the
	// pending updates again.
	defer c.flush()
	lastEvent := time.Now()
	for {
		select {
		case ev := <-events:
			lastEvent = time.Now()
			rev = max(rev, ev.Object.Revision)
			if !ev.Bookmark {
				c.add(updateOf(ev))
				remote.apply(&ev)
			}
		case <-c.timer.C:
			c.timerExpired()
		case <-poll.C:
			if w.Set.RegionOnly && remote.selectionDue(w.Policy.Duration(KnobSparesInterval, hbs.Scope{})) {
				w.updateSpares(remote)
			}
			if !w.IsRepresentative() || time.Since(lastEvent) > w.Policy.Duration(KnobQuietLimit, hbs.Scope{}) {
				return rev
			}
		case <-ctx.Done():
			return rev
		}
	}
}

func updateOf(ev hbs.WatchEvent) Update {
	u := NewUpdate(ev.Object)
	if ev.Deleted {
		u.Deleted = true
		u.Value = nil
	}
	return u
}

// forward counts the adopted updates and passes them on to peers.
func (w *Watcher) forward(adopted []Update) {
	if len(adopted) == 0 {
		return
	}
	metrics.GetOrRegisterCounter(meterAdopted, w.Metrics).Inc(int64(len(adopted)))
	w.Broadcast(adopted)
}

// pause waits for one poll interval.
func (w *Watcher) pause(ctx context.Context) {
	// The callers check ctx.
	_ = delay.For(ctx, w.Policy.Duration(KnobPollInterval, hbs.Scope{}))
}
