package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/prompt"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// modelTick is the time step of the queueing model below. The model has engines
// with batching and caches, and routers with a simple queue each, but no
// network.
const modelTick = time.Millisecond

type modelJob struct {
	req     *hbs.Request
	blocks  []engine.Block
	output  int
	short   bool
	arrived time.Time
	placed  time.Time
	router  *modelRouter
	place   hbs.Placement
	// prefillLeft is the number of prompt tokens still to compute; -1 before
	// the engine has looked the prompt up in its cache.
	prefillLeft int
	hit         int
	emitted     int
	first       time.Time
}

type modelEngine struct {
	shape               engine.Shape
	cache               *engine.Cache
	waiting             []*modelJob
	running             []*modelJob
	decoding            []*modelJob
	stepEnds            time.Time
	slowFrom, slowUntil time.Time
	slowFactor          float64
}

type modelRouter struct {
	placer   hbs.Placer
	sections []hbs.Section
	self     hbs.Instance
	queue    []*modelJob
}

type modelResult struct {
	// computed is the number of prompt tokens that engines computed, oracle the
	// number that a single cache as large as all engines' together would have
	// missed, prompt the number of all prompt tokens.
	computed, oracle, prompt int
	ttft, itl                []float64
	// expired counts the requests, of n, whose deadline passed in a router's
	// queue.
	expired, n int
}

func (r *modelResult) quantile(v []float64, q float64) float64 {
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}

func (r *modelResult) String() string {
	return fmt.Sprintf("n=%d need=%d expired=%d hit/oracle=%.3f wasted=%.3f ttft p50=%.3f p95=%.3f p99=%.3f itl p95=%.3f", r.n, r.oracle/r.n, r.expired,
		float64(r.prompt-r.computed)/float64(r.prompt-r.oracle), float64(r.computed-r.oracle)/float64(r.prompt),
		r.quantile(r.ttft, .5), r.quantile(r.ttft, .95), r.quantile(r.ttft, .99), r.quantile(r.itl, .95))
}

func (e *modelEngine) step(now time.Time, r *modelResult) {
	if now.Before(e.stepEnds) {
		return
	}
	for _, j := range e.decoding {
		j.emitted++
		if j.emitted == 1 {
			j.first = now
			j.router.placer.FirstToken(&j.place, now.Sub(j.placed), -1)
		}
		if j.emitted < j.output {
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(k *modelJob) bool { return k == j })
		j.finish(now, r)
	}
	e.decoding = e.decoding[:0]
	for len(e.running) < e.shape.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return
	}
	budget, streams := e.shape.ChunkTokens, 0
	for _, j := range e.running {
		if j.prefillLeft == 0 {
			streams++
		} else {
			budget -= e.prefill(j, budget, now, r)
		}
		if j.prefillLeft == 0 {
			e.decoding = append(e.decoding, j)
		}
	}
	d := e.shape.Step(streams, e.shape.ChunkTokens-budget)
	if now.After(e.slowFrom) && now.Before(e.slowUntil) {
		d = time.Duration(float64(d) * e.slowFactor)
	}
	e.stepEnds = now.Add(d)
}

func (e *modelEngine) prefill(j *modelJob, budget int, now time.Time, r *modelResult) int {
	if budget <= 0 {
		return 0
	}
	if j.prefillLeft < 0 {
		j.hit = min(e.cache.Hit(j.blocks, now)*engine.BlockTokens, j.req.PromptTokens-1)
		j.prefillLeft = j.req.PromptTokens - j.hit
		r.computed += j.prefillLeft
	}
	n := min(budget, j.prefillLeft)
	j.prefillLeft -= n
	if j.prefillLeft == 0 {
		e.cache.Add(j.blocks, now)
	}
	return n
}

