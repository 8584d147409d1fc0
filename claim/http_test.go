package claim_test

import (
	"context"
	"fmt"
	"io"
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
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/router"
	"github.com/hornbeamstage/hornbeamstage/settings"
	"github.com/hornbeamstage/hornbeamstage/standin/host"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/standin/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/service"
)

const (
	routerCount = 7
	// httpKeys is the number of keys per seed.
	httpKeys = 300
	apiKey   = "key-w"
)

// address returns the loopback address for the n-th host of a kind of process.
func address(net, n, port byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, net, n + 1}), 8000+uint16(port))
}

// cluster is a set of complete routers with a platform and two replicas of a
// service whose requests must not be repeated.
type cluster struct {
	Gomega
	ctx      context.Context
	fabric   *memnet.Fabric
	platform *platform.Platform
	services []*service.Service
	wg       conc.WaitGroup

	mu        sync.Mutex
	rng       *rand.Rand
	processes []*process
	// killed is set once a router was killed.
	killed bool
}

// process is one process of a router, from its start until it is killed.
type process struct {
	host   *host.Host
	cancel context.CancelFunc
}

func newCluster(g Gomega, ctx context.Context, seed uint64) *cluster {
	f := &memnet.Fabric{Delay: 500 * time.Microsecond}
	t := &cluster{Gomega: g, ctx: ctx, fabric: f, rng: rand.New(rand.NewPCG(seed, 9)), processes: make([]*process, routerCount)}
	t.platform = &platform.Platform{Address: address(1, 0, 0), Network: f.Network("platform"), Seed: seed}
	t.configure()
	t.run(t.platform.Run)
	for i := range 2 {
		s := &service.Service{
			ID: hbs.EndpointID(fmt.Sprintf("s%d", i)), Name: "orders", Address: address(2, byte(i), 0), Network: f.Network(domainOf(i)),
			Slots: 16, Capabilities: hbs.Capabilities{EchoesAttempt: true},
		}
		t.services = append(t.services, s)
		g.Expect(t.platform.Put(hbs.ObjectEndpoint, string(s.ID), s.Record(domainOf(i), "r"))).To(Succeed())
		t.run(s.Run)
	}
	for i := range routerCount {
		t.startRouter(i)
	}
	return t
}

func domainOf(i int) hbs.DomainName { return hbs.DomainName(fmt.Sprintf("d%d", i%4)) }

func (t *cluster) run(run func(context.Context) error) { t.wg.Go(func() { _ = run(t.ctx) }) }

func (t *cluster) configure() {
	c := &config.Config{
		Workspaces: []config.Workspace{{ID: "w", KeyHashes: []config.KeyHash{config.HashKey(apiKey)}, Weight: 1}},
		Services:   []config.Service{{Name: "orders", Routes: []config.Route{{Method: "*", Path: "/**", Class: hbs.ClassOnce}}}},
	}
	items, err := c.Items()
	t.Expect(err).NotTo(HaveOccurred())
	for _, o := range items {
		t.Expect(t.platform.Put(o.Kind, o.Name, o.Value)).To(Succeed())
	}
}

func (t *cluster) startRouter(i int) {
	s := settings.Defaults()
	s.Instance.ID = hbs.InstanceID(fmt.Sprintf("r%d", i))
	s.Instance.Domain = domainOf(i)
	s.Listen.Callers, s.Listen.Peers, s.Listen.Operators = address(3, byte(i), 0), address(3, byte(i), 1), address(3, byte(i), 2)
	s.Platform.Address = t.platform.Address
	for k := range routerCount {
		if k != i {
			s.Peers.Seeds = append(s.Peers.Seeds, address(3, byte(k), 1))
		}
	}
	ctx, cancel := context.WithCancel(t.ctx)
	p := &process{&host.Host{Network: t.fabric.Network(domainOf(i))}, cancel}
	t.processes[i] = p
	r := &router.Router{Settings: s, Network: p.host, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Seed: uint64(i + 1)}
	t.wg.Go(func() { _ = r.Run(ctx) })
}

// injectFaults causes a random fault every few seconds until ctx ends.
func (t *cluster) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(t.span(4 * time.Second))
		d := t.span(4 * time.Second)
		switch t.intN(7) {
		case 0:
			t.killRouter(t.intN(routerCount), d)
		case 1:
			t.platform.Outage(d)
		case 2:
			t.platform.Slow(t.span(600*time.Millisecond), d)
		case 3, 4:
			t.platform.LoseAnswers(0.4, d)
		case 5:
			t.services[t.intN(2)].AbortAfterRun(2)
		case 6:
			t.cutDomain(domainOf(t.intN(4)), d)
		}
	}
}

func (t *cluster) killRouter(i int, down time.Duration) {
	t.mu.Lock()
	p := t.processes[i]
	t.killed = true
	t.mu.Unlock()
	p.host.Kill()
	p.cancel()
	time.Sleep(down)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startRouter(i)
}

