package gateway

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// objectHandler receives the objects that a watcher reads. Its methods are
// called from one goroutine.
type objectHandler interface {
	// replace receives a complete listing.
	replace(objs []hbs.Object)
	// apply receives changes that arrived together, in their order; at least one.
	apply(evs []hbs.WatchEvent)
	// synced reports that everything up to asOf was delivered.
	synced(asOf time.Time)
	// reconnected reports that the store is reachable again after an outage, or was
	// restored from a copy. What it lacks may be written again soon.
	reconnected()
}

const (
	// minBackoff and maxBackoff bound the delays after failed calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// unreachableMargin is added to the wait of a watch: after so long without a
	// response the store counts as unreachable.
	unreachableMargin = 1500 * time.Millisecond
	// suspendTolerance is larger than the measurement error of suspended.
	suspendTolerance = 20 * time.Millisecond
	// eventBacklog is how many events may be queued for the handler.
	eventBacklog = 64
)

// watcher lists and watches one kind of object and passes it to a handler.
type watcher struct {
	platform hbs.Platform
	kind     hbs.ObjectKind
	handler  objectHandler
	log      *zap.Logger
	// suspended returns the total time for which the machine has been suspended.
	suspended func() time.Duration
	// wait is how long the store holds a watch request that has no events.
	wait time.Duration

	// lastResponse is when the store last responded. unreachable is set when a
	// call fails at least maxSilence later.
	lastResponse time.Time
	unreachable  bool
	// listed is the revision of the last listing; 0 before the first.
	listed hbs.Revision
}

// Run lists and watches until ctx ends.
func (w *watcher) Run(ctx context.Context) error {
	w.lastResponse = time.Now()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minBackoff, maxBackoff
	since := hbs.Revision(0)
	for ctx.Err() == nil {
		err := error(nil)
		if since == 0 {
			since, err = w.list(ctx)
		} else {
			since, err = w.watch(ctx, since, pause)
		}
		if err == nil {
			continue
		}
		w.recordFailure(err)
		if delay.For(ctx, pause.NextBackOff()) != nil {
			break
		}
	}
	return ctx.Err()
}

// list passes a complete listing to the handler and returns its revision. One during
// which the machine was suspended doesn't count as the newest state; see watch.
func (w *watcher) list(ctx context.Context) (hbs.Revision, error) {
	start, suspended := time.Now(), w.suspended()
	objs, rev, err := w.platform.List(ctx, w.kind)
	if err != nil {
		return 0, err
	}
	w.recordResponse()
	if w.listed != 0 && rev.Restores() > w.listed.Restores() {
		w.handler.reconnected()
	}
	w.listed = rev
	w.handler.replace(objs)
	if w.suspended()-suspended <= suspendTolerance {
		w.handler.synced(start)
	}
	w.log.Info("objects listed", zap.String("kind", string(w.kind)), zap.Int("objects", len(objs)), zap.Uint64("revision", uint64(rev)))
	return rev, nil
}

// watch passes changes to the handler until the watch ends. It returns the
// revision to resume from, or 0 if the kind has to be listed again.
//
// A response that was outstanding while the machine was suspended may be as old as
// the suspension is long, which its AsOf doesn't tell. It doesn't count as the newest
// state, and the watch starts anew, which asks the store at once.
func (w *watcher) watch(ctx context.Context, since hbs.Revision, pause *backoff.ExponentialBackOff) (hbs.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	events := make(chan hbs.WatchEvent, eventBacklog)
	var err error
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(events)
		err = w.platform.Watch(ctx, w.kind, since, events)
	})
	suspended := w.suspended()
	var arrived []hbs.WatchEvent
	for ev := range events {
		w.recordResponse()
		pause.Reset()
		if !ev.Bookmark {
			arrived = append(arrived, ev)
		}
		if len(arrived) > 0 && (ev.Bookmark || len(events) == 0) {
			w.handler.apply(arrived)
			arrived = arrived[:0]
		}
		if !ev.Bookmark {
			continue
		}
		since = ev.Object.Revision
		if d := w.suspended() - suspended; d > suspendTolerance {
			w.log.Info("watch starts anew after a suspension", zap.String("kind", string(w.kind)), zap.Duration("suspended", d))
			cancel()
			wg.Wait()
			return since, nil
		}
		w.handler.synced(ev.AsOf)
	}
	cancel()
	wg.Wait()
	if errors.Is(err, hbs.ErrCompacted) {
		since = 0
	}
	return since, err
}

// recordResponse records a response of the store, and logs and reports the end of
// an outage. One that no failed call has shown is logged as a whole.
func (w *watcher) recordResponse() {
	if !w.unreachable && w.silent() > w.maxSilence() {
		w.recordOutage(nil)
	}
	if w.unreachable {
		w.log.Info("store regained", zap.String("kind", string(w.kind)), zap.Duration("away", w.silent()))
		w.handler.reconnected()
	}
	w.lastResponse, w.unreachable = time.Now(), false
}

// recordFailure logs the start of an outage if the last response is too old.
func (w *watcher) recordFailure(err error) {
	if !w.unreachable && w.silent() >= w.maxSilence() {
		w.recordOutage(err)
	}
}

func (w *watcher) recordOutage(err error) {
	w.unreachable = true
	w.log.Warn("store lost", zap.String("kind", string(w.kind)), zap.Duration("silent", w.silent()), zap.Error(err))
}

// silent returns the time since the last response, maxSilence how long that may be
// without an outage.
func (w *watcher) silent() time.Duration     { return time.Since(w.lastResponse) }
func (w *watcher) maxSilence() time.Duration { return w.wait + unreachableMargin }
