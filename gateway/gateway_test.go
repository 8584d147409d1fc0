package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
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
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/catalog"
	"github.com/hornbeamstage/hornbeamstage/gateway"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	store "github.com/hornbeamstage/hornbeamstage/standin/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

var suite *testing.T

func TestGateway(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

const (
	domain  = hbs.DomainName("d")
	goodKey = "secret"
	// settled is the time until a fleet has read everything.
	settled = 500 * time.Millisecond
	revoke  = 5 * time.Second
	grace   = 8 * time.Second
	// converge is the time that engines have to change their weights.
	converge = 15 * time.Second
	// takeover is the longest time until orders of a new holder come after the old
	// one died.
	takeover = 8 * time.Second
)

// The hosts of a fleet; instances are 1 and 2.
const (
	hostStore = 10
	hostPool  = 20
)

// The ports of an instance.
const (
	portCallers = 80
	portReady   = 81
)

func at(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host)}), uint16(port))
}

// fleet is two instances before a store and some endpoints in one bubble.
type fleet struct {
	*WithT
	fabric   memnet.Fabric
	store    *store.Platform
	engines  []*pool.Endpoint
	services []*pool.Endpoint
	// stopped has the function that ends each endpoint.
	stopped   map[*pool.Endpoint]context.CancelFunc
	instances [2]*gateway.Gateway
	// ended[i] gets the result of instance i, kill[i] ends it at once.
	ended [2]chan error
	kill  [2]context.CancelFunc
	logs  *observer.ObservedLogs
	log   *zap.Logger
	// asleep is for how long the machines were suspended.
	mu     sync.Mutex
	asleep time.Duration
	client *http.Client
	ctx    context.Context
	wg     conc.WaitGroup
}

// in runs f against a fresh fleet that is up.
func in(f func(fl *fleet)) {
	synctest.Test(suite, func(t *testing.T) {
		fl := &fleet{WithT: NewWithT(t)}
		ctx, cancel := context.WithCancel(t.Context())
		fl.ctx = ctx
		defer fl.wg.Wait()
		defer cancel()
		fl.start()
		defer fl.client.CloseIdleConnections()
		time.Sleep(settled)
		f(fl)
	})
}

func (f *fleet) start() {
	n := f.fabric.Network(domain)
	f.client = &http.Client{Transport: network.Transport(n)}
	f.store = &store.Platform{Address: at(hostStore, 80), Network: n}
	f.stopped = map[*pool.Endpoint]context.CancelFunc{}
	f.configure(1, goodKey)
	f.name(1)
	for i := range 4 {
		f.engines = append(f.engines, f.endpoint(i, "engines", "m"))
	}
	for i := range 2 {
		f.services = append(f.services, f.endpoint(4+i, "desk", ""))
	}
	f.wg.Go(func() { _ = f.store.Run(f.ctx) })
	core, logs := observer.New(zapcore.InfoLevel)
	f.logs, f.log = logs, zap.New(core)
	for i := range f.instances {
		f.startInstance(i)
	}
}

func (f *fleet) endpoint(i int, service hbs.ServiceName, model hbs.ModelName) *pool.Endpoint {
	e := &pool.Endpoint{
		ID: hbs.EndpointID(fmt.Sprintf("e%d", i)), Service: service, Domain: domain, Model: model,
		Address: at(hostPool+i, 80), Network: f.fabric.Network(domain),
		Work: 20 * time.Millisecond, Gap: 10 * time.Millisecond, Events: 6, Load: time.Second, Born: 1,
	}
	f.serve(e)
	f.register(e)
	return e
}

// serve starts an endpoint that registers its changes.
func (f *fleet) serve(e *pool.Endpoint) {
	e.Changed = func() { f.register(e) }
	ctx, cancel := context.WithCancel(f.ctx)
	f.stopped[e] = cancel
	f.wg.Go(func() { _ = e.Serve(ctx) })
}

// stop ends an endpoint without a word.
func (f *fleet) stop(e *pool.Endpoint) {
	f.stopped[e]()
	time.Sleep(time.Millisecond)
}

func (f *fleet) register(e *pool.Endpoint) {
	f.Expect(f.store.Put(platform.KindServers, string(e.ID), e.Record())).To(Succeed())
}