func (t *cluster) cutDomain(d hbs.DomainName, span time.Duration) {
	t.fabric.Partition(d, "platform")
	time.Sleep(span)
	t.fabric.Heal(d, "platform")
}

func (t *cluster) intN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(n)
}

func (t *cluster) span(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(1 + t.rng.Int64N(int64(d)))
}

// send sends one keyed request to router i and returns its outcome, which is
// unknown if the connection broke.
func (t *cluster) send(client *http.Client, i int, key string) hbs.Outcome {
	body := fmt.Sprintf(`{"id": %q, "work": 0.05}`, key)
	url := fmt.Sprintf("http://%s/services/orders/book", address(3, byte(i), 0))
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return hbs.OutcomeUnknown
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return hbs.OutcomeUnknown
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return hbs.OutcomeUnknown
	}
	if resp.StatusCode == http.StatusOK {
		return hbs.OutcomeAnswered
	}
	return hbs.Outcome(resp.Header.Get("X-Outcome"))
}

// sendCopies sends one to four copies of a keyed request to random routers and
// returns their outcomes.
func (t *cluster) sendCopies(key string) (outcomes []hbs.Outcome) {
	var wg conc.WaitGroup
	var mu sync.Mutex
	for range 1 + t.intN(4) {
		i, start := t.intN(routerCount), t.span(time.Millisecond)
		if t.intN(2) == 0 {
			start = t.span(8 * time.Second)
		}
		wg.Go(func() {
			time.Sleep(start)
			client := &http.Client{Transport: network.NewTransport(t.fabric.Network("callers")), Timeout: 20 * time.Second}
			defer client.CloseIdleConnections()
			o := t.send(client, i, key)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	wg.Wait()
	return outcomes
}

func (t *cluster) runs() map[string]int {
	n := map[string]int{}
	for _, s := range t.services {
		for _, r := range s.Runs() {
			n[r.CallID]++
		}
	}
	return n
}

// checkOutcomes returns what is wrong with the outcomes of one key, given how
// often its request ran, or an empty string.
func checkOutcomes(outcomes []hbs.Outcome, runs int) string {
	count := map[hbs.Outcome]int{}
	for _, o := range outcomes {
		count[o]++
	}
	switch {
	case runs > 1:
		return "ran twice"
	case count[hbs.OutcomeAnswered] > 0 && runs != 1:
		return "answered without a run"
	case count[hbs.OutcomeNotRun] == len(outcomes) && runs != 0:
		return "not_run, but it ran"
	}
	return ""
}

// runKeys sends all keys of one seed during faults and checks their outcomes.
func (t *cluster) runKeys() (figures string) {
	time.Sleep(5 * time.Second)
	ctx, stopFaults := context.WithCancel(t.ctx)
	var faults, callers conc.WaitGroup
	faults.Go(func() { t.injectFaults(ctx) })
	outcomes := make([][]hbs.Outcome, httpKeys)
	for k := range outcomes {
		callers.Go(func() {
			time.Sleep(time.Duration(k) * 200 * time.Millisecond)
			outcomes[k] = t.sendCopies(fmt.Sprintf("k%d", k))
		})
	}
	callers.Wait()
	stopFaults()
	faults.Wait()
	time.Sleep(time.Minute)
	runs := t.runs()
	total := map[hbs.Outcome]int{}
	for k := range outcomes {
		key := fmt.Sprintf("k%d", k)
		t.Expect(checkOutcomes(outcomes[k], runs[key])).To(BeEmpty(), "%s %v", key, outcomes[k])
		for _, o := range outcomes[k] {
			total[o]++
		}
	}
	return fmt.Sprintf("%d keys, %v, %d ran; %s", len(outcomes), total, len(runs), t.resendAll(runs))
}

// resendAll sends each key once more after all faults. A key whose request never
// ran must run now, unless a router was killed during the test.
func (t *cluster) resendAll(runs map[string]int) string {
	client := &http.Client{Transport: network.NewTransport(t.fabric.Network("callers")), Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	last := map[hbs.Outcome]int{}
	for k := range httpKeys {
		key := fmt.Sprintf("k%d", k)
		o := t.send(client, k%routerCount, key)
		last[o]++
		time.Sleep(100 * time.Millisecond)
		after := t.runs()[key]
		t.Expect(after).To(BeNumerically("<=", 1), key)
		if runs[key] == 0 && o != hbs.OutcomeAnswered {
			t.Expect(t.killed).To(BeTrue(), "%s can't be used again: %s", key, o)
		}
	}
	return fmt.Sprintf("sent again: %v", last)
}

// Checks rules C3 to C11 with complete routers, over HTTP.
var _ = DescribeTable("histories over HTTP satisfy the protocol", func(seed uint64) {
	var figures string
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(NewWithT(t), ctx, seed)
		figures = c.runKeys()
		cancel()
		c.wg.Wait()
	})
	AddReportEntry(figures)
},
	Entry("seed 1", uint64(1)),
	Entry("seed 2", uint64(2)),
)
