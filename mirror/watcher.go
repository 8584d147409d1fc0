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

// Watcher reads the mirrored kinds from the platform while this instance is
// chosen for it.
type Watcher struct {
	Platform hbs.Platform
	Set      *Set
	Policy   hbs.Policy
	Metrics  metrics.Registry
	Log      *zap.Logger
	// Chosen reports whether this instance watches for its domain now. It is
	// read at each poll, so a change takes effect within one poll interval.
	Chosen func() bool
	// Spread passes adopted updates on to peers. It does not block for long.
	Spread func([]Update)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	for _, kind := range Kinds {
		wg.Go(func() { w.follow(ctx, kind) })
	}
	wg.Wait()
	return ctx.Err()
}

// follow keeps kind current while this instance is chosen.
func (w *Watcher) follow(ctx context.Context, kind hbs.ObjectKind) {
	for ctx.Err() == nil {
		if w.Chosen() {
			w.session(ctx, kind)
		}
		w.pause(ctx)
	}
}

// session lists once and watches from there, again from the last revision seen
// whenever the watch breaks. It ends when the next listing is due, when the
// platform no longer keeps that revision, or when this instance is no longer
// chosen.
func (w *Watcher) session(ctx context.Context, kind hbs.ObjectKind) {
	ctx, cancel := context.WithTimeout(ctx, w.Policy.Duration(KnobRelistInterval, hbs.Scope{}))
	defer cancel()
	objs, rev, err := w.Platform.List(ctx, kind)
	if err != nil {
		metrics.GetOrRegisterCounter(meterListFailures, w.Metrics).Inc(1)
		return
	}
	w.take(w.Set.Replace(kind, objs, rev))
	var far *others
	if kind == hbs.ObjectEndpoint && w.Set.Region != "" {
		far = newOthers(w.Set.Region, objs, rev)
		w.spare(far)
	}
	for ctx.Err() == nil && w.Chosen() {
		rev, err = w.watch(ctx, kind, rev, far)
		if errors.Is(err, hbs.ErrCompacted) {
			return
		}
		w.pause(ctx)
	}
}

// spare draws the spares for the region. Instances of a set of all regions need
// none; those that do ask for them.
func (w *Watcher) spare(far *others) {
	n := int(w.Policy.Number(KnobSpares, hbs.Scope{}))
	adopted, err := w.Set.ReplaceSpares(far.list(), far.rev, n)
	far.drawn(len(adopted) > 0)
	if err != nil {
		w.Log.Error("spares can't be drawn", zap.Error(err))
	}
	if w.Set.Part {
		w.take(adopted)
	}
}

// watch adopts the changes after rev until the watch breaks, and returns the
// last revision seen. It keeps far, which may be nil, current.
func (w *Watcher) watch(ctx context.Context, kind hbs.ObjectKind, rev hbs.Revision, far *others) (hbs.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	events := make(chan hbs.WatchEvent, watchBacklog)
	var err error
	var wg conc.WaitGroup
	wg.Go(func() {
		defer cancel()
		err = w.Platform.Watch(ctx, kind, rev, events)
	})
	// The watch may start only after drain has ended: rev stays as it was.
	last := w.drain(ctx, rev, events, far)
	cancel()
	wg.Wait()
	return last, err
}

// drain adopts events until the watch ends, this instance is no longer chosen,
// or neither event nor bookmark came for the quiet limit: a connection may die
// without a sign.
func (w *Watcher) drain(ctx context.Context, rev hbs.Revision, events <-chan hbs.WatchEvent, far *others) hbs.Revision {
	poll := time.NewTicker(w.Policy.Duration(KnobPollInterval, hbs.Scope{}))
	defer poll.Stop()
	b := newBurst(w.Policy.Duration(KnobMergeInterval, hbs.Scope{}), func(us []Update) { w.take(w.Set.Adopt(us)) })
	defer b.timer.Stop()
	// What is pending lies before the revision that is returned.
	defer b.flush()
	last := time.Now()
	for {
		select {
		case ev := <-events:
			last = time.Now()
			rev = max(rev, ev.Object.Revision)
			if !ev.Bookmark {
				b.add(updateOf(ev))
				far.take(&ev)
			}
		case <-b.timer.C:
			b.over()
		case <-poll.C:
			if w.Set.Part && far.due(w.Policy.Duration(KnobSparesInterval, hbs.Scope{})) {
				w.spare(far)
			}
			if !w.Chosen() || time.Since(last) > w.Policy.Duration(KnobQuietLimit, hbs.Scope{}) {
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

func (w *Watcher) take(adopted []Update) {
	if len(adopted) == 0 {
		return
	}
	metrics.GetOrRegisterCounter(meterAdopted, w.Metrics).Inc(int64(len(adopted)))
	w.Spread(adopted)
}

// pause waits for one poll interval.
func (w *Watcher) pause(ctx context.Context) {
	// Its callers look at ctx themselves.
	_ = delay.For(ctx, w.Policy.Duration(KnobPollInterval, hbs.Scope{}))
}
