// Package membership tells which endpoints and instances there are.
//
// It joins three sources. Rules:
//
//  1. The platform's list (mirrored objects) says which endpoints exist. It
//     lags, and it is never taken as proof that an endpoint lives.
//  2. An attempt that could not reach its endpoint makes it suspect at once; one
//     that broke in the middle, or a peer's word, makes it probed at once, and
//     suspect when the probe fails. Suspect endpoints get no new work.
//  3. A suspect endpoint is probed with growing pauses until it answers. It is
//     never forgotten while it is on the list.
//  4. The incarnation and weights last told, by the list or by an answer, are in
//     force. An incarnation that was replaced never comes back, so a late
//     answer of an earlier life can't revive what was believed of it.
//  5. An endpoint that the list calls leaving, or that an operator drains, gets
//     no new work; its connections are left alone.
//  6. Instances of the own domain are those whose heartbeats come; those of
//     other domains are as the list says, or heard. Endpoints stay in use
//     whether or not an instance of their domain lives.
//  7. Where the mirror leaves out other regions' endpoints, its spares stand in
//     for them, so that the last scope of placement is not empty.
package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// Directory implements hornbeamstage.Directory.
type Directory struct {
	// Record is this instance; valid. Its state is kept by Leave.
	Record hbs.Instance
	// Objects are the mirrored objects; not nil.
	Objects *mirror.Set
	// Config tells which endpoints are drained; nil for none.
	Config *config.Store
	// Alive returns the instances whose heartbeats come; nil when alone.
	Alive func() []hbs.Instance
	// Chosen reports whether this instance tidies up for its domain; nil for no.
	Chosen func() bool
	// Platform registers this instance; nil for none.
	Platform hbs.Platform
	Network  hbs.Network
	Policy   hbs.Policy
	Metrics  metrics.Registry
	Log      *zap.Logger
	// Rand spreads registrations and probes over time; not nil. It is used by
	// one goroutine at a time.
	Rand *rand.Rand

	once     sync.Once
	leaving  atomic.Bool
	evidence *evidence
	// The records of the platform's list.
	listedEndpoints *mirror.Records[hbs.Endpoint]
	listedInstances *mirror.Records[hbs.Instance]
	// spares tell of other regions' endpoints, where Objects leaves them out.
	spares *mirror.Records[mirror.Elsewhere]
	probes chan hbs.EndpointID

	mu      sync.Mutex
	roster  atomic.Pointer[hbs.Roster]
	changed chan struct{}
	built   version
}

// version tells whether endpoints have to be built again.
type version struct {
	objects, spares, evidence uint64
	config                    *config.Config
}

func (d *Directory) init() {
	d.once.Do(func() {
		d.evidence = newEvidence()
		d.listedEndpoints = &mirror.Records[hbs.Endpoint]{Set: d.Objects, Kind: d.Objects.EndpointKind(), Decode: mirror.DecodeEndpoint}
		d.listedInstances = &mirror.Records[hbs.Instance]{Set: d.Objects, Kind: hbs.ObjectInstance, Decode: mirror.DecodeInstance}
		d.spares = &mirror.Records[mirror.Elsewhere]{Set: d.Objects, Kind: mirror.SparesKind(d.Objects.Region), Decode: mirror.DecodeSpares}
		d.probes = make(chan hbs.EndpointID, probeBacklog)
		d.changed = make(chan struct{})
		d.roster.Store(&hbs.Roster{Instances: []hbs.Instance{d.Record}})
	})
}

// Self returns this instance's record with its present state.
func (d *Directory) Self() hbs.Instance {
	self := d.Record
	if d.leaving.Load() {
		self.State = hbs.InstanceLeaving
	}
	return self
}

// Roster implements hornbeamstage.Directory.
func (d *Directory) Roster() *hbs.Roster {
	d.init()
	return d.roster.Load()
}

// Changed implements hornbeamstage.Directory.
func (d *Directory) Changed() <-chan struct{} {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Run keeps the roster current and this instance registered until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	d.init()
	duties := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	duties.Go(d.follow)
	duties.Go(d.probeDuty)
	if d.Platform != nil {
		duties.Go(d.register)
		duties.Go(d.tidy)
	}
	return duties.Wait()
}

