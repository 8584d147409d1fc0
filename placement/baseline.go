package placement

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/load"
)

// BaselineName names a simple placement policy that Placer is compared with.
type BaselineName string

// The baselines.
const (
	Random      BaselineName = "random"
	RoundRobin  BaselineName = "round_robin"
	LeastLoaded BaselineName = "least_loaded"
	PrefixOnly  BaselineName = "prefix_only"
)

// unreachablePause is how long a baseline leaves out an endpoint that could not
// be reached.
const unreachablePause = time.Second

// baselineReportInterval is the time between two reads of an endpoint's load
// report.
const baselineReportInterval = 500 * time.Millisecond

// Baseline places attempts by one simple rule. It sets no limits: engines queue
// what they cannot run yet.
type Baseline struct {
	Name      BaselineName
	Directory hbs.Directory
	Policy    hbs.Policy
	Self      hbs.Instance
	Network   hbs.Network
	Metrics   metrics.Registry
	// Seed makes the random choices repeatable.
	Seed uint64
	Log  *zap.Logger

	mu          sync.Mutex
	rnd         *rand.Rand
	next        uint64
	attempt     uint64
	pausedUntil map[hbs.EndpointID]time.Time
	// outstanding counts this instance's unfinished attempts, reported is the
	// number of requests in the engine's last load report.
	outstanding, reported map[hbs.EndpointID]int
}

// NewBaseline returns the named baseline, configured by the exported fields of
// b.
func NewBaseline(name string, b *Baseline) (_ *Baseline, err error) {
	defer func() { err = errors.Wrapf(err, "baseline %q", name) }()
	switch BaselineName(name) {
	case Random, RoundRobin, LeastLoaded, PrefixOnly:
	default:
		return nil, errors.New("name is not known")
	}
	return &Baseline{
		Name: BaselineName(name), Directory: b.Directory, Policy: b.Policy, Self: b.Self,
		Network: b.Network, Metrics: b.Metrics, Seed: b.Seed, Log: b.Log,
		rnd:         rand.New(rand.NewPCG(b.Seed, xxhash.Sum64String(string(b.Self.ID)))),
		pausedUntil: map[hbs.EndpointID]time.Time{},
		outstanding: map[hbs.EndpointID]int{}, reported: map[hbs.EndpointID]int{},
	}, nil
}

// Run blocks until ctx ends. For LeastLoaded it reads the load reports of all
// engines of the region meanwhile.
func (b *Baseline) Run(ctx context.Context) error {
	if b.Name != LeastLoaded {
		<-ctx.Done()
		return ctx.Err()
	}
	poller := load.Poller{Network: b.Network, Interval: baselineReportInterval, Endpoints: b.reportEndpoints, OnReport: b.onReport}
	return poller.Run(ctx)
}

func (b *Baseline) reportEndpoints() (list []hbs.Endpoint) {
	for _, e := range b.Directory.Roster().Endpoints {
		if e.Kind == hbs.KindEngine && e.Region == b.Self.Region && e.Capabilities.LoadReports {
			list = append(list, e)
		}
	}
	return list
}

// onReport stores the reported load. When a read fails, the last report stays.
func (b *Baseline) onReport(e hbs.Endpoint, r load.Report, err error) {
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported[e.ID] = r.Running + r.Waiting
}

// Sections returns no digest sections: baselines exchange nothing with peers.
func (b *Baseline) Sections() []hbs.Section { return nil }

// Place implements hornbeamstage.Placer.
func (b *Baseline) Place(req *hbs.Request, avoid []hbs.EndpointID) (hbs.Placement, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(req, avoid)
	if len(usable) == 0 {
		return hbs.Placement{}, hbs.ErrNoEndpoint
	}
	e := b.choose(req, usable)
	b.outstanding[e.ID]++
	b.attempt++
	return hbs.Placement{
		Attempt:  hbs.AttemptID(fmt.Sprintf("%s-%s-%d", b.Self.ID, b.Self.Incarnation, b.attempt)),
		Endpoint: *e,
	}, nil
}

func (b *Baseline) usable(req *hbs.Request, avoid []hbs.EndpointID) []*hbs.Endpoint {
	now := time.Now()
	roster := b.Directory.Roster()
	var usable []*hbs.Endpoint
	for i := range roster.Endpoints {
		e := &roster.Endpoints[i]
		if e.Region != b.Self.Region || !serves(e, req) || avoided(e, avoid) {
			continue
		}
		if now.Before(b.pausedUntil[e.ID]) {
			continue
		}
		usable = append(usable, e)
	}
	return usable
}

func (b *Baseline) choose(req *hbs.Request, usable []*hbs.Endpoint) *hbs.Endpoint {
	switch b.Name {
	case RoundRobin:
		b.next++
		return usable[b.next%uint64(len(usable))]
	case LeastLoaded:
		return b.leastLoaded(usable)
	case PrefixOnly:
		if len(req.Levels) > 0 {
			return rendezvousHash(req.Levels[0].Key, usable)
		}
	}
	return usable[b.rnd.IntN(len(usable))]
}

func (b *Baseline) leastLoaded(usable []*hbs.Endpoint) *hbs.Endpoint {
	var best []*hbs.Endpoint
	least := math.MaxInt
	for _, e := range usable {
		switch n := b.load(e); {
		case n < least:
			best, least = append(best[:0], e), n
		case n == least:
			best = append(best, e)
		}
	}
	return best[b.rnd.IntN(len(best))]
}

// load returns the reported load of an endpoint. For endpoints without reports
// it returns the number of this instance's unfinished attempts.
func (b *Baseline) load(e *hbs.Endpoint) int {
	if n, ok := b.reported[e.ID]; ok {
		return n
	}
	return b.outstanding[e.ID]
}

// rendezvousHash returns the endpoint with the highest hash for key.
func rendezvousHash(key hbs.LevelKey, usable []*hbs.Endpoint) *hbs.Endpoint {
	best, bestWeight := usable[0], uint64(0)
	for _, e := range usable {
		if w := mix(uint64(key) ^ xxhash.Sum64String(string(e.ID))); w >= bestWeight {
			best, bestWeight = e, w
		}
	}
	return best
}

// mix is the finalizer of splitmix64: each bit of x affects all bits of the
// result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// FirstToken implements hornbeamstage.Placer.
func (b *Baseline) FirstToken(*hbs.Placement, time.Duration, int) {}

// Slowness implements hornbeamstage.Placer.
func (b *Baseline) Slowness(*hbs.Placement) float64 { return 1 }

// ObserveMinGap implements hornbeamstage.Placer.
func (b *Baseline) ObserveMinGap(*hbs.Placement, time.Duration) {}

// ObserveGap implements hornbeamstage.Placer.
func (b *Baseline) ObserveGap(*hbs.Placement, time.Duration) {}

// Finish implements hornbeamstage.Placer.
func (b *Baseline) Finish(placed *hbs.Placement, r hbs.AttemptResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding[placed.Endpoint.ID]--
	if r.End == hbs.EndUnreached {
		b.pausedUntil[placed.Endpoint.ID] = time.Now().Add(unreachablePause)
	}
}
