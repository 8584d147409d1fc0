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

// stallingPlatform is a platform whose watches deliver one event each and then
// nothing, without an error.
type stallingPlatform struct {
	hbs.Platform
	compacted bool

	mu      sync.Mutex
	lists   int
	watched []hbs.Revision
}

func (p *stallingPlatform) List(_ context.Context, kind hbs.ObjectKind) ([]hbs.Object, hbs.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kind == hbs.ObjectEndpoint {
		p.lists++
	}
	return nil, 10, nil
}

func (p *stallingPlatform) Watch(ctx context.Context, kind hbs.ObjectKind, since hbs.Revision, events chan<- hbs.WatchEvent) error {
	p.mu.Lock()
	if kind == hbs.ObjectEndpoint {
		p.watched = append(p.watched, since)
	}
	p.mu.Unlock()
	if p.compacted {
		return hbs.ErrCompacted
	}
	events <- hbs.WatchEvent{Object: hbs.Object{Kind: kind, Name: "e", Revision: since + 1}}
	<-ctx.Done()
	return hbs.ErrUncertain
}

var _ = DescribeTable("A watcher", func(compacted bool, watched []hbs.Revision, lists int) {
	synctest.Test(suite, func(t *testing.T) {
		g := NewWithT(t)
		p := &stallingPlatform{compacted: compacted}
		w := &mirror.Watcher{Platform: p, Set: &mirror.Set{}, Policy: knob.NewFixed(mirror.Knobs), Metrics: metrics.NewRegistry(),
			Log: zap.NewNop(), IsRepresentative: func() bool { return true }, Broadcast: func([]mirror.Update) {}}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_ = w.Run(ctx)
		g.Expect(p.watched[:len(watched)]).To(Equal(watched))
		g.Expect(p.lists).To(BeNumerically("~", lists, 1))
	})
},
	Entry("reopens a watch that died without an error from the last revision received", false, []hbs.Revision{10, 11, 12}, 1),
	Entry("lists again when the revision was compacted", true, []hbs.Revision{10, 10}, 30),
)

// burstPlatform is a platform whose first watch delivers a burst of changes and
// then breaks.
type burstPlatform struct {
	hbs.Platform
	// changes is how often object e changes, at intervals of 10 ms.
	changes int
	once    sync.Once
}

func (p *burstPlatform) List(context.Context, hbs.ObjectKind) ([]hbs.Object, hbs.Revision, error) {
	return nil, 10, nil
}

func (p *burstPlatform) Watch(ctx context.Context, kind hbs.ObjectKind, since hbs.Revision, events chan<- hbs.WatchEvent) error {
	if kind != hbs.ObjectEndpoint {
		<-ctx.Done()
		return hbs.ErrUncertain
	}
	p.once.Do(func() {
		for i := range p.changes {
			events <- hbs.WatchEvent{Object: hbs.Object{Kind: kind, Name: "e", Revision: since + hbs.Revision(i) + 1}}
			time.Sleep(10 * time.Millisecond)
		}
	})
	return hbs.ErrUncertain
}

var _ = DescribeTable("A watcher merges a burst and loses nothing of it when the watch breaks", func(changes, messages int) {
	synctest.Test(suite, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		var passed []time.Duration
		var last hbs.Revision
		w := &mirror.Watcher{Platform: &burstPlatform{changes: changes}, Set: &mirror.Set{}, Policy: knob.NewFixed(mirror.Knobs), Metrics: metrics.NewRegistry(),
			Log: zap.NewNop(), IsRepresentative: func() bool { return true }, Broadcast: func(us []mirror.Update) {
				g.Expect(us).To(HaveLen(1), "the last change of an object supersedes the others")
				passed = append(passed, time.Since(start))
				last = us[0].Revision
			}}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_ = w.Run(ctx)
		g.Expect(last).To(Equal(hbs.Revision(10 + changes)))
		g.Expect(passed).To(HaveLen(messages))
		g.Expect(passed[0]).To(BeZero(), "the first is not delayed")
	})
},
	Entry("of one change", 1, 1),
	Entry("that ends within an interval", 20, 2),
	Entry("of 2.2 s", 220, 6),
)

// laggingPlatform is a platform whose listing lags: its watch delivers updates that
// the listing lacks.
type laggingPlatform struct {
	hbs.Platform
	updates []mirror.Update
}

func (p *laggingPlatform) List(context.Context, hbs.ObjectKind) ([]hbs.Object, hbs.Revision, error) {
	return nil, 10, nil
}

func (p *laggingPlatform) Watch(ctx context.Context, kind hbs.ObjectKind, _ hbs.Revision, events chan<- hbs.WatchEvent) error {
	for _, u := range p.updates {
		if u.Kind == kind {
			events <- hbs.WatchEvent{Deleted: u.Deleted, Object: u.Object()}
		}
	}
	<-ctx.Done()
	return hbs.ErrUncertain
}

var _ = DescribeTable("A watcher of one region", func(updates []mirror.Update, want []string) {
	synctest.Test(suite, func(t *testing.T) {
		set := &mirror.Set{Region: "r", RegionOnly: true}
		w := &mirror.Watcher{Platform: &laggingPlatform{updates: updates}, Set: set, Policy: knob.NewFixed(mirror.Knobs), Metrics: metrics.NewRegistry(),
			Log: zap.NewNop(), IsRepresentative: func() bool { return true }, Broadcast: func([]mirror.Update) {}}
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
	Entry("selects spares from endpoints that its listing lacked", []mirror.Update{engine("x", 11, "q"), engine("local", 12, "r")}, []string{"x"}),
	Entry("does not select an endpoint that has moved to its region meanwhile", []mirror.Update{engine("x", 11, "q"), engine("y", 12, "q"), engine("x", 13, "r")}, []string{"y"}),
	Entry("selects none in its own region", []mirror.Update{engine("local", 12, "r")}, nil),
)