// follow builds the roster when a source changed. Heartbeats that cease tell
// nothing, so it also looks at each tick.
func (d *Directory) follow(ctx context.Context) error {
	tick := time.NewTicker(d.Policy.Duration(KnobRefresh, hbs.Scope{}))
	defer tick.Stop()
	for {
		objects, evidence := d.Objects.Changed(), d.evidence.Changed()
		var drains <-chan struct{}
		if d.Config != nil {
			drains = d.Config.Changed()
		}
		d.Refresh()
		select {
		case <-objects:
		case <-evidence:
		case <-drains:
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Refresh brings what changed since into the roster. Run does it at every
// change.
func (d *Directory) Refresh() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.roster.Load()
	next := &hbs.Roster{Endpoints: old.Endpoints, Instances: d.instances(), Elsewhere: d.elsewhere().Engines}
	now := version{
		objects:  d.Objects.Version(d.listedEndpoints.Kind),
		spares:   d.Objects.Version(d.spares.Kind),
		evidence: d.evidence.Version(),
	}
	if d.Config != nil {
		now.config = d.Config.Config()
	}
	if now != d.built {
		next.Endpoints = d.endpoints(now.config)
		d.built = now
	}
	if slices.Equal(next.Instances, old.Instances) && maps.Equal(next.Elsewhere, old.Elsewhere) && sameEndpoints(next.Endpoints, old.Endpoints) {
		return
	}
	d.roster.Store(next)
	close(d.changed)
	d.changed = make(chan struct{})
	d.gauge(meterEndpoints, len(next.Endpoints))
	d.gauge(meterSuspects, count(next.Endpoints, hbs.StateSuspect))
	d.gauge(meterInstances, len(next.Instances))
}

// endpoints applies what is known in-band to the list (rules 2, 4 and 5).
func (d *Directory) endpoints(cfg *config.Config) []hbs.Endpoint {
	list, faulty := d.listedEndpoints.Read()
	d.gauge(meterFaulty, faulty)
	if d.Objects.Part {
		list = d.withSpares(list)
	}
	out := make([]hbs.Endpoint, 0, len(list))
	for _, l := range list {
		e := d.evidence.apply(l)
		e.Revision = l.Revision
		if cfg != nil && e.State == hbs.StateLive && cfg.Drained(e.ID) {
			e.State = hbs.StateDraining
		}
		out = append(out, e)
	}
	d.evidence.keepOnly(out)
	return out
}

// withSpares adds the spares to the region's endpoints, both sorted (rule 7). One that moved
// here since is among those already.
func (d *Directory) withSpares(list []mirror.Record[hbs.Endpoint]) []mirror.Record[hbs.Endpoint] {
	spares := d.elsewhere().Spares
	all := make([]mirror.Record[hbs.Endpoint], 0, len(list)+len(spares))
	for _, spare := range spares {
		at, own := slices.BinarySearchFunc(list, spare, byEndpoint)
		all = append(all, list[:at]...)
		list = list[at:]
		if !own {
			all = append(all, spare)
		}
	}
	return append(all, list...)
}

// elsewhere returns what is known of other regions' endpoints; nothing where
// all of them are kept.
func (d *Directory) elsewhere() mirror.Elsewhere {
	if !d.Objects.Part {
		return mirror.Elsewhere{}
	}
	list, _ := d.spares.Read()
	if len(list) == 0 {
		return mirror.Elsewhere{}
	}
	return list[0].Value
}

func byEndpoint(a, b mirror.Record[hbs.Endpoint]) int {
	return strings.Compare(string(a.Value.ID), string(b.Value.ID))
}

func (d *Directory) gauge(name string, v int) {
	d.Metrics.GetOrRegister(name, metrics.NewGauge).(metrics.Gauge).Update(int64(v))
}

func (d *Directory) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, d.Metrics)
}

func count(es []hbs.Endpoint, state hbs.EndpointState) (n int) {
	for i := range es {
		if es[i].State == state {
			n++
		}
	}
	return n
}

func sameEndpoints(a, b []hbs.Endpoint) bool {
	if len(a) != len(b) {
		return false
	}
	if len(a) == 0 || &a[0] == &b[0] {
		return true
	}
	return slices.EqualFunc(a, b, sameEndpoint)
}

func sameEndpoint(a, b hbs.Endpoint) bool {
	if !slices.Equal(a.Adapters, b.Adapters) {
		return false
	}
	return a.ID == b.ID && a.Revision == b.Revision && a.Kind == b.Kind && a.Domain == b.Domain && a.Region == b.Region &&
		a.Address == b.Address && a.State == b.State && a.Incarnation == b.Incarnation &&
		a.Model == b.Model && a.Weights == b.Weights && a.Service == b.Service &&
		a.Slots == b.Slots && a.CacheTokens == b.CacheTokens && a.Capabilities == b.Capabilities
}