func (j *modelJob) finish(now time.Time, r *modelResult) {
	res := hbs.AttemptResult{End: hbs.EndComplete, CachedTokens: j.hit, OutputTokens: j.output, FirstToken: j.first.Sub(j.placed), Duration: now.Sub(j.placed), Weights: "v1", Incarnation: "1"}
	j.router.placer.Finish(&j.place, res)
	r.ttft = append(r.ttft, j.first.Sub(j.arrived).Seconds())
	if j.output > 1 {
		r.itl = append(r.itl, now.Sub(j.first).Seconds()/float64(j.output-1))
	}
}

// model configures a run of the queueing model, which replays those requests of
// a trace that are for the language model of its first group of engines.
type model struct {
	policy      string
	seed        uint64
	slowEngines int
	slowFactor  float64
	scope       placement.Scope
	knobs       *knob.Fixed
	// noDigests turns the exchange of digests between instances off.
	noDigests bool
	// sampleShare is the share of the requests that are replayed; 0 means all.
	sampleShare float64
	seconds     float64
}

func (m model) run(t *testing.T, tr *trace.Trace) *modelResult {
	r := &modelResult{}
	synctest.Test(t, func(*testing.T) { m.replay(tr, r) })
	return r
}

func (m model) replay(tr *trace.Trace, r *modelResult) {
	group := tr.Header.Fleet.Engines[0]
	roster := &hbs.Roster{}
	engines := map[hbs.EndpointID]*modelEngine{}
	var list []*modelEngine
	start := time.Now()
	for i := range group.Count {
		id := hbs.EndpointID(fmt.Sprintf("e%02d", i))
		domain := tr.Header.Fleet.Domains[i%len(tr.Header.Fleet.Domains)]
		roster.Endpoints = append(roster.Endpoints, hbs.Endpoint{ID: id, Kind: hbs.KindEngine, Domain: domain, Region: "r", State: hbs.StateLive, Model: group.Model, Weights: "v1", Incarnation: "1", Slots: group.Shape.Slots})
		e := &modelEngine{shape: group.Shape, cache: engine.NewCache(group.Shape.CacheTokens, nil), slowFactor: m.slowFactor}
		if i < m.slowEngines {
			e.slowFrom, e.slowUntil = start.Add(15*time.Second), start.Add(25*time.Second)
		}
		engines[id] = e
		list = append(list, e)
	}
	routers := m.routers(tr, roster)
	oracle := engine.NewCache(group.Count*group.Shape.CacheTokens, nil)
	rnd := rand.New(rand.NewPCG(m.seed, 5))
	texts := &trace.Texts{}
	next := 0
	for tick := 0; next < len(tr.Requests) || time.Since(start).Seconds() < m.seconds+20; tick++ {
		now := time.Now()
		for next < len(tr.Requests) && now.Sub(start) >= tr.Requests[next].Arrival() {
			q := &tr.Requests[next]
			next++
			if q.Model != group.Model || q.At > m.seconds || m.sampleShare > 0 && rnd.Float64() > m.sampleShare {
				continue
			}
			j := newModelJob(q, texts, now)
			j.router = routers[rnd.IntN(len(routers))]
			j.router.queue = append(j.router.queue, j)
			r.prompt += j.req.PromptTokens
			r.oracle += j.req.PromptTokens - oracle.Hit(j.blocks, now)*engine.BlockTokens
			oracle.Add(j.blocks, now)
			r.n++
		}
		for _, e := range list {
			e.step(now, r)
		}
		for _, x := range routers {
			x.dispatch(engines, now, r)
		}
		if tick%250 == 0 && !m.noDigests {
			exchangeDigests(routers, tick%1000 == 0)
		}
		time.Sleep(modelTick)
	}
}

