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

// feed takes what a follower reads. Its methods are called by one goroutine.
type feed interface {
	// replace takes a whole listing.
	replace(objs []hbs.Object)
	// change takes one change.
	change(ev hbs.WatchEvent)
	// current tells that everything up to asOf was taken.
	current(asOf time.Time)
	// returned tells that the store is reached again after an absence.
	returned()
}

const (
	// firstPause and lastPause bound the pauses after failed calls.
	firstPause = 50 * time.Millisecond
	lastPause  = 700 * time.Millisecond
	// absence is the time without an answer after which the store counts as away.
	absence = watchWait + 1500*time.Millisecond
	// eventBacklog is how many events may wait for the feed.
	eventBacklog = 64
)

// follower keeps a feed current with one kind of object.
type follower struct {
	platform hbs.Platform
	kind     hbs.ObjectKind
	feed     feed
	log      *zap.Logger

	// heard is when the last answer came; away is set once that is long ago.
	heard time.Time
	away  bool
}

// Run follows until ctx ends.
func (f *follower) Run(ctx context.Context) error {
	f.heard = time.Now()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, lastPause
	since := hbs.Revision(0)
	for ctx.Err() == nil {
		err := error(nil)
		if since == 0 {
			since, err = f.list(ctx)
		} else {
			since, err = f.watch(ctx, since, pause)
		}
		if err == nil {
			continue
		}
		f.failed(err)
		if delay.For(ctx, pause.NextBackOff()) != nil {
			break
		}
	}
	return ctx.Err()
}

func (f *follower) list(ctx context.Context) (hbs.Revision, error) {
	asked := time.Now()
	objs, rev, err := f.platform.List(ctx, f.kind)
	if err != nil {
		return 0, err
	}
	f.answered()
	f.feed.replace(objs)
	f.feed.current(asked)
	f.log.Info("listed", zap.String("kind", string(f.kind)), zap.Int("objects", len(objs)), zap.Uint64("revision", uint64(rev)))
	return rev, nil
}

// watch takes changes until the watch breaks. It returns the revision to go on
// from, 0 when the kind has to be listed again.
func (f *follower) watch(ctx context.Context, since hbs.Revision, pause *backoff.ExponentialBackOff) (hbs.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	events := make(chan hbs.WatchEvent, eventBacklog)
	var err error
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(events)
		err = f.platform.Watch(ctx, f.kind, since, events)
	})
	for ev := range events {
		f.answered()
		pause.Reset()
		if ev.Bookmark {
			since = ev.Object.Revision
			f.feed.current(ev.AsOf)
			continue
		}
		f.feed.change(ev)
	}
	cancel()
	wg.Wait()
	if errors.Is(err, hbs.ErrCompacted) {
		since = 0
	}
	return since, err
}

// answered notes an answer of the store.
func (f *follower) answered() {
	if f.away || time.Since(f.heard) > absence {
		f.log.Info("store regained", zap.String("kind", string(f.kind)), zap.Duration("away", time.Since(f.heard)))
		f.feed.returned()
	}
	f.heard, f.away = time.Now(), false
}

// failed notes a failed call.
func (f *follower) failed(err error) {
	silent := time.Since(f.heard)
	if f.away || silent < absence {
		return
	}
	f.away = true
	f.log.Warn("store lost", zap.String("kind", string(f.kind)), zap.Duration("silent", silent), zap.Error(err))
}
