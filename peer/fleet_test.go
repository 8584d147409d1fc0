package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/membership"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/peer"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/standin/host"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	standin "github.com/hornbeamstage/hornbeamstage/standin/platform"
)

// platformDomain is the domain of the simulated platform, so that it can be cut
// off from each domain of instances.
const platformDomain hbs.DomainName = "platform"

var platformAddress = netip.MustParseAddrPort("10.0.0.1:80")

// node is one instance without the components that handle requests.
type node struct {
	id        hbs.InstanceID
	host      *host.Host
	objects   *mirror.Set
	config    *config.Store
	directory *membership.Directory
	server    *peer.Server
	metrics   metrics.Registry
	stop      context.CancelFunc
	killed    atomic.Bool
}

// fleet runs nodes, the platform and their network in one synctest bubble.
type fleet struct {
	g        *WithT
	ctx      context.Context
	fabric   *memnet.Fabric
	platform *standin.Platform
	nodes    []*node
	seeds    []netip.AddrPort
	sections func(*node) []hbs.Section
	floor    *config.Config
	// keys returns the TLS files of node i; nil for plaintext.
	keys func(i int) *peer.TLS
	// policy has the knobs of all nodes.
	policy hbs.Policy
	// regions maps domains to regions; the default is region r. partial reports
	// whether node i only stores the endpoints of its own region; nil for none.
	// The first legacyNodes nodes have no region, as those of an earlier release.
	regions     map[hbs.DomainName]hbs.RegionName
	partial     func(i int) bool
	legacyNodes int
	// log is the logger of the nodes' peer servers.
	log    *zap.Logger
	wg     conc.WaitGroup
	cancel context.CancelFunc

	mu sync.Mutex
	// failures are the errors of components that returned before their node was
	// stopped.
	failures []error
}

func newFleet(g *WithT) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{g: g, policy: policy(), ctx: ctx, cancel: cancel, fabric: &memnet.Fabric{Delay: time.Millisecond}, log: zap.NewNop()}
	f.platform = &standin.Platform{Address: platformAddress, Network: f.fabric.Network(platformDomain), ListLag: time.Second, Seed: 1}
	f.wg.Go(func() { _ = f.platform.Run(ctx) })
	return f
}

// recordExit records the error of a component of n that returned although n was
// neither stopped nor killed.
func (f *fleet) recordExit(ctx context.Context, n *node, err error) {
	if ctx.Err() != nil || n.killed.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, errors.Wrapf(err, "%s", n.id))
}

// close stops everything, so that the bubble can end. It heals the network first,
// since a connection across a cut would not notice that its other end closed.
func (f *fleet) close() {
	domains := []hbs.DomainName{"a", "b", "c", "d", platformDomain}
	for i, x := range domains {
		for _, y := range domains[i+1:] {
			f.fabric.Heal(x, y)
		}
	}
	f.cancel()
	f.wg.Wait()
	// net/http lets a dial continue after its request was canceled.
	time.Sleep(network.DialTimeout)
	f.g.Expect(f.failures).To(BeEmpty(), "a component of a node returned by itself")
}

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
}

// policy returns the default knobs of all packages used.
func policy() *knob.Fixed {
	return knob.NewFixed(platform.Knobs, mirror.Knobs, peer.Knobs, membership.Knobs)
}