func (f *fleet) startInstance(i int) {
	f.instances[i] = &gateway.Gateway{
		Boot: &platform.Boot{
			Instance: hbs.InstanceID(fmt.Sprintf("i%d", i+1)), Domain: domain,
			Regions: map[hbs.DomainName]hbs.RegionName{domain: ""},
			Callers: at(i+1, portCallers), Readiness: at(i+1, portReady),
			Store: at(hostStore, 80), Form: platform.FormObjects, ReadsPerSecond: 2000, WritesPerSecond: 400,
			Bounds: platform.Bounds{
				Grace: grace, ConfigTime: 2 * time.Second, Revoke: revoke, StrictRevoke: true,
				RetryRatio: 0.2, RetrySlack: 54, LeaseTime: 3 * time.Second, ConvergeTime: converge,
			},
		},
		Network: f.fabric.Network(domain), Log: f.log, Metrics: metrics.NewRegistry(),
		Knobs: catalog.Knobs(), Meters: catalog.Meters(), Seed: uint64(i + 1), Suspended: f.suspended,
	}
	var ctx context.Context
	ctx, f.kill[i] = context.WithCancel(f.ctx)
	f.ended[i] = make(chan error, 1)
	f.wg.Go(func() { f.ended[i] <- f.instances[i].Run(ctx) })
}

func (f *fleet) suspended() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asleep
}

func (f *fleet) suspend(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asleep += d
}

// configure publishes a table with the given keys of the one workspace.
func (f *fleet) configure(version int, keys ...string) {
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path-prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout-ms": 5000, "max-attempts": attempts, "resumable": resumable,
		}
	}
	f.Expect(f.store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version,
		"routes": []any{
			route("talk", "stream", "engines", 2, true), route("tell", "stream", "engines", 4, true), route("once", "stream", "engines", 1, false),
			route("book", "non_idempotent", "desk", 1, false), route("look", "idempotent", "desk", 2, false),
		},
		"services": []any{
			map[string]any{"name": "engines", "engine": map[string]any{"stride": 4, "kv-token-bytes": 1000, "link-mbps": 10000}}, map[string]any{"name": "desk"},
		},
		"limits":  map[string]any{"max-body-bytes": 1000},
		"tenants": []any{map[string]any{"name": "w", "api-keys": keys, "isolated": true}},
	})).To(Succeed())
}

// name names a version of the model's weights.
func (f *fleet) name(version int) {
	f.Expect(f.store.Put(platform.KindVersions, "m", map[string]any{"model": "m", "version": version})).To(Succeed())
}

// call is a request to instance i.
type call struct {
	i               int
	path, body, key string
	// method is POST and id is "r1" when empty.
	method, id string
	header     map[string]string
	// leaveAfter is when the caller leaves; 0 is never.
	leaveAfter time.Duration
}

// answer is a response read to its end, or the error that broke it off.
type answer struct {
	status int
	header http.Header
	body   string
	// closes tells that the connection is not to be used again.
	closes bool
	err    error
}

func (f *fleet) do(c call) answer {
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	if c.leaveAfter > 0 {
		time.AfterFunc(c.leaveAfter, cancel)
	}
	method := http.MethodPost
	if c.method != "" {
		method = c.method
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+at(c.i+1, portCallers).String()+c.path, bytes.NewReader([]byte(c.body)))
	f.Expect(err).NotTo(HaveOccurred())
	q.Host = "h.example"
	for name, value := range map[string]string{"Api-Key": goodKey, "X-Request-Id": "r1", "X-Deadline-Ms": "4000"} {
		q.Header.Set(name, value)
	}
	if c.key != "" {
		q.Header.Set("Api-Key", c.key)
	}
	if c.id != "" {
		q.Header.Set("X-Request-Id", c.id)
	}
	for name, value := range c.header {
		q.Header.Set(name, value)
	}
	res, err := f.client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, res.Header, string(body), res.Close, err}
}

// talk is a prompt of two shared parts for the engines.
func talk(i int) call {
	return call{i: i, path: "/talk/x?q=1", body: "prompt", header: map[string]string{
		"X-Model": "m", "X-Token-Usage": "300,40", "X-Prefix-Hash": "a1:200,b2:100",
		"X-Cache-Salt": "stolen", "X-Tenant": "other", "X-Kv-Hold": "1", "X-Length-Hint": "24",
	}}
}

// pieces is the whole stream of an engine.
func pieces() string {
	var b strings.Builder
	for n := 1; n <= 6; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// runs returns what all endpoints of es ran.
func runs(es []*pool.Endpoint) (all []pool.Run) {
	for _, e := range es {
		all = append(all, e.Runs()...)
	}
	return all
}

func (f *fleet) fail(es []*pool.Endpoint, faults pool.Faults) {
	for _, e := range es {
		e.Fail(faults)
	}
}

// cutFirst has the engine that runs the first request cut its stream after three
// events, and calls then a little later.
func (f *fleet) cutFirst(then func()) {
	f.fail(f.engines, pool.Faults{Cut: 3})
	f.wg.Go(func() {
		for len(runs(f.engines)) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
		then()
	})
}
