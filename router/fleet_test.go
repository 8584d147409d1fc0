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

// Ports of an instance.
const (
	portCallers = 80 + iota
	portPeers
	portOperators
)

// Last octets of the addresses of the test fleet. Instances have 1 to 3.
const (
	hostPlatform = 10 + iota
	hostEngine
	hostService
)

const (
	goodKey     = "secret"
	domain      = hbs.DomainName("a")
	startupTime = 5 * time.Second
	// configPropagation bounds the time until a configuration change takes effect.
	configPropagation = 3 * time.Second
	maxBytes          = 4096
	bodyWait          = time.Second
	// lateRouter is the instance that startLate starts.
	lateRouter = 2
)

// addr returns the address of a port on 127.0.0.host.
func addr(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, host}), port)
}

// fleet is a test deployment in one synctest bubble: two instances, a third that
// startLate starts, an engine, a service and a platform.
type fleet struct {
	// editSettings changes the settings of instances before they start; may be nil.
	editSettings func(s *settings.Settings)

	g        *WithT
	fabric   memnet.Fabric
	platform *platform.Platform
	engine   *engine.Engine
	service  *service.Service
	routers  [3]*router.Router
	// runErrs[i] receives the result of Run of instance i.
	runErrs [3]chan error
	client  *http.Client
	wg      conc.WaitGroup
	// ctx is canceled at the end of the test.
	ctx context.Context
}

// withFleet runs f against a new fleet after its startup time.
func withFleet(f func(fl *fleet)) {
	synctest.Test(suite, func(t *testing.T) {
		fl := &fleet{g: NewWithT(t)}
		ctx, cancel := context.WithCancel(t.Context())
		fl.ctx = ctx
		defer fl.wg.Wait()
		defer cancel()
		fl.start(ctx)
		defer fl.client.CloseIdleConnections()
		time.Sleep(startupTime)
		f(fl)
	})
}

func (f *fleet) start(ctx context.Context) {
	n := f.fabric.Network(domain)
	f.client = &http.Client{Transport: network.NewTransport(n)}
	f.platform = &platform.Platform{Address: addr(hostPlatform, 80), Network: n}
	f.engine = &engine.Engine{
		ID: "e1", Address: addr(hostEngine, 80), Network: n, Model: "m", Initial: "v1",
		Capabilities: hbs.Capabilities{LoadReports: true},
		Shape:        engine.Shape{Slots: 4, CacheTokens: 8192, PrefillRate: 10000, ChunkTokens: 256, StepBase: 0.02},
	}
	f.service = &service.Service{ID: "s1", Name: "orders", Address: addr(hostService, 80), Network: n, Slots: 4}
	f.seedPlatform()
	f.wg.Go(func() { _ = f.platform.Run(ctx) })
	f.wg.Go(func() { _ = f.engine.Run(ctx) })
	f.wg.Go(func() { _ = f.service.Run(ctx) })
	for i := range lateRouter {
		f.startRouter(ctx, i)
	}
}

// startLate starts the third instance and returns its index at once, without waiting
// for the startup time.
func (f *fleet) startLate() (i int) {
	f.startRouter(f.ctx, lateRouter)
	time.Sleep(time.Millisecond)
	return lateRouter
}

func (f *fleet) seedPlatform() {
	c := &config.Config{
		Workspaces: []config.Workspace{{ID: "w", KeyHashes: []config.KeyHash{config.HashKey(goodKey)}, Weight: 1}},
		Models:     []config.Model{{Name: "m", Weights: "v1", MaxConcurrentLoads: 1}},
		Services:   []config.Service{{Name: "orders"}},
	}
	f.put(c)
	f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, "e1", f.engine.Record(domain, ""))).To(Succeed())
	f.g.Expect(f.platform.Put(hbs.ObjectEndpoint, "s1", f.service.Record(domain, ""))).To(Succeed())
}

// put stores the items of c on the platform, as an operator does.
func (f *fleet) put(c *config.Config) {
	items, err := c.Items()
	f.g.Expect(err).NotTo(HaveOccurred())
	for _, o := range items {
		f.g.Expect(f.platform.Put(o.Kind, o.Name, o.Value)).To(Succeed())
	}
}

// configure stores the items of c and waits until they have taken effect.
func (f *fleet) configure(c *config.Config) {
	f.put(c)
	time.Sleep(configPropagation)
}

func (f *fleet) startRouter(ctx context.Context, i int) {
	host := byte(i + 1)
	s := settings.Defaults()
	s.Instance.ID = hbs.InstanceID(fmt.Sprintf("i%d", i+1))
	s.Instance.Domain = domain
	s.Listen.Callers = addr(host, portCallers)
	s.Listen.Peers = addr(host, portPeers)
	s.Listen.Operators = addr(host, portOperators)
	s.Listen.MaxBodyBytes = maxBytes
	s.Listen.BodyWait = settings.Duration(bodyWait)
	s.Platform.Address = addr(hostPlatform, 80)
	s.Peers.Seeds = []netip.AddrPort{addr(1, portPeers), addr(2, portPeers)}
	if f.editSettings != nil {
		f.editSettings(&s)
	}
	f.routers[i] = &router.Router{
		Settings: s, Network: f.fabric.Network(domain), Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Seed: uint64(i + 1),
	}
	f.runErrs[i] = make(chan error, 1)
	f.wg.Go(func() { f.runErrs[i] <- f.routers[i].Run(ctx) })
}

// response is a response whose body has been read completely.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// request is a request to the callers' listener of an instance, or to the operators'
// one if operators is set.
type request struct {
	instance            int
	method, path, body  string
	key, idempotencyKey string
	operators           bool
}

func (f *fleet) do(c request) response {
	port := uint16(portCallers)
	if c.operators {
		port = portOperators
	}
	url := "http://" + addr(byte(c.instance+1), port).String() + c.path
	req, err := http.NewRequest(c.method, url, bytes.NewReader([]byte(c.body)))
	f.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	res, err := f.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { f.g.Expect(res.Body.Close()).To(Succeed()) }()
	body, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header, string(body), err}
}

// chatBody returns a chat completion request that generates the given number of tokens.
func chatBody(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model": "m", "stream": %t, "max_tokens": %d, "messages": [{"role": "user", "content": "hello [[id:x]]"}]}`, stream, tokens)
}

// orderBody returns a request to the order service; work is in seconds.
func orderBody(work float64) string { return fmt.Sprintf(`{"id": "o1", "work": %g}`, work) }

// isComplete reports whether body ends with the final event of a stream.
func isComplete(body string) bool { return strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") }
