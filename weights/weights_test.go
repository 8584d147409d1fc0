package weights_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/drain"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/order"
	"github.com/hornbeamstage/hornbeamstage/permit"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
	"github.com/hornbeamstage/hornbeamstage/weights"
)

var suiteT *testing.T

func TestWeights(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "weights")
}

// size is one of the users' deployments.
type size struct {
	engines, domains, instances int
	loads                       int
	load                        time.Duration
	outShare                    float64
	// silent engines report no load.
	silent bool
}

// best is the time of the loads alone.
func (s size) best() time.Duration { return s.load * time.Duration((s.engines+s.loads-1)/s.loads) }

// out returns s with another share of drained engines.
func (s size) out(share float64) size {
	s.outShare = share
	return s
}

var (
	tambuli  = size{engines: 12, domains: 4, instances: 7, loads: 2, load: 2 * time.Second, outShare: 0.34}
	softwold = size{engines: 18, domains: 3, instances: 7, loads: 3, load: time.Second, outShare: 0.34}
)

// fleet is a deployment in a bubble: engines, instances that roll out, callers.
type fleet struct {
	Gomega
	ctx     context.Context
	size    size
	shared  *objects.Store
	fabric  *memnet.Fabric
	store   *engine.WeightStore
	engines []*engine.Engine
	clients []*objects.Client
	keepers []*lease.Keeper
	// rollouts[i] works under keepers[i].
	rollouts []*weights.Rollout
	// works[i] belongs to instance i.
	works []*drain.Work
	// ends[i] ends instance i without a stop.
	ends []context.CancelFunc
	wg   conc.WaitGroup

	mu sync.Mutex
	// outage refuses all calls to the platform.
	outage bool
	// unheard instances tell nothing and hear nothing.
	unheard           map[int]bool
	wanted            hbs.WeightsVersion
	adapters          []hbs.AdapterName
	standby           []hbs.EndpointID
	answered, refused int
	cut               int
	least             int
	// elsewhere counts engines that the roster leaves out.
	elsewhere int
}

// Roster implements hornbeamstage.Directory from the records in the platform.
func (f *fleet) Roster() *hbs.Roster {
	r := &hbs.Roster{Elsewhere: map[hbs.ModelName]int{"m": f.elsewhere}}
	for _, obj := range f.shared.Objects(hbs.ObjectEndpoint) {
		var e hbs.Endpoint
		_ = json.Unmarshal(obj.Value, &e)
		e.Revision = obj.Revision
		r.Endpoints = append(r.Endpoints, e)
	}
	for i := range f.size.instances {
		r.Instances = append(r.Instances, f.instance(i))
	}
	return r
}

// Changed implements hornbeamstage.Directory.
func (f *fleet) Changed() <-chan struct{} { return nil }

func (f *fleet) domain(i int) hbs.DomainName {
	return hbs.DomainName(fmt.Sprintf("d%d", i%f.size.domains))
}

func (f *fleet) instance(i int) hbs.Instance {
	return hbs.Instance{ID: hbs.InstanceID(fmt.Sprintf("r%d", i)), Domain: f.domain(i), State: hbs.InstanceLive}
}

func (f *fleet) plan(objects.Op, hbs.ObjectKind) objects.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := objects.Plan{Before: 2 * time.Millisecond, After: 2 * time.Millisecond}
	if f.outage {
		p.Fault = objects.FaultRefused
	}
	return p
}

func (f *fleet) setOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// inFleet runs test in a bubble, after the leases were taken.
func inFleet(s size, test func(f *fleet)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{
			Gomega: NewWithT(t), ctx: ctx, size: s, shared: &objects.Store{}, fabric: &memnet.Fabric{Delay: 500 * time.Microsecond},
			store: &engine.WeightStore{LoadTime: s.load, Free: s.loads}, wanted: "v1", least: s.engines,
		}
		for i := range s.engines {
			f.addEngine(i)
		}
		for i := range s.instances {
			f.addInstance(i)
		}
		f.wg.Go(f.exchange)
		time.Sleep(10 * time.Second)
		test(f)
		cancel()
		f.wg.Wait()
	})
}

func (f *fleet) addEngine(i int) {
	e := &engine.Engine{
		ID: hbs.EndpointID(fmt.Sprintf("e%02d", i)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80),
		Network: f.fabric.Network(f.domain(i)), Model: "m", Initial: "v1", Weights: f.store,
		Capabilities: hbs.Capabilities{ChecksFence: true, LoadReports: !f.size.silent, EchoesAttempt: true},
		Shape:        engine.Shape{Slots: 8, CacheTokens: 100000, PrefillRate: 8000, ChunkTokens: 512, StepBase: 0.02, StepPerStream: 0.001},
	}
	f.engines = append(f.engines, e)
	value, err := json.Marshal(e.Record(f.domain(i), "r"))
	f.Expect(err).NotTo(HaveOccurred())
	_, err = (&objects.Client{Store: f.shared}).Create(f.ctx, hbs.Object{Kind: hbs.ObjectEndpoint, Name: string(e.ID), Value: value})
	f.Expect(err).NotTo(HaveOccurred())
	f.wg.Go(func() { _ = e.Run(f.ctx) })
}

