package mirror_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// mute is a platform whose watches tell one event each and then die without a
// sign.
type mute struct {
	hbs.Platform
	compacted bool

	mu      sync.Mutex
	lists   int
	watched []hbs.Revision
}

func (m *mute) List(_ context.Context, kind hbs.ObjectKind) ([]hbs.Object, hbs.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if kind == hbs.ObjectEndpoint {
		m.lists++
	}
	return nil, 10, nil
}

func (m *mute) Watch(ctx context.Context, kind hbs.ObjectKind, since hbs.Revision, events chan<- hbs.WatchEvent) error {
	m.mu.Lock()
	if kind == hbs.ObjectEndpoint {
		m.watched = append(m.watched, since)
	}
	m.mu.Unlock()
	if m.compacted {
		return hbs.ErrCompacted
	}
	events <- hbs.WatchEvent{Object: hbs.Object{Kind: kind, Name: "e", Revision: since + 1}}
	<-ctx.Done()
	return hbs.ErrUncertain
}

var _ = DescribeTable("a watcher", func(compacted bool, watched []hbs.Revision, lists int) {
	synctest.Test(suite, func(t *testing.T) {
		g := NewWithT(t)
		p := &mute{compacted: compacted}
		w := &mirror.Watcher{Platform: p, Set: &mirror.Set{}, Policy: knob.NewFixed(mirror.Knobs), Metrics: metrics.NewRegistry(),
			Log: zap.NewNop(), Chosen: func() bool { return true }, Spread: func([]mirror.Update) {}}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_ = w.Run(ctx)
		g.Expect(p.watched[:len(watched)]).To(Equal(watched))
		g.Expect(p.lists).To(BeNumerically("~", lists, 1))
	})
},
	Entry("opens a watch that died without a sign again from the last revision seen", false, []hbs.Revision{10, 11, 12}, 1),
	Entry("lists again when the revision is no longer kept", true, []hbs.Revision{10, 10}, 30),
)

// bursting is a platform whose watch tells a burst of changes and breaks.
type bursting struct {
	hbs.Platform
	// values are the changes of object e, at 10 ms from each other.
	values int
	once   sync.Once
}

func (b *bursting) List(context.Context, hbs.ObjectKind) ([]hbs.Object, hbs.Revision, error) {
	return nil, 10, nil
}

func (b *bursting) Watch(ctx context.Context, kind hbs.ObjectKind, since hbs.Revision, events chan<- hbs.WatchEvent) error {
	if kind != hbs.ObjectEndpoint {
		<-ctx.Done()
		return hbs.ErrUncertain
	}
	b.once.Do(func() {
		for i := range b.values {
			events <- hbs.WatchEvent{Object: hbs.Object{Kind: kind, Name: "e", Revision: since + hbs.Revision(i) + 1}}
			time.Sleep(10 * time.Millisecond)
		}
	})
	return hbs.ErrUncertain
}

var _ = DescribeTable("a watcher merges a burst and loses nothing of it when the watch breaks", func(values, messages int) {
	synctest.Test(suite, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		var passed []time.Duration
		var last hbs.Revision
		w := &mirror.Watcher{Platform: &bursting{values: values}, Set: &mirror.Set{}, Policy: knob.NewFixed(mirror.Knobs), Metrics: metrics.NewRegistry(),
			Log: zap.NewNop(), Chosen: func() bool { return true }, Spread: func(us []mirror.Update) {
				g.Expect(us).To(HaveLen(1), "the last change of an object stands for all")
				passed = append(passed, time.Since(began))
				last = us[0].Revision
			}}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_ = w.Run(ctx)
		g.Expect(last).To(Equal(hbs.Revision(10 + values)))
		g.Expect(passed).To(HaveLen(messages))
		g.Expect(passed[0]).To(BeZero(), "the first is not delayed")
	})
},
	Entry("of one", 1, 1),
	Entry("that ends within an interval", 20, 2),
	Entry("of 2.2 s", 220, 6),
)

// late is a platform whose listing lags: its watch tells what the listing lacks.
type late struct {
	hbs.Platform
	told []mirror.Update
}

func (l *late) List(context.Context, hbs.ObjectKind) ([]hbs.Object, hbs.Revision, error) {
	return nil, 10, nil
}

func (l *late) Watch(ctx context.Context, kind hbs.ObjectKind, _ hbs.Revision, events chan<- hbs.WatchEvent) error {
	for _, u := range l.told {
		if u.Kind == kind {
			events <- hbs.WatchEvent{Deleted: u.Deleted, Object: u.Object()}
		}
	}
	<-ctx.Done()
	return hbs.ErrUncertain
}

var _ = DescribeTable("a watcher of one region", func(told []mirror.Update, want []string) {
	synctest.Test(suite, func(t *testing.T) {
		set := &mirror.Set{Region: "r", Part: true}
		w := &mirror.Watcher{Platform: &late{told: told}, Set: set, Policy: knob.NewFixed(mirror.Knobs), Metrics: metrics.NewRegistry(),
			Log: zap.NewNop(), Chosen: func() bool { return true }, Spread: func([]mirror.Update) {}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = w.Run(ctx)
		g := NewWithT(t)
		u, _ := set.Get(mirror.SparesKind("r"), "spares")
		if want == nil {
			g.Expect(u.Value).To(BeEmpty())
			return
		}
		e, err := mirror.DecodeSpares(u.Name, u.Value)
		g.Expect(err).NotTo(HaveOccurred())
		var names []string
		for _, spare := range e.Spares {
			names = append(names, string(spare.Value.ID))
		}
		g.Expect(names).To(Equal(want))
	})
},
	Entry("draws spares from what its listing lacked", []mirror.Update{engine("x", 11, "q"), engine("own", 12, "r")}, []string{"x"}),
	Entry("draws none that moved to its region meanwhile", []mirror.Update{engine("x", 11, "q"), engine("y", 12, "q"), engine("x", 13, "r")}, []string{"y"}),
	Entry("draws none in its own region", []mirror.Update{engine("own", 12, "r")}, nil),
)
