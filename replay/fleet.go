package replay

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/standin/host"
	"github.com/hornbeamstage/hornbeamstage/standin/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/service"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// Ports of the processes. Each process has a separate loopback address.
const (
	portPlatform  = 8000
	portCallers   = 8080
	portPeers     = 8081
	portOperators = 8082
	portEndpoint  = 9000
)

// Third bytes of the loopback addresses, by kind of process.
const (
	netPlatform = 100
	netInstance = 101
	netEngine   = 102
	netService  = 103
)

// kvStoreFactor is the capacity of the shared KV cache store, as a multiple of the
// size of all engines' caches together.
const kvStoreFactor = 4

func address(net, n, port int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, 0, byte(net), byte(n + 1)})
	return netip.AddrPortFrom(ip, uint16(port))
}

// fleet is all stand-ins and instances of a replay.
type fleet struct {
	shape       trace.Fleet
	seed        uint64
	log         *zap.Logger
	net         networks
	platform    *platform.Platform
	engines     []*engine.Engine
	services    []*service.Service
	records     map[hbs.EndpointID]hbs.Endpoint
	instances   []*instance
	weightStore *engine.WeightStore
	kvStore     *engine.KVStore
	running     conc.WaitGroup
	// The baseline excludes the start of the fleet from the measured rates.
	baselineTime  time.Time
	baselineCalls int
	baselineBytes ControlBytes
}

func newFleet(shape trace.Fleet, seed uint64, log *zap.Logger, net networks) *fleet {
	f := &fleet{
		shape:       shape,
		seed:        seed,
		log:         log,
		net:         net,
		records:     map[hbs.EndpointID]hbs.Endpoint{},
		weightStore: &engine.WeightStore{LoadTime: trace.Seconds(shape.WeightLoadSeconds), MaxFullSpeedLoads: shape.WeightLoads},
	}
	f.platform = &platform.Platform{
		Address: address(netPlatform, 0, portPlatform),
		Network: net.network(domainPlatform),
		ListLag: listLag,
		Seed:    seed,
	}
	f.kvStore = &engine.KVStore{Capacity: kvStoreFactor * shape.CacheTokens()}
	for _, g := range shape.Engines {
		f.addEngines(g)
	}
	for _, g := range shape.Services {
		f.addServices(g)
	}
	return f
}

func (f *fleet) domain(n int) hbs.DomainName { return f.shape.Domains[n%len(f.shape.Domains)] }

func (f *fleet) addEngines(g trace.EngineGroup) {
	for i := range g.Count {
		n := len(f.engines)
		e := &engine.Engine{
			ID:           hbs.EndpointID(fmt.Sprintf("%s-%02d", g.Model, i+1)),
			Address:      address(netEngine, n, portEndpoint),
			Network:      f.net.network(f.domain(i)),
			Model:        g.Model,
			Initial:      g.Weights,
			Capabilities: g.Capabilities,
			Shape:        g.Shape,
			Weights:      f.weightStore,
			KV:           f.kvStore,
			Seed:         f.seed + uint64(n),
		}
		f.engines = append(f.engines, e)
		f.records[e.ID] = e.Record(f.domain(i), f.shape.Region)
	}
}

func (f *fleet) addServices(g trace.ServiceGroup) {
	for i := range g.Count {
		s := &service.Service{
			ID:           hbs.EndpointID(fmt.Sprintf("%s-%02d", g.Service, i+1)),
			Name:         g.Service,
			Address:      address(netService, len(f.services), portEndpoint),
			Network:      f.net.network(f.domain(i)),
			Capabilities: g.Capabilities,
			Slots:        g.Slots,
		}
		f.services = append(f.services, s)
		f.records[s.ID] = s.Record(f.domain(i), f.shape.Region)
	}
}

// start runs the stand-ins and the instances until ctx ends.
func (f *fleet) start(ctx context.Context, start Starter, policy string, ws []trace.Workspace) {
	f.seedPlatform(ws)
	f.run(ctx, f.platform.Run)
	for _, e := range f.engines {
		f.run(ctx, e.Run)
	}
	for _, s := range f.services {
		f.run(ctx, s.Run)
	}
	for i := range f.shape.Instances {
		in := f.newInstance(i, start, policy)
		f.instances = append(f.instances, in)
		in.start(ctx)
	}
}