func (f *fleet) addInstance(i int) {
	client := &objects.Client{Store: f.shared, Plan: f.plan}
	f.clients = append(f.clients, client)
	self := f.instance(i)
	policy := knob.NewFixed(lease.Knobs, order.Knobs, permit.Knobs, weights.Knobs).With(weights.KnobOutShare, f.size.outShare).
		With(weights.KnobUnheardWait, unheardWait.Seconds())
	reg, n := metrics.NewRegistry(), f.fabric.Network(self.Domain)
	k := &lease.Keeper{Platform: client, Self: self, Directory: f, Policy: policy, Metrics: reg}
	f.keepers = append(f.keepers, k)
	f.works = append(f.works, &drain.Work{Self: self.ID, Directory: f})
	r := &weights.Rollout{
		Self: self, Work: f.works[i], Lease: k, Orders: &order.Giver{Lease: k, Network: n, Policy: policy, Metrics: reg}, Directory: f,
		Drainer: &weights.Records{Platform: client, CallTimeout: time.Second}, Network: n, Platform: client, Policy: policy, Metrics: reg,
		Wanted: f.want, LoadsAtOnce: func() int { return f.size.loads },
	}
	ctx, end := context.WithCancel(f.ctx)
	f.rollouts, f.ends = append(f.rollouts, r), append(f.ends, end)
	f.wg.Go(func() { _ = k.Run(ctx) })
	f.wg.Go(func() { _ = r.Run(ctx) })
}

func (f *fleet) want() []weights.Wanted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []weights.Wanted{{Model: "m", Weights: f.wanted, Adapters: f.adapters, Standby: f.standby}}
}

func (f *fleet) order(v hbs.WeightsVersion, adapters ...hbs.AdapterName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted, f.adapters = v, adapters
}

// rollOut asks for v2 and returns the time until all engines serve it.
func (f *fleet) rollOut(limit time.Duration) time.Duration {
	begun := time.Now()
	f.order("v2")
	for time.Since(begun) < limit {
		live, done := f.count()
		f.mu.Lock()
		f.least = min(f.least, live)
		f.mu.Unlock()
		if done == f.size.engines {
			return time.Since(begun)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit
}

// count returns the engines that take work and those of them with v2.
func (f *fleet) count() (live, done int) {
	for _, e := range f.Roster().Endpoints {
		if e.State != hbs.StateLive {
			continue
		}
		live++
		if e.Weights == "v2" {
			done++
		}
	}
	return live, done
}

// callers send streams until stop is called.
func (f *fleet) callers(n int) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg conc.WaitGroup
	for i := range n {
		wg.Go(func() { f.caller(ctx, rand.New(rand.NewPCG(uint64(i), 7))) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (f *fleet) caller(ctx context.Context, rng *rand.Rand) {
	transport := network.Transport(f.fabric.Network("d0"))
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		roster := f.Roster()
		e := roster.Endpoints[rng.IntN(len(roster.Endpoints))]
		if e.State != hbs.StateLive {
			time.Sleep(time.Millisecond)
			continue
		}
		f.send(transport, &e, fmt.Sprintf("a%d-%d", rng.Int64(), n), 20)
		time.Sleep(time.Duration(rng.Int64N(int64(50 * time.Millisecond))))
	}
}

func (f *fleet) send(t http.RoundTripper, e *hbs.Endpoint, attempt string, tokens int) {
	body := strings.NewReader(fmt.Sprintf(`{"model": "m", "stream": false, "max_tokens": %d, "messages": [{"role": "user", "content": "hello"}]}`, tokens))
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Address.String()+"/v1/chat/completions", body)
	if err != nil {
		return
	}
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Weights-Version", string(e.Weights))
	resp, err := t.RoundTrip(req)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.cut++
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		f.answered++
		return
	}
	f.refused++
}

// killHolders cuts n holders of leases from the platform for good. Each of the
// first three domains has another instance.
func (f *fleet) killHolders(n int) {
	for i, k := range f.keepers {
		if _, ok := k.Fence(); ok && n > 0 && f.domain(i) != "d3" {
			f.clients[i].Kill()
			n--
		}
	}
}

// cutRuns counts the runs that an engine did not complete.
func (f *fleet) cutRuns() (n int) {
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			if r.End == engine.EndCrashed {
				n++
			}
		}
	}
	return n
}

// stale counts the orders taken under an old fencing number.
func (f *fleet) stale() (n int) {
	for _, e := range f.engines {
		for _, o := range e.Orders() {
			if o.Stale {
				n++
			}
		}
	}
	return n
}

