// Package membership maintains the roster of endpoints and instances.
//
// It combines the platform's list, the results of attempts and probes, and the
// heartbeats of instances. Rules:
//
//  1. The platform's list (mirrored objects) says which endpoints exist. It may
//     be out of date, so a listed endpoint is not assumed to be reachable.
//  2. An attempt that could not connect to its endpoint marks the endpoint
//     suspect at once. An attempt whose connection broke midway or whose
//     deadline passed without a first token, or a peer's report, triggers an
//     immediate probe, and the endpoint becomes suspect if the probe fails.
//     Suspect endpoints get no new work.
//  3. A suspect endpoint is probed with exponential backoff until it answers. It
//     is not removed while it is on the list.
//  4. The most recently reported incarnation and weights apply, whether the list
//     or an answer reported them. An incarnation that was replaced is never
//     accepted again, so a late answer of an earlier incarnation can't restore
//     outdated state.
//  5. An endpoint that the list reports as leaving, or that an operator drains,
//     gets no new work; its open connections are not closed.
//  6. Instances of the local failure domain are those whose heartbeats arrive;
//     those of other domains are the listed ones and those known by heartbeats.
//     Endpoints stay in use whether or not an instance of their domain is live.
//  7. Where the mirror omits endpoints of other regions, the roster includes its
//     spares, a sample of those endpoints, so that placement can still fall back
//     to another region.
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
	"github.com/hornbeamstage/hornbeamstage/notification"
)

// Directory implements hornbeamstage.Directory.
type Directory struct {
	// Record is the valid record of this instance; Leave overrides its State.
	Record hbs.Instance
	// Objects holds the mirrored objects; not nil.
	Objects *mirror.Set
	// Config says which endpoints operators drain; nil for none.
	Config *config.Store
	// Alive returns the instances whose heartbeats arrive; nil without peers.
	Alive func() []hbs.Instance
	// IsRepresentative reports whether this instance is a representative of its
	// domain and therefore deletes stale instance records; nil means no.
	IsRepresentative func() bool
	// Platform stores this instance's record; nil to skip registration.
	Platform hbs.Platform
	Network  hbs.Network
	Policy   hbs.Policy
	Metrics  metrics.Registry
	Log      *zap.Logger
	// Rand adds jitter to registrations and probes; not nil. Nothing else may use
	// it while Run is running: it belongs to the goroutine of the probes then.
	Rand *rand.Rand

	once    sync.Once
	leaving atomic.Bool
	// recordLock is held by the one goroutine that writes this instance's record, so
	// that a slow registration can't undo a later change. It is a channel because its
	// holder waits for the platform.
	recordLock   chan struct{}
	observations *observations
	// The decoded records of the platform's list.
	listedEndpoints *mirror.RecordCache[hbs.Endpoint]
	listedInstances *mirror.RecordCache[hbs.Instance]
	// spares has the sample of other regions' endpoints, where Objects omits the
	// rest.
	spares        *mirror.RecordCache[mirror.OtherRegions]
	probeRequests chan hbs.EndpointID

	mu        sync.Mutex
	roster    atomic.Pointer[hbs.Roster]
	changed   notification.Signal
	builtFrom sourceVersions
}

// sourceVersions identifies the inputs from which endpoints were built.
type sourceVersions struct {
	objects, spares, observations uint64
	config                        *config.Config
}

