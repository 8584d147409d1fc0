package quarantine

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

const (
	// holdOff is the time from a change to its report, in which answers prove most
	// parts sound, and several changes become one write.
	holdOff = 100 * time.Millisecond
	// minWriteInterval is the shortest time between two writes, which doubles up to
	// maxWriteInterval while writes fail.
	minWriteInterval = 200 * time.Millisecond
	maxWriteInterval = 2 * time.Second
	// staleRead is the time without a read after which the reports are listed before
	// one is written: a watch may be silent because its connection is dead.
	staleRead = 2 * time.Second
	// sweepInterval is the mean time between two looks for expired reports.
	sweepInterval = time.Minute
)

// Sharer writes this instance's report when there is something new, and removes
// expired ones. The reports of others reach the tracker through Merge and Removed, by
// whoever watches them. Its exported fields must be set before Run.
type Sharer struct {
	Tracker  *Tracker
	Platform hbs.Platform
	Log      *zap.Logger

	// news has an element while there is something new to report.
	news chan struct{}
	// lastRead is when reports were last read; nil before the first time.
	lastRead atomic.Pointer[time.Time]

	// The fields below are used only by the goroutine of Run.
	// revision is that of the own report; zero if it is unknown or there is none.
	revision hbs.Revision
	// reported is set if the own report is not empty.
	reported bool
}

// NewSharer returns a sharer of what t has to tell.
func NewSharer(t *Tracker, platform hbs.Platform, log *zap.Logger) *Sharer {
	s := &Sharer{Tracker: t, Platform: platform, Log: log, news: make(chan struct{}, 1)}
	t.Changed = s.notify
	return s
}

// notify makes Run write a report.
func (s *Sharer) notify() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Rewrite makes Run write the report again: the platform may have lost it.
func (s *Sharer) Rewrite() { s.notify() }

// Read records that all reports up to now were read.
func (s *Sharer) Read() {
	now := time.Now()
	s.lastRead.Store(&now)
}

// Run writes reports until ctx ends.
func (s *Sharer) Run(ctx context.Context) error {
	interval := minWriteInterval
	sweep := time.NewTimer(sweepTime())
	defer sweep.Stop()
	// Suspects, also those that were told, are judged also if no request comes.
	settled := time.NewTicker(settleTime)
	defer settled.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sweep.C:
			s.sweep(ctx)
			sweep.Reset(sweepTime())
			continue
		case <-settled.C:
			if s.Tracker.settle() {
				s.notify()
			}
			continue
		case <-s.news:
		}
		if err := delay.For(ctx, holdOff); err != nil {
			return err
		}
		if err := s.share(ctx); err != nil {
			if ctx.Err() == nil {
				s.Log.Debug("report of crashes not written", zap.Error(err))
			}
			interval = min(2*interval, maxWriteInterval)
			s.notify()
		} else {
			interval = minWriteInterval
		}
		if err := delay.For(ctx, interval); err != nil {
			return err
		}
	}
}

func sweepTime() time.Duration { return sweepInterval/2 + rand.N(sweepInterval) }

// share reads the reports of others, if that may be due, and writes the own one.
func (s *Sharer) share(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "share crashes") }()
	if last := s.lastRead.Load(); last == nil || time.Since(*last) > staleRead {
		if err := s.list(ctx); err != nil {
			return err
		}
	}
	value, empty, err := s.Tracker.Report()
	if err != nil || empty && !s.reported {
		return err
	}
	if err := s.write(ctx, hbs.Object{Kind: Kind, Name: string(s.Tracker.Self), Revision: s.revision, Value: value}); err != nil {
		return err
	}
	s.reported = !empty
	s.Tracker.count(meterReports)
	return nil
}

func (s *Sharer) list(ctx context.Context) error {
	objs, _, err := s.Platform.List(ctx, Kind)
	if err != nil {
		return err
	}
	for i := range objs {
		s.Tracker.Merge(&objs[i], false)
	}
	s.Read()
	return nil
}

// write writes the own report. Nobody else writes it, so that a conflict only means
// that the revision isn't known.
func (s *Sharer) write(ctx context.Context, obj hbs.Object) error {
	put := s.Platform.Update
	if obj.Revision == 0 {
		put = s.Platform.Create
	}
	stored, err := put(ctx, obj)
	switch {
	case err == nil:
		s.revision = stored.Revision
	case errors.Is(err, hbs.ErrNotFound):
		s.revision = 0
	case errors.Is(err, hbs.ErrConflict):
		found, getErr := s.Platform.Get(ctx, Kind, obj.Name)
		if errors.Is(getErr, hbs.ErrNotFound) {
			s.revision = 0
		}
		if getErr != nil {
			return errors.CombineErrors(err, getErr)
		}
		obj.Revision = found.Revision
		stored, err = s.Platform.Update(ctx, obj)
		if err == nil {
			s.revision = stored.Revision
		}
	}
	return err
}

// sweep deletes expired reports, also those of instances that have stopped.
func (s *Sharer) sweep(ctx context.Context) {
	for _, o := range s.Tracker.expired() {
		err := s.Platform.Delete(ctx, Kind, o.Name, o.Revision)
		if err == nil || errors.Is(err, hbs.ErrNotFound) {
			s.Tracker.Removed(o.Name)
			if o.Name == string(s.Tracker.Self) {
				s.revision, s.reported = 0, false
			}
		}
		s.Log.Info("attempted to delete expired report of crashes", zap.String("name", o.Name), zap.Error(err))
	}
}