var _ = Describe("Rollout", func() {
	DescribeTable("replaces the weights under load without cutting a stream (R2 to R5)", func(s size, factor int) {
		var figures string
		inFleet(s, func(f *fleet) {
			stop := f.callers(s.engines)
			took := f.rollOut(10 * time.Minute)
			stop()
			figures = fmt.Sprintf("took %v, loads alone %v; at least %d of %d engines live; %d loads at once; %d answered, %d refused as not run, %d cut",
				took.Round(100*time.Millisecond), s.best(), f.least, s.engines, f.store.MostAtOnce(), f.answered, f.refused, f.cutRuns())
			f.Expect(took).To(BeNumerically("<", time.Duration(factor)*s.best()))
			f.Expect(f.store.MostAtOnce()).To(BeNumerically("<=", s.loads))
			f.Expect(f.cutRuns() + f.cut).To(BeZero())
			f.Expect(f.least).To(BeNumerically(">=", s.engines-int(float64(s.engines)*s.outShare)))
		})
		AddReportEntry(figures)
	},
		Entry("Tambuli, a sixth out", tambuli.out(0.17), 4),
		Entry("Tambuli, a third out", tambuli, 3),
		Entry("Tambuli, half out", tambuli.out(0.5), 3),
		Entry("Tambuli, two thirds out", tambuli.out(0.67), 3),
		Entry("Softwold, a sixth out", softwold.out(0.17), 7),
		Entry("Softwold, a third out", softwold, 4),
		Entry("Softwold, half out", softwold.out(0.5), 4),
		Entry("Softwold, two thirds out", softwold.out(0.67), 4),
	)

	It("goes on when instances die half-way (R1, R6, P3)", func() {
		var figures string
		inFleet(tambuli, func(f *fleet) {
			stop := f.callers(12)
			f.wg.Go(func() {
				time.Sleep(4 * time.Second)
				f.killHolders(3)
			})
			took := f.rollOut(10 * time.Minute)
			stop()
			figures = fmt.Sprintf("took %v with 3 of 4 holders dead after 4 s; %d loads at once; %d cut", took, f.store.MostAtOnce(), f.cutRuns())
			f.Expect(took).To(BeNumerically("<", 5*time.Minute))
			f.Expect(f.store.MostAtOnce()).To(BeNumerically("<=", 2))
			f.Expect(f.cutRuns() + f.cut).To(BeZero())
			f.Expect(f.stale()).To(BeZero())
		})
		AddReportEntry(figures)
	})

	It("starts no load without a permit and goes on after the platform's outage (R3, P2)", func() {
		var figures string
		inFleet(tambuli, func(f *fleet) {
			stop := f.callers(12)
			f.wg.Go(func() {
				time.Sleep(7 * time.Second)
				f.setOutage(true)
				time.Sleep(time.Minute)
				f.setOutage(false)
			})
			took := f.rollOut(10 * time.Minute)
			stop()
			figures = fmt.Sprintf("took %v with the platform out for 1 min; %d loads at once; %d cut", took, f.store.MostAtOnce(), f.cutRuns())
			f.Expect(took).To(BeNumerically(">", time.Minute))
			f.Expect(took).To(BeNumerically("<", 5*time.Minute))
			f.Expect(f.store.MostAtOnce()).To(BeNumerically("<=", 2))
			f.Expect(f.cutRuns() + f.cut).To(BeZero())
		})
		AddReportEntry(figures)
	})

	It("repairs an engine that crashed and came back with old weights (R1)", func() {
		inFleet(tambuli, func(f *fleet) {
			f.rollOut(10 * time.Minute)
			f.engines[3].Crash(time.Second)
			time.Sleep(time.Minute)
			s := &order.Giver{Network: f.fabric.Network("d0"), Policy: knob.NewFixed(order.Knobs), Metrics: metrics.NewRegistry()}
			record := f.engines[3].Record("d3", "r")
			state, err := s.State(f.ctx, &record)
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(state.Weights).To(Equal(hbs.WeightsVersion("v2")))
		})
	})

	It("loads adapters and tells everyone (R3)", func() {
		inFleet(tambuli, func(f *fleet) {
			f.order("v1", "cowls")
			time.Sleep(time.Minute)
			for _, e := range f.Roster().Endpoints {
				f.Expect(e.Adapters).To(ContainElement(hbs.AdapterName("cowls")))
				f.Expect(e.State).To(Equal(hbs.StateLive))
			}
		})
	})
})

var _ = Describe("Serving", func() {
	It("spreads requests over the versions by their slots", func() {
		engineOf := func(v hbs.WeightsVersion, state hbs.EndpointState, slots int) hbs.Endpoint {
			return hbs.Endpoint{Kind: hbs.KindEngine, Model: "m", Weights: v, State: state, Slots: slots}
		}
		r := &hbs.Roster{Endpoints: []hbs.Endpoint{
			engineOf("v1", hbs.StateLive, 3), engineOf("v2", hbs.StateLive, 1), engineOf("v2", hbs.StateDraining, 9),
		}}
		count := map[hbs.WeightsVersion]int{}
		for draw := range uint64(400) {
			count[weights.Serving(r, "m", "v2", draw)]++
		}
		Expect(count).To(Equal(map[hbs.WeightsVersion]int{"v1": 300, "v2": 100}))
		Expect(weights.Serving(&hbs.Roster{}, "m", "v2", 1)).To(Equal(hbs.WeightsVersion("v2")))
	})
})
