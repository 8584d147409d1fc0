package placement_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

// engineAnswers holds the responses of the engines of runWithBackground.
type engineAnswers struct {
	load, events string
	// incarnation is that of the engines in the roster, "1" when empty.
	incarnation hbs.Incarnation
	// before runs before the background tasks start; it may be nil.
	before func(f *placement.Placer)
}

// withBackgroundTasks runs body while the background tasks of a Placer with two
// engines run. One server answers for both engines.
func withBackgroundTasks(a *engineAnswers, body func(g Gomega, f *placement.Placer)) {
	synctest.Test(suiteT, func(t *testing.T) {
		net := (&memnet.Fabric{}).Network("a")
		l, err := net.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, a.load) })
		mux.HandleFunc("/cache_events", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, a.events) })
		srv := &http.Server{Handler: mux}
		d := newDirectory(2)
		for i := range d.roster.Endpoints {
			e := &d.roster.Endpoints[i]
			e.Domain = "a"
			e.Incarnation = cmp.Or(a.incarnation, e.Incarnation)
			e.Capabilities = hbs.Capabilities{KVTransfer: true, LoadReports: a.load != "", CacheEvents: a.events != ""}
		}
		d.roster.Instances = d.roster.Instances[:1]
		f := newPlacer(d, "a")
		f.Network = net
		if a.before != nil {
			a.before(f)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { _ = srv.Serve(l) })
		wg.Go(func() { _ = f.Run(ctx) })
		body(NewWithT(t), f)
		cancel()
		_ = srv.Close()
		wg.Wait()
	})
}

// finishWithCached ends p with the times of an engine that computes 10,000
// tokens a second and has the given number of 4,000 tokens cached.
func finishWithCached(f *placement.Placer, p hbs.Placement, cached int) {
	first := 30*time.Millisecond + time.Duration(4000-cached)*100*time.Microsecond
	f.FirstToken(&p, first, -1)
	f.Finish(&p, hbs.AttemptResult{
		End: hbs.EndComplete, Incarnation: "1", Weights: "w1", CachedTokens: cached, OutputTokens: 20,
		FirstToken: first, Duration: time.Second,
	})
}