// start adds a node in domain and runs it.
func (f *fleet) start(domain hbs.DomainName) *node {
	i := len(f.nodes)
	ctx, stop := context.WithCancel(f.ctx)
	n := &node{
		id:      hbs.InstanceID(fmt.Sprintf("i-%02d", i)),
		host:    &host.Host{Network: f.fabric.Network(domain), Classify: classify},
		objects: &mirror.Set{},
		stop:    stop,
	}
	if f.partial != nil && i >= f.legacyNodes {
		n.objects = &mirror.Set{Region: f.region(domain), RegionOnly: f.partial(i)}
	}
	registry := metrics.NewRegistry()
	n.metrics = registry
	record := hbs.Instance{ID: n.id, Domain: domain, Region: f.region(domain), State: hbs.InstanceLive,
		CallerAddress: netip.AddrPortFrom(peerAddress(i).Addr(), 8000), PeerAddress: peerAddress(i),
		Incarnation: hbs.Incarnation(fmt.Sprintf("%s-%d", n.id, time.Now().UnixNano()))}
	client := &platform.Client{Address: platformAddress, Network: n.host, Timeout: time.Second,
		ReadsPerSecond: 50, WritesPerSecond: 40, Policy: f.policy, Metrics: registry}
	n.config = &config.Store{Objects: n.objects, Knobs: mirror.Knobs, Floor: f.floor, Metrics: registry, Log: zap.NewNop()}
	n.directory = &membership.Directory{Record: record, Objects: n.objects, Config: n.config, Platform: client,
		Network: n.host, Policy: f.policy, Metrics: registry, Log: zap.NewNop(), Rand: rand.New(rand.NewPCG(1, uint64(i)))}
	n.server = &peer.Server{Self: n.directory.Self, Seeds: f.seeds, Objects: n.objects, Network: n.host, Policy: f.policy,
		Metrics: registry, Log: f.log, AllowPlaintext: true, Rand: rand.New(rand.NewPCG(2, uint64(i)))}
	if f.keys != nil {
		n.server.TLS = f.keys(i)
	}
	n.server.Sections = []hbs.Section{membership.Suspicions{Directory: n.directory}}
	if f.sections != nil {
		n.server.Sections = append(n.server.Sections, f.sections(n)...)
	}
	n.directory.Alive, n.directory.IsRepresentative = n.server.Alive, n.server.IsRepresentative
	watcher := &mirror.Watcher{Platform: client, Set: n.objects, Policy: f.policy, Metrics: registry, Log: zap.NewNop(),
		IsRepresentative: n.server.IsRepresentative, Broadcast: n.server.Broadcast}
	for _, run := range []func(context.Context) error{client.Run, n.config.Run, n.directory.Run, n.server.Run, watcher.Run} {
		f.wg.Go(func() { f.recordExit(ctx, n, run(ctx)) })
	}
	f.nodes = append(f.nodes, n)
	return n
}

// region returns the region of domain.
func (f *fleet) region(domain hbs.DomainName) hbs.RegionName {
	if r, ok := f.regions[domain]; ok {
		return r
	}
	return "r"
}

// classify separates platform traffic from traffic between instances.
func classify(addr netip.AddrPort) host.Purpose {
	if addr == platformAddress {
		return "platform"
	}
	return "peers"
}

// node returns the node with the ID.
func (f *fleet) node(id hbs.InstanceID) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// kill stops n as a crash would.
func (f *fleet) kill(n *node) {
	n.killed.Store(true)
	n.host.Kill()
	n.stop()
}

// putWorkspace stores the configuration of workspace number k and returns its ID.
func (f *fleet) putWorkspace(k int) hbs.WorkspaceID {
	id := hbs.WorkspaceID(fmt.Sprintf("w-%d", k))
	f.g.Expect(f.platform.Put(hbs.ObjectConfiguration, "workspace."+string(id), config.Workspace{ID: id, Weight: 1})).To(Succeed())
	return id
}

// haveWorkspace reports whether all nodes but those in except have the
// configuration of the workspace.
func (f *fleet) haveWorkspace(id hbs.WorkspaceID, except ...*node) bool {
	for _, n := range f.nodes {
		if !contains(except, n) && n.config.Config().Workspace(id) == nil {
			return false
		}
	}
	return true
}

func contains(ns []*node, n *node) bool {
	for _, x := range ns {
		if x == n {
			return true
		}
	}
	return false
}

// waitFor waits until cond holds and returns the time it took. It fails the test
// after limit.
func (f *fleet) waitFor(limit time.Duration, what string, cond func() bool) time.Duration {
	f.g.THelper()
	began := time.Now()
	for !cond() {
		f.g.Expect(time.Since(began)).To(BeNumerically("<=", limit), what)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// defaultDomains are the domains of the default fleet of 7 instances.
var defaultDomains = []hbs.DomainName{"a", "a", "b", "b", "c", "c", "d"}

func (f *fleet) startDefault() {
	for i := range defaultDomains {
		f.seeds = append(f.seeds, peerAddress(i))
	}
	for _, domain := range defaultDomains {
		f.start(domain)
	}
}

// watchers returns the nodes of domain that currently watch the platform.
func (f *fleet) watchers(domain hbs.DomainName) (ws []*node) {
	for _, n := range f.nodes {
		if n.directory.Self().Domain == domain && n.server.IsRepresentative() {
			ws = append(ws, n)
		}
	}
	return ws
}
