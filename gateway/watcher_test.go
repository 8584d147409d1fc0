package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// pollTime is how long frozenStore holds the poll of a watch.
const pollTime = time.Second

// frozenStore is a platform whose responses are all sent before the machine is
// suspended, and arrive after it.
type frozenStore struct {
	hbs.Platform
	// suspend is called while a request is outstanding.
	suspend func()
	watches int
}

// List implements hornbeamstage.Platform.
func (s *frozenStore) List(context.Context, hbs.ObjectKind) ([]hbs.Object, hbs.Revision, error) {
	return nil, 1, nil
}

// Watch implements hornbeamstage.Platform. The first response of each watch comes at
// once.
func (s *frozenStore) Watch(ctx context.Context, _ hbs.ObjectKind, since hbs.Revision, events chan<- hbs.WatchEvent) error {
	s.watches++
	for {
		select {
		case events <- hbs.WatchEvent{Bookmark: true, Object: hbs.Object{Revision: since}, AsOf: time.Now()}:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := delay.For(ctx, pollTime/2); err != nil {
			return err
		}
		s.suspend()
		if err := delay.For(ctx, pollTime/2); err != nil {
			return err
		}
	}
}

// confirmations counts how often a watcher reports that it is up to date.
type confirmations struct {
	upsertHandler
	count int
}

// synced implements objectHandler.
func (c *confirmations) synced(time.Time) { c.count++ }

// Guards against revoked keys and replaced weights in use after a suspension: a
// response that was sent before it counted as the newest state.
func TestResponsesFromBeforeASuspensionAreNotTheNewestState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		total := time.Duration(0)
		store := &frozenStore{suspend: func() { total += time.Minute }}
		seen := &confirmations{}
		w := &watcher{platform: store, kind: "k", handler: seen, log: zap.NewNop(), suspended: func() time.Duration { return total }}
		ctx, cancel := context.WithTimeout(t.Context(), 10*pollTime-pollTime/4)
		defer cancel()
		_ = w.Run(ctx)
		g.Expect(store.watches).To(Equal(10), "each suspension starts the watch anew")
		g.Expect(seen.count).To(Equal(1+store.watches), "the listing, and the first response of each watch")
	})
}

// Guards against an outage of which the log has the end but not the beginning: no call
// failed late enough to show it.
func TestAnOutageThatNoFailedCallShowsIsLoggedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		core, logs := observer.New(zap.InfoLevel)
		w := &watcher{kind: "k", handler: &upsertHandler{}, log: zap.New(core), wait: time.Second, lastResponse: time.Now()}
		time.Sleep(w.maxSilence() / 2)
		w.recordFailure(context.DeadlineExceeded)
		g.Expect(logs.Len()).To(BeZero())
		time.Sleep(w.maxSilence())
		w.recordResponse()
		g.Expect(logs.FilterMessage("store lost").Len()).To(Equal(1))
		g.Expect(logs.FilterMessage("store regained").Len()).To(Equal(1))
		w.recordResponse()
		g.Expect(logs.Len()).To(Equal(2))
	})
}
