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

// fleetConfig describes a deployment. tambuli and softwold are those of two users.
type fleetConfig struct {
	engines, domains, instances int
	maxLoads                    int
	loadTime                    time.Duration
	outShare                    float64
	// noLoadReports makes engines that report no load.
	noLoadReports bool
}

// minTime is the time that the loads alone take.
func (c fleetConfig) minTime() time.Duration {
	return c.loadTime * time.Duration((c.engines+c.maxLoads-1)/c.maxLoads)
}

// withOutShare returns c with another share of engines that may be drained.
func (c fleetConfig) withOutShare(share float64) fleetConfig {
	c.outShare = share
	return c
}

var (
	tambuli  = fleetConfig{engines: 12, domains: 4, instances: 7, maxLoads: 2, loadTime: 2 * time.Second, outShare: 0.34}
	softwold = fleetConfig{engines: 18, domains: 3, instances: 7, maxLoads: 3, loadTime: time.Second, outShare: 0.34}
)

// fleet is a deployment in a synctest bubble, with its engines, the instances that
// run rollouts, and callers.
type fleet struct {
	Gomega
	ctx         context.Context
	cfg         fleetConfig
	platform    *objects.Store
	fabric      *memnet.Fabric
	weightStore *engine.WeightStore
	engines     []*engine.Engine
	clients     []*objects.Client
	holders     []*lease.Holder
	// rollouts[i] runs while holders[i] holds its lease.
	rollouts []*weights.Rollout
	// drainTrackers[i] belongs to instance i.
	drainTrackers []*drain.Tracker
	// cancels[i] ends instance i as a crash does, without a stop.
	cancels []context.CancelFunc
	wg      conc.WaitGroup

	mu sync.Mutex
	// platformDown makes the platform refuse all calls.
	platformDown bool
	// partitioned instances send and receive no digests.
	partitioned       map[int]bool
	wanted            hbs.WeightsVersion
	adapters          []hbs.AdapterName
	standby           []hbs.EndpointID
	answered, refused int
	sendErrors        int
	minLive           int
	// unlisted is the number of engines that the roster does not list.
	unlisted int
}

// Roster implements hornbeamstage.Directory from the records in the platform.
func (f *fleet) Roster() *hbs.Roster {
	r := &hbs.Roster{UnlistedEngines: map[hbs.ModelName]int{"m": f.unlisted}}
	for _, obj := range f.platform.Objects(hbs.ObjectEndpoint) {
		var e hbs.Endpoint
		_ = json.Unmarshal(obj.Value, &e)
		e.Revision = obj.Revision
		r.Endpoints = append(r.Endpoints, e)
	}
	for i := range f.cfg.instances {
		r.Instances = append(r.Instances, f.instance(i))
	}
	return r
}

// Changed implements hornbeamstage.Directory.
func (f *fleet) Changed() <-chan struct{} { return nil }

func (f *fleet) domain(i int) hbs.DomainName {
	return hbs.DomainName(fmt.Sprintf("d%d", i%f.cfg.domains))
}

func (f *fleet) instance(i int) hbs.Instance {
	return hbs.Instance{ID: hbs.InstanceID(fmt.Sprintf("r%d", i)), Domain: f.domain(i), State: hbs.InstanceLive}
}

// plan returns the delay and the fault of one call to the platform.
func (f *fleet) plan(objects.Op, hbs.ObjectKind) objects.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := objects.Plan{Before: 2 * time.Millisecond, After: 2 * time.Millisecond}
	if f.platformDown {
		p.Fault = objects.FaultRefused
	}
	return p
}

func (f *fleet) setPlatformDown(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platformDown = on
}

// inFleet runs test on a new fleet in a synctest bubble, after the leases were
// acquired.
func inFleet(cfg fleetConfig, test func(f *fleet)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{
			Gomega: NewWithT(t), ctx: ctx, cfg: cfg, platform: &objects.Store{}, fabric: &memnet.Fabric{Delay: 500 * time.Microsecond},
			weightStore: &engine.WeightStore{LoadTime: cfg.loadTime, MaxFullSpeedLoads: cfg.maxLoads}, wanted: "v1", minLive: cfg.engines,
		}
		for i := range cfg.engines {
			f.addEngine(i)
		}
		for i := range cfg.instances {
			f.addInstance(i)
		}
		f.wg.Go(f.exchangeDigests)
		time.Sleep(10 * time.Second)
		test(f)
		cancel()
		f.wg.Wait()
	})
}