var _ = Describe("Placer with its background tasks", func() {
	It("stores a prompt without its last level once, and expects other endpoints to load it", func() {
		withBackgroundTasks(&engineAnswers{}, func(g Gomega, f *placement.Placer) {
			p := mustPlace(g, f, request(1, 2, 3, 4))
			g.Expect(p.LoadFromStore).To(BeTrue())
			g.Expect(p.StoreTokens).To(Equal(3000))
			f.FirstToken(&p, time.Second, 0)
			other := mustPlace(g, f, request(1, 2, 3, 4), p.Endpoint.ID)
			g.Expect(other.StoreTokens).To(BeZero())
			g.Expect(other.FirstToken).To(BeNumerically("<", p.FirstToken/2))
			g.Expect(mustPlace(g, f, request(91, 92, 93, 94)).StoreTokens).To(Equal(3000))
		})
	})

	It("asks again to store a prefix whose attempt got no token", func() {
		withBackgroundTasks(&engineAnswers{}, func(g Gomega, f *placement.Placer) {
			p := mustPlace(g, f, request(1, 2, 3, 4))
			f.Finish(&p, hbs.AttemptResult{End: hbs.EndBroken, CachedTokens: -1})
			g.Expect(mustPlace(g, f, request(1, 2, 3, 4)).StoreTokens).To(Equal(3000))
		})
	})

	It("stores a prefix again when the store has lost it", func() {
		withBackgroundTasks(&engineAnswers{}, func(g Gomega, f *placement.Placer) {
			p := mustPlace(g, f, request(1, 2, 3, 4))
			complete(f, p, "1", 0)
			other := mustPlace(g, f, request(1, 2, 3, 4), p.Endpoint.ID)
			complete(f, other, "1", 0)
			g.Expect(mustPlace(g, f, request(1, 2, 3, 4)).StoreTokens).To(Equal(3000))
		})
	})

	It("expects ever less from the store while loads fail, and more again when they succeed", func() {
		withBackgroundTasks(&engineAnswers{}, func(g Gomega, f *placement.Placer) {
			// firstTokenRatio returns the predicted time to the first token of
			// a stored prompt divided by that of a new one.
			firstTokenRatio := func(key hbs.LevelKey, cached int) float64 {
				fresh := mustPlace(g, f, request(key, key+1, key+2, key+3))
				finishWithCached(f, fresh, 0)
				stored := mustPlace(g, f, request(key, key+1, key+2, key+3), fresh.Endpoint.ID)
				finishWithCached(f, stored, cached)
				return stored.FirstToken.Seconds() / fresh.FirstToken.Seconds()
			}
			g.Expect(firstTokenRatio(1, 0)).To(BeNumerically("<", 0.5))
			for i := range 100 {
				firstTokenRatio(hbs.LevelKey(100+10*i), 0)
			}
			g.Expect(firstTokenRatio(10_000, 0)).To(BeNumerically(">", 0.9))
			for i := range 100 {
				firstTokenRatio(hbs.LevelKey(20_000+10*i), 3000)
			}
			g.Expect(firstTokenRatio(30_000, 3000)).To(BeNumerically("<", 0.5))
		})
	})

	It("drops the beliefs about an engine whose cache was cleared", func() {
		a := &engineAnswers{events: "id: 0\ndata: {\"incarnation\":\"1\",\"kind\":\"cleared\"}\n\n"}
		withBackgroundTasks(a, func(g Gomega, f *placement.Placer) {
			synctest.Wait()
			p := mustPlace(g, f, request(1, 2))
			complete(f, p, "1", 0)
			time.Sleep(20 * time.Second)
			g.Expect(mustPlace(g, f, request(1, 2)).CachedTokens).To(BeZero())
		})
	})

	It("ignores events and reports of an earlier incarnation (rule 3)", func() {
		a := &engineAnswers{
			events:      "id: 0\ndata: {\"incarnation\":\"0\",\"kind\":\"stored\",\"tag\":\"0000000000000007\",\"tokens\":1000}\n\n",
			load:        `{"incarnation":"0","running":900,"waiting":900}`,
			incarnation: "0",
			before: func(f *placement.Placer) {
				p, _ := f.Place(request(1), []hbs.EndpointID{"engine-001"})
				complete(f, p, "1", 0)
			},
		}
		withBackgroundTasks(a, func(g Gomega, f *placement.Placer) {
			time.Sleep(5 * time.Second)
			g.Expect(mustPlace(g, f, request(7), "engine-001").CachedTokens).To(BeZero())
		})
	})

	It("returns ErrFull when load reports show that others fill the engines", func() {
		a := &engineAnswers{load: `{"incarnation":"1","running":900,"waiting":900,"age_seconds":0.1}`}
		withBackgroundTasks(a, func(g Gomega, f *placement.Placer) {
			time.Sleep(600 * time.Millisecond)
			_, err := f.Place(request(1), nil)
			g.Expect(err).To(MatchError(hbs.ErrFull))
		})
	})
})

var _ = Describe("Sections", func() {
	It("report the load to peers, and reject malformed data", func() {
		inVirtualTime(func(g Gomega) {
			d := newDirectory(1)
			a, b := newPlacer(d, "a"), newPlacer(d, "b")
			for range 8 {
				mustPlace(g, a, request())
			}
			for i, s := range a.Sections() {
				g.Expect(b.Sections()[i].Merge(instance("a"), []byte{0xff, 1, 2})).NotTo(Succeed())
				data := s.Digest(1000)
				g.Expect(len(data)).To(BeNumerically("<=", 1000))
				if len(data) > 0 {
					g.Expect(b.Sections()[i].Merge(instance("a"), data)).To(Succeed())
				}
				g.Expect(s.Digest(8)).To(HaveLen(min(len(s.Digest(8)), 8)))
			}
			_, err := b.Place(request(), nil)
			g.Expect(err).To(MatchError(hbs.ErrFull))
			time.Sleep(10 * time.Second)
			b.Sections()
		})
	})
})

func FuzzSections(f *testing.F) {
	f.Add([]byte{0x81, 0xa2, 1, 2, 2, 3})
	placer := newPlacer(newDirectory(3), "a")
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, s := range placer.Sections() {
			_ = s.Merge(instance("b"), data)
		}
	})
}
