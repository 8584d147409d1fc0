package router_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/router"
	"github.com/hornbeamstage/hornbeamstage/settings"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/standin/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/service"
)

// The ports of a host.
const (
	portCallers = 80 + iota
	portPeers
	portOperators
)

// The hosts of the test fleet; instances are 1 to 3.
const (
	hostPlatform = 10 + iota
	hostEngine
	hostService
)

const (
	goodKey = "secret"
	domain  = hbs.DomainName("a")
	fleetUp = 5 * time.Second
	// adoption is the longest time for a change to be in force today.
	adoption = 3 * time.Second
	maxBytes = 4096
	bodyWait = time.Second
	// lateRouter is the instance that startLate starts.
	lateRouter = 2
)

func at(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, host}), port)
}

// fleet is two instances and a late one, an engine, a service and a platform in one bubble.
type fleet struct {
	// alter changes the settings of instances that start from now on; may be nil.
	alter func(s *settings.Settings)

	g        *WithT
	fabric   memnet.Fabric
	platform *platform.Platform
	engine   *engine.Engine
	service  *service.Service
	routers  [3]*router.Router
	// ended[i] gets the result of instance i.
	ended  [3]chan error
	client *http.Client
	wg     conc.WaitGroup
	// ctx ends the fleet.
	ctx context.Context
}

// inBubble runs f against a fresh fleet that is up.
func inBubble(f func(fl *fleet)) {
	synctest.Test(suite, func(t *testing.T) {
		fl := &fleet{g: NewWithT(t)}
		ctx, cancel := context.WithCancel(t.Context())
		fl.ctx = ctx
		defer fl.wg.Wait()
		defer cancel()
		fl.start(ctx)
		defer fl.client.CloseIdleConnections()
		time.Sleep(fleetUp)
		f(fl)
	})
}

func (f *fleet) start(ctx context.Context) {
	n := f.fabric.Network(domain)
	f.client = &http.Client{Transport: network.Transport(n)}
	f.platform = &platform.Platform{Address: at(hostPlatform, 80), Network: n}
	f.engine = &engine.Engine{
		ID: "e1", Address: at(hostEngine, 80), Network: n, Model: "m", Initial: "v1",
		Capabilities: hbs.Capabilities{LoadReports: true},
		Shape:        engine.Shape{Slots: 4, CacheTokens: 8192, PrefillRate: 10000, ChunkTokens: 256, StepBase: 0.02},
	}
	f.service = &service.Service{ID: "s1", Name: "orders", Address: at(hostService, 80), Network: n, Slots: 4}
	f.seed()
	f.wg.Go(func() { _ = f.platform.Run(ctx) })
	f.wg.Go(func() { _ = f.engine.Run(ctx) })
	f.wg.Go(func() { _ = f.service.Run(ctx) })
	for i := range lateRouter {
		f.startRouter(ctx, i)
	}
}

// startLate starts one more instance, which the fleet does not wait for.
func (f *fleet) startLate() (i int) {
	f.startRouter(f.ctx, lateRouter)
	time.Sleep(time.Millisecond)
	return lateRouter
}

func (f *fleet) seed() {
	c := &config.Config{
		Workspaces: []config.Workspace{{ID: "w", KeyHashes: []config.KeyHash{config.HashKey(goodKey)}, Weight: 1}},
		Models:     []config.Model{{Name: "m", Weights: "v1", LoadsAtOnce: 1}},
		Services:   []config.Service{{Name: "orders"}},
	}
	f.put(c)
	f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, "e1", f.engine.Record(domain, ""))).To(Succeed())
	f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, "s1", f.service.Record(domain, ""))).To(Succeed())
}

// put stores the items of c as an operator does.
func (f *fleet) put(c *config.Config) {
	items, err := c.Items()
	f.g.Expect(err).NotTo(HaveOccurred())
	for _, o := range items {
		f.g.Expect(f.platform.Put(o.Kind, o.Name, o.Value)).To(Succeed())
	}
}

// configure changes the items of c and waits until they are in force.
func (f *fleet) configure(c *config.Config) {
	f.put(c)
	time.Sleep(adoption)
}

func (f *fleet) startRouter(ctx context.Context, i int) {
	host := byte(i + 1)
	s := settings.Defaults()
	s.Instance.ID = hbs.InstanceID(fmt.Sprintf("i%d", i+1))
	s.Instance.Domain = domain
	s.Listen.Callers = at(host, portCallers)
	s.Listen.Peers = at(host, portPeers)
	s.Listen.Operators = at(host, portOperators)
	s.Listen.MaxBodyBytes = maxBytes
	s.Listen.BodyWait = settings.Duration(bodyWait)
	s.Platform.Address = at(hostPlatform, 80)
	s.Peers.Seeds = []netip.AddrPort{at(1, portPeers), at(2, portPeers)}
	if f.alter != nil {
		f.alter(&s)
	}
	f.routers[i] = &router.Router{
		Settings: s, Network: f.fabric.Network(domain), Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Seed: uint64(i + 1),
	}
	f.ended[i] = make(chan error, 1)
	f.wg.Go(func() { f.ended[i] <- f.routers[i].Run(ctx) })
}

// answer is a response read to its end.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call is a request to instance i.
type call struct {
	i                  int
	method, path, body string
	key, idempotency   string
	operators          bool
}

func (f *fleet) do(c call) answer {
	port := uint16(portCallers)
	if c.operators {
		port = portOperators
	}
	url := "http://" + at(byte(c.i+1), port).String() + c.path
	req, err := http.NewRequest(c.method, url, bytes.NewReader([]byte(c.body)))
	f.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.idempotency != "" {
		req.Header.Set("Idempotency-Key", c.idempotency)
	}
	res, err := f.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { f.g.Expect(res.Body.Close()).To(Succeed()) }()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, res.Header, string(body), err}
}

func chat(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model": "m", "stream": %t, "max_tokens": %d, "messages": [{"role": "user", "content": "hello [[id:x]]"}]}`, stream, tokens)
}

func order(work float64) string { return fmt.Sprintf(`{"id": "o1", "work": %g}`, work) }

func whole(body string) bool { return strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") }