func (m model) routers(tr *trace.Trace, roster *hbs.Roster) (list []*modelRouter) {
	for i := range tr.Header.Fleet.Instances {
		roster.Instances = append(roster.Instances, hbs.Instance{ID: hbs.InstanceID(fmt.Sprintf("i%d", i)), Domain: tr.Header.Fleet.Domains[i%len(tr.Header.Fleet.Domains)], Region: "r", State: hbs.InstanceLive})
	}
	policy := m.knobs
	if policy == nil {
		policy = knob.NewFixed(placement.Knobs)
	}
	for i := range roster.Instances {
		d := &directory{roster: roster, changed: make(chan struct{})}
		x := &modelRouter{self: roster.Instances[i]}
		if m.policy == "placer" {
			f := &placement.Placer{Directory: d, Policy: policy, Self: x.self, Seed: m.seed, Scope: m.scope}
			x.placer, x.sections = f, f.Sections()
		} else {
			b, err := placement.NewBaseline(m.policy, &placement.Baseline{Directory: d, Policy: policy, Self: x.self, Seed: m.seed})
			if err != nil {
				panic(err)
			}
			x.placer = b
		}
		list = append(list, x)
	}
	return list
}

func newModelJob(q *trace.Request, texts *trace.Texts, now time.Time) *modelJob {
	var messages []prompt.Message
	for _, s := range texts.Messages(q) {
		messages = append(messages, prompt.Message{Role: s.Role, Text: s.Content})
	}
	text := engine.Text(func(yield func(role, content string) bool) {
		for _, s := range messages {
			if !yield(s.Role, s.Text) {
				return
			}
		}
	})
	salt := prompt.Salt{Workspace: q.Workspace, Model: q.Model, Weights: "v1"}
	levels := prompt.Cutter{}.Cut(salt, messages)
	req := &hbs.Request{ID: hbs.RequestID(q.ID), Workspace: q.Workspace, Model: q.Model, Weights: "v1", Levels: levels, PromptTokens: engine.Tokens(text), ExpectedTokens: q.Output, Arrived: now, Deadline: now.Add(trace.Seconds(q.DeadlineSeconds))}
	return &modelJob{req: req, blocks: engine.Blocks(salt.CacheSalt(), text), output: q.Output, short: q.Work == trace.WorkShort, arrived: now, prefillLeft: -1}
}

func (x *modelRouter) dispatch(engines map[hbs.EndpointID]*modelEngine, now time.Time, r *modelResult) {
	slices.SortStableFunc(x.queue, func(a, b *modelJob) int {
		if a.short != b.short {
			if a.short {
				return -1
			}
			return 1
		}
		return a.arrived.Compare(b.arrived)
	})
	waiting := x.queue[:0]
	for i, j := range x.queue {
		if now.After(j.req.Deadline) {
			r.expired++
			continue
		}
		p, err := x.placer.Place(j.req, nil)
		if err != nil {
			waiting = append(waiting, x.queue[i:]...)
			break
		}
		j.place, j.placed = p, now
		e := engines[p.Endpoint.ID]
		e.waiting = append(e.waiting, j)
	}
	x.queue = waiting
}

func exchangeDigests(routers []*modelRouter, acrossDomains bool) {
	for _, x := range routers {
		for i, s := range x.sections {
			data := s.Digest(800)
			if len(data) == 0 {
				continue
			}
			for _, y := range routers {
				if y == x || len(y.sections) == 0 || !acrossDomains && y.self.Domain != x.self.Domain {
					continue
				}
				if err := y.sections[i].Merge(x.self, data); err != nil {
					panic(err)
				}
			}
		}
	}
}

func loadTrace(name string) *trace.Trace {
	tr, err := trace.ReadFile("../traces/" + name + ".jsonl")
	Expect(err).NotTo(HaveOccurred())
	return tr
}

var _ = Describe("in the queueing model", func() {
	It("has a lower 95th percentile of the time to the first token than the baselines", func() {
		tr := loadTrace("tambuli")
		placer := model{policy: "placer", seed: 1, seconds: 20}.run(suiteT, tr)
		for _, name := range []string{"random", "round_robin", "least_loaded", "prefix_only"} {
			base := model{policy: name, seed: 1, seconds: 20}.run(suiteT, tr)
			GinkgoWriter.Println(name, base)
			Expect(placer.quantile(placer.ttft, .95)).To(BeNumerically("<", base.quantile(base.ttft, .95)), name)
		}
		GinkgoWriter.Println("placer", placer)
	})
})