func (f *fleet) addEngine(i int) {
	e := &engine.Engine{
		ID: hbs.EndpointID(fmt.Sprintf("e%02d", i)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80),
		Network: f.fabric.Network(f.domain(i)), Model: "m", Initial: "v1", Weights: f.weightStore,
		Capabilities: hbs.Capabilities{ChecksFence: true, LoadReports: !f.cfg.noLoadReports, EchoesAttempt: true},
		Shape:        engine.Shape{Slots: 8, CacheTokens: 100000, PrefillRate: 8000, ChunkTokens: 512, StepBase: 0.02, StepPerStream: 0.001},
	}
	f.engines = append(f.engines, e)
	value, err := json.Marshal(e.Record(f.domain(i), "r"))
	f.Expect(err).NotTo(HaveOccurred())
	_, err = (&objects.Client{Store: f.platform}).Create(f.ctx, hbs.Object{Kind: hbs.ObjectEndpoint, Name: string(e.ID), Value: value})
	f.Expect(err).NotTo(HaveOccurred())
	f.wg.Go(func() { _ = e.Run(f.ctx) })
}

func (f *fleet) addInstance(i int) {
	client := &objects.Client{Store: f.platform, Plan: f.plan}
	f.clients = append(f.clients, client)
	self := f.instance(i)
	policy := knob.NewFixed(lease.Knobs, order.Knobs, permit.Knobs, weights.Knobs).With(weights.KnobDrainShare, f.cfg.outShare).
		With(weights.KnobUnreportedWait, reportWait.Seconds())
	reg, n := metrics.NewRegistry(), f.fabric.Network(self.Domain)
	h := &lease.Holder{Platform: client, Self: self, Directory: f, Policy: policy, Metrics: reg}
	f.holders = append(f.holders, h)
	f.drainTrackers = append(f.drainTrackers, &drain.Tracker{Self: self.ID, Directory: f})
	r := &weights.Rollout{
		Self: self, Tracker: f.drainTrackers[i], Lease: h, Orders: &order.Sender{Lease: h, Network: n, Policy: policy, Metrics: reg}, Directory: f,
		Drainer: &weights.RecordDrainer{Platform: client, CallTimeout: time.Second}, Network: n, Platform: client, Policy: policy, Metrics: reg,
		Desired: f.desiredStates, MaxConcurrentLoads: func() int { return f.cfg.maxLoads },
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.rollouts, f.cancels = append(f.rollouts, r), append(f.cancels, cancel)
	f.wg.Go(func() { _ = h.Run(ctx) })
	f.wg.Go(func() { _ = r.Run(ctx) })
}

func (f *fleet) desiredStates() []weights.Desired {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []weights.Desired{{Model: "m", Weights: f.wanted, Adapters: f.adapters, Standby: f.standby}}
}

func (f *fleet) setDesired(v hbs.WeightsVersion, adapters ...hbs.AdapterName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted, f.adapters = v, adapters
}

// rollOut sets v2 as the desired weights and returns the time until all engines
// serve them, at most limit.
func (f *fleet) rollOut(limit time.Duration) time.Duration {
	start := time.Now()
	f.setDesired("v2")
	for time.Since(start) < limit {
		live, done := f.countLive()
		f.mu.Lock()
		f.minLive = min(f.minLive, live)
		f.mu.Unlock()
		if done == f.cfg.engines {
			return time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit
}

// countLive returns the number of live engines and how many of them have v2.
func (f *fleet) countLive() (live, done int) {
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

// startCallers starts n callers, which send requests until stop is called.
func (f *fleet) startCallers(n int) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg conc.WaitGroup
	for i := range n {
		wg.Go(func() { f.runCaller(ctx, rand.New(rand.NewPCG(uint64(i), 7))) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (f *fleet) runCaller(ctx context.Context, rng *rand.Rand) {
	transport := network.NewTransport(f.fabric.Network("d0"))
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
		f.sendErrors++
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		f.answered++
		return
	}
	f.refused++
}

// killHolders permanently cuts n lease holders off from the platform. The holder of
// d3 is spared, since only the first three domains have a second instance that can
// take over the lease.
func (f *fleet) killHolders(n int) {
	for i, h := range f.holders {
		if _, ok := h.Fence(); ok && n > 0 && f.domain(i) != "d3" {
			f.clients[i].Kill()
			n--
		}
	}
}

// crashedRuns counts the runs that engines did not complete.
func (f *fleet) crashedRuns() (n int) {
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			if r.End == engine.EndCrashed {
				n++
			}
		}
	}
	return n
}

// staleOrders counts the orders that engines received under an outdated fencing
// number.
func (f *fleet) staleOrders() (n int) {
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
	DescribeTable("replaces the weights under load without cutting a stream (R2 to R5)", func(cfg fleetConfig, factor int) {
		var figures string
		inFleet(cfg, func(f *fleet) {
			stop := f.startCallers(cfg.engines)
			took := f.rollOut(10 * time.Minute)
			stop()
			figures = fmt.Sprintf("took %v, loads alone %v; at least %d of %d engines live; at most %d concurrent loads; %d answered, %d refused before they ran, %d cut",
				took.Round(100*time.Millisecond), cfg.minTime(), f.minLive, cfg.engines, f.weightStore.PeakLoads(), f.answered, f.refused, f.crashedRuns())
			f.Expect(took).To(BeNumerically("<", time.Duration(factor)*cfg.minTime()))
			f.Expect(f.weightStore.PeakLoads()).To(BeNumerically("<=", cfg.maxLoads))
			f.Expect(f.crashedRuns() + f.sendErrors).To(BeZero())
			f.Expect(f.minLive).To(BeNumerically(">=", cfg.engines-int(float64(cfg.engines)*cfg.outShare)))
		})
		AddReportEntry(figures)
	},
		Entry("Tambuli, a sixth drained", tambuli.withOutShare(0.17), 4),
		Entry("Tambuli, a third drained", tambuli, 3),
		Entry("Tambuli, half drained", tambuli.withOutShare(0.5), 3),
		Entry("Tambuli, two thirds drained", tambuli.withOutShare(0.67), 3),
		Entry("Softwold, a sixth drained", softwold.withOutShare(0.17), 7),
		Entry("Softwold, a third drained", softwold, 4),
		Entry("Softwold, half drained", softwold.withOutShare(0.5), 4),
		Entry("Softwold, two thirds drained", softwold.withOutShare(0.67), 4),
	)

	It("continues after lease holders die halfway (R1, R6, P3)", func() {
		var figures string
		inFleet(tambuli, func(f *fleet) {
			stop := f.startCallers(12)
			f.wg.Go(func() {
				time.Sleep(4 * time.Second)
				f.killHolders(3)
			})
			took := f.rollOut(10 * time.Minute)
			stop()
			figures = fmt.Sprintf("took %v with 3 of 4 holders dead after 4 s; at most %d concurrent loads; %d cut", took, f.weightStore.PeakLoads(), f.crashedRuns())
			f.Expect(took).To(BeNumerically("<", 5*time.Minute))
			f.Expect(f.weightStore.PeakLoads()).To(BeNumerically("<=", 2))
			f.Expect(f.crashedRuns() + f.sendErrors).To(BeZero())
			f.Expect(f.staleOrders()).To(BeZero())
		})
		AddReportEntry(figures)
	})

	It("starts no load without a permit and continues after an outage of the platform (R3, P2)", func() {
		var figures string
		inFleet(tambuli, func(f *fleet) {
			stop := f.startCallers(12)
			f.wg.Go(func() {
				time.Sleep(7 * time.Second)
				f.setPlatformDown(true)
				time.Sleep(time.Minute)
				f.setPlatformDown(false)
			})
			took := f.rollOut(10 * time.Minute)
			stop()
			figures = fmt.Sprintf("took %v with the platform down for 1 min; at most %d concurrent loads; %d cut", took, f.weightStore.PeakLoads(), f.crashedRuns())
			f.Expect(took).To(BeNumerically(">", time.Minute))
			f.Expect(took).To(BeNumerically("<", 5*time.Minute))
			f.Expect(f.weightStore.PeakLoads()).To(BeNumerically("<=", 2))
			f.Expect(f.crashedRuns() + f.sendErrors).To(BeZero())
		})
		AddReportEntry(figures)
	})

	It("reloads an engine that restarted with old weights after a crash (R1)", func() {
		inFleet(tambuli, func(f *fleet) {
			f.rollOut(10 * time.Minute)
			f.engines[3].Crash(time.Second)
			time.Sleep(time.Minute)
			s := &order.Sender{Network: f.fabric.Network("d0"), Policy: knob.NewFixed(order.Knobs), Metrics: metrics.NewRegistry()}
			record := f.engines[3].Record("d3", "r")
			state, err := s.State(f.ctx, &record)
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(state.Weights).To(Equal(hbs.WeightsVersion("v2")))
		})
	})

	It("counts a step at an engine whose state can't be read", func() {
		inFleet(tambuli, func(f *fleet) {
			f.engines[3].Crash(time.Minute)
			time.Sleep(time.Minute)
			failed := int64(0)
			for _, r := range f.rollouts {
				failed += metrics.GetOrRegisterCounter("rollout_step_failed", r.Metrics).Count()
			}
			f.Expect(failed).To(BeNumerically(">", 0))
		})
	})

	It("loads adapters and publishes them in the records (R3)", func() {
		inFleet(tambuli, func(f *fleet) {
			f.setDesired("v1", "cowls")
			time.Sleep(time.Minute)
			for _, e := range f.Roster().Endpoints {
				f.Expect(e.Adapters).To(ContainElement(hbs.AdapterName("cowls")))
				f.Expect(e.State).To(Equal(hbs.StateLive))
			}
		})
	})
})

var _ = Describe("Serving", func() {
	It("distributes requests over the versions in proportion to their slots", func() {
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