func (f *fleet) run(ctx context.Context, run func(context.Context) error) {
	f.running.Go(func() {
		err := run(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			f.log.Error("stand-in failed", zap.Error(err))
		}
	})
}

func (f *fleet) wait() { f.running.Wait() }

// objectives are service level objectives for the burn report of "replay serve".
var objectives = []burn.Objective{
	{Kind: burn.FirstToken, Threshold: 480 * time.Millisecond, Target: 0.95},
	{Kind: burn.InterToken, Threshold: 48 * time.Millisecond, Target: 0.95},
	{Kind: burn.Availability, Target: 0.999},
	{Kind: burn.CompleteAnswers, Target: 0.9999},
}

// seedPlatform stores the initial configuration and the endpoint records.
func (f *fleet) seedPlatform(ws []trace.Workspace) {
	c := &config.Config{Objectives: objectives}
	for _, w := range ws {
		c.Workspaces = append(c.Workspaces, workspaceConfig(w.ID))
	}
	for _, g := range f.shape.Engines {
		c.Models = append(c.Models, f.modelConfig(g.Model, g.Weights))
	}
	for _, g := range f.shape.Services {
		s := config.Service{Name: g.Service}
		for _, r := range g.Routes {
			s.Routes = append(s.Routes, config.Route{Method: r.Method, Path: r.Path, Class: r.Class})
		}
		c.Services = append(c.Services, s)
	}
	f.apply(c)
	for id, rec := range f.records {
		f.must(f.platform.Put(hbs.ObjectEndpoint, string(id), rec))
	}
}

func workspaceConfig(id hbs.WorkspaceID) config.Workspace {
	return config.Workspace{ID: id, KeyHashes: []config.KeyHash{config.HashKey(bearerKey(id))}, Weight: 1}
}

func (f *fleet) modelConfig(m hbs.ModelName, v hbs.WeightsVersion) config.Model {
	return config.Model{Name: m, Weights: v, MaxConcurrentLoads: max(1, f.shape.WeightLoads)}
}

// apply stores configuration items as an operator would.
func (f *fleet) apply(c *config.Config) {
	items, err := c.Items()
	f.must(err)
	for _, o := range items {
		f.must(f.platform.Put(o.Kind, o.Name, o.Value))
	}
}

// must exits the process on an error that only a bug in this package can cause.
func (f *fleet) must(err error) {
	if err != nil {
		f.log.Fatal("replay", zap.Error(err))
	}
}

// bearerKey returns the API key that the callers of a workspace use.
func bearerKey(id hbs.WorkspaceID) string { return "key-" + string(id) }

// ready waits until every instance has reported that it is ready.
func (f *fleet) ready(ctx context.Context, wait time.Duration) error {
	end := time.Now().Add(wait)
	for _, in := range f.instances {
		for !in.checkReady(ctx) {
			if ctx.Err() != nil || time.Now().After(end) {
				return errors.Newf("instance %s is not ready after %s", in.id, wait)
			}
			_ = delay.For(ctx, readyPoll)
		}
	}
	return nil
}

// recordBaseline starts the period over which rates are measured.
func (f *fleet) recordBaseline() {
	f.baselineTime = time.Now()
	f.baselineCalls = f.platformCalls()
	f.baselineBytes = f.controlBytes()
}

func (f *fleet) platformCalls() (n int) {
	for _, c := range f.platform.Calls() {
		n += c
	}
	return n
}

// controlBytes returns the traffic of all instances with peers and the platform,
// and what the engines have published to them.
func (f *fleet) controlBytes() (c ControlBytes) {
	for _, in := range f.instances {
		peer, platform := in.controlBytes()
		c.Peer += float64(peer)
		c.Platform += float64(platform)
	}
	for _, e := range f.engines {
		c.Endpoint += float64(e.Published())
	}
	return c
}

// classify returns the purpose of an instance's connection to address a, or "" if
// it is not control traffic.
func (f *fleet) classify(a netip.AddrPort) host.Purpose {
	switch a.Port() {
	case portPeers:
		return purposePeer
	case portPlatform:
		return purposePlatform
	}
	return ""
}

// Purposes of the connections whose traffic counts as control traffic.
const (
	purposePeer     host.Purpose = "peer"
	purposePlatform host.Purpose = "platform"
)