func (d *Directory) init() {
	d.once.Do(func() {
		d.observations = newObservations()
		d.recordLock = make(chan struct{}, 1)
		d.listedEndpoints = &mirror.RecordCache[hbs.Endpoint]{Set: d.Objects, Kind: d.Objects.EndpointKind(), Decode: mirror.DecodeEndpoint}
		d.listedInstances = &mirror.RecordCache[hbs.Instance]{Set: d.Objects, Kind: hbs.ObjectInstance, Decode: mirror.DecodeInstance}
		d.spares = &mirror.RecordCache[mirror.OtherRegions]{Set: d.Objects, Kind: mirror.SparesKind(d.Objects.Region), Decode: mirror.DecodeSpares}
		d.probeRequests = make(chan hbs.EndpointID, probeBacklog)
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
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed.Next()
}

// Run updates the roster and registers this instance until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	d.init()
	jitter := rand.New(rand.NewPCG(d.Rand.Uint64(), d.Rand.Uint64()))
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	tasks.Go(d.refreshLoop)
	tasks.Go(d.probeLoop)
	if d.Platform != nil {
		tasks.Go(func(ctx context.Context) error { return d.register(ctx, jitter) })
		tasks.Go(d.deleteStaleRecords)
	}
	return tasks.Wait()
}

// refreshLoop rebuilds the roster when a source changes. Missing heartbeats
// signal no change, so it also rebuilds at an interval.
func (d *Directory) refreshLoop(ctx context.Context) error {
	tick := time.NewTicker(d.Policy.Duration(KnobRefresh, hbs.Scope{}))
	defer tick.Stop()
	for {
		objects, observed := d.Objects.Changed(), d.observations.Changed()
		var configChanged <-chan struct{}
		if d.Config != nil {
			configChanged = d.Config.Changed()
		}
		d.Refresh()
		select {
		case <-objects:
		case <-observed:
		case <-configChanged:
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Refresh applies all changes of the sources to the roster. Run calls it after
// every change.
func (d *Directory) Refresh() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.roster.Load()
	next := &hbs.Roster{Endpoints: old.Endpoints, Instances: d.instances(), UnlistedEngines: d.otherRegions().Engines}
	now := sourceVersions{
		objects:      d.Objects.Version(d.listedEndpoints.Kind),
		spares:       d.Objects.Version(d.spares.Kind),
		observations: d.observations.Version(),
	}
	if d.Config != nil {
		now.config = d.Config.Config()
	}
	if now != d.builtFrom {
		next.Endpoints = d.endpoints(now.config)
		d.builtFrom = now
	}
	if slices.Equal(next.Instances, old.Instances) && maps.Equal(next.UnlistedEngines, old.UnlistedEngines) && sameEndpoints(next.Endpoints, old.Endpoints) {
		return
	}
	d.roster.Store(next)
	d.changed.Send()
	d.setGauge(meterEndpoints, len(next.Endpoints))
	d.setGauge(meterSuspects, countInState(next.Endpoints, hbs.StateSuspect))
	d.setGauge(meterInstances, len(next.Instances))
}

// endpoints merges the observations and drains into the list (rules 2, 4 and 5).
func (d *Directory) endpoints(cfg *config.Config) []hbs.Endpoint {
	list, invalid := d.listedEndpoints.Read()
	d.setGauge(meterInvalidRecords, invalid)
	if d.Objects.RegionOnly {
		list = d.withSpares(list)
	}
	out := make([]hbs.Endpoint, 0, len(list))
	for _, l := range list {
		e := d.observations.apply(l)
		e.Revision = l.Revision
		if cfg != nil && e.State == hbs.StateLive && cfg.Drained(e.ID) {
			e.State = hbs.StateDraining
		}
		out = append(out, e)
	}
	d.observations.retain(out)
	return out
}

// withSpares merges the spares into the region's endpoints, both sorted (rule 7).
// It skips a spare that has since moved to this region and is listed.
func (d *Directory) withSpares(list []mirror.Record[hbs.Endpoint]) []mirror.Record[hbs.Endpoint] {
	spares := d.otherRegions().Spares
	all := make([]mirror.Record[hbs.Endpoint], 0, len(list)+len(spares))
	for _, spare := range spares {
		at, found := slices.BinarySearchFunc(list, spare, byEndpoint)
		all = append(all, list[:at]...)
		list = list[at:]
		if !found {
			all = append(all, spare)
		}
	}
	return append(all, list...)
}

// otherRegions returns the spares and the number of the omitted endpoints of
// other regions; it is empty where Objects has all endpoints.
func (d *Directory) otherRegions() mirror.OtherRegions {
	if !d.Objects.RegionOnly {
		return mirror.OtherRegions{}
	}
	list, _ := d.spares.Read()
	if len(list) == 0 {
		return mirror.OtherRegions{}
	}
	return list[0].Value
}

func byEndpoint(a, b mirror.Record[hbs.Endpoint]) int {
	return strings.Compare(string(a.Value.ID), string(b.Value.ID))
}

func (d *Directory) setGauge(name string, v int) {
	d.Metrics.GetOrRegister(name, metrics.NewGauge).(metrics.Gauge).Update(int64(v))
}

func (d *Directory) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, d.Metrics)
}

func countInState(es []hbs.Endpoint, state hbs.EndpointState) (n int) {
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
