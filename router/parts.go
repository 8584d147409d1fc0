package router

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
	"github.com/hornbeamstage/hornbeamstage/catalog"
	"github.com/hornbeamstage/hornbeamstage/claim"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/dispatch"
	"github.com/hornbeamstage/hornbeamstage/drain"
	"github.com/hornbeamstage/hornbeamstage/entry"
	"github.com/hornbeamstage/hornbeamstage/lease"
	"github.com/hornbeamstage/hornbeamstage/limit"
	"github.com/hornbeamstage/hornbeamstage/membership"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/peer"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/prompt"
	"github.com/hornbeamstage/hornbeamstage/settings"
	"github.com/hornbeamstage/hornbeamstage/weights"
)

// The streams of random numbers, so that parts do not share one.
const (
	streamDirectory = iota + 1
	streamPeers
	streamPlacement
)

// incarnationBase is the base in which the time of the start is written; two
// lives of an instance never start in the same nanosecond.
const incarnationBase = 36

// parts are the pieces of one instance, joined.
type parts struct {
	self      hbs.Instance
	objects   *mirror.Set
	config    *config.Store
	platform  *platform.Client
	watcher   *mirror.Watcher
	directory *membership.Directory
	peers     *peer.Server
	// work counts what placer has chosen.
	work   *drain.Work
	placer hbs.Placer
	// fleet is nil when a baseline places.
	fleet      *placement.Fleet
	dispatcher *dispatch.Dispatcher
	limiter    *limit.Limiter
	claims     *claim.Store
	tracker    *burn.Tracker
	entry      *entry.Handler
	// lease and rollout are nil without a platform.
	lease   *lease.Keeper
	rollout *weights.Rollout
}

// assemble builds the parts in the order in which they need each other.
func (r *Router) assemble() (p *parts, err error) {
	defer func() { err = errors.Wrap(err, "assemble") }()
	p = &parts{self: r.Settings.Self()}
	p.objects = &mirror.Set{Region: p.self.Region, Part: r.Settings.Instance.Holds == settings.HoldRegion}
	p.self.Incarnation = hbs.Incarnation(strconv.FormatInt(time.Now().UnixNano(), incarnationBase))
	if err := r.addConfig(p); err != nil {
		return nil, err
	}
	r.addPlatform(p)
	r.addDirectory(p)
	if err := r.addPlacement(p); err != nil {
		return nil, err
	}
	r.addRequestPath(p)
	r.addOrders(p)
	r.addPeers(p)
	return p, nil
}

func (r *Router) addConfig(p *parts) error {
	p.config = &config.Store{
		Objects: p.objects,
		Knobs:   catalog.Knobs(),
		Metrics: r.Metrics,
		Log:     r.Log.Named("config"),
	}
	file := r.Settings.Configuration.Floor
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	p.config.Floor, err = config.Decode(file, data, catalog.Knobs())
	return err
}

// addPlatform leaves p.platform nil when no address is set.
func (r *Router) addPlatform(p *parts) {
	s := &r.Settings.Platform
	if !s.Address.IsValid() {
		return
	}
	p.platform = &platform.Client{
		Address:         s.Address,
		Network:         r.Network,
		Timeout:         time.Duration(s.Timeout),
		ReadsPerSecond:  s.ReadsPerSecond,
		WritesPerSecond: s.WritesPerSecond,
		Policy:          p.config,
		Metrics:         r.Metrics,
	}
	p.watcher = &mirror.Watcher{
		Platform: p.platform,
		Set:      p.objects,
		Policy:   p.config,
		Metrics:  r.Metrics,
		Log:      r.Log.Named("watcher"),
		Chosen:   func() bool { return p.peers.Chosen() },
		Spread:   func(u []mirror.Update) { p.peers.Spread(u) },
	}
}

func (r *Router) addDirectory(p *parts) {
	p.directory = &membership.Directory{
		Record:  p.self,
		Objects: p.objects,
		Config:  p.config,
		Alive:   func() []hbs.Instance { return p.peers.Alive() },
		Chosen:  func() bool { return p.peers.Chosen() },
		Network: r.Network,
		Policy:  p.config,
		Metrics: r.Metrics,
		Log:     r.Log.Named("membership"),
		Rand:    rand.New(rand.NewPCG(r.Seed, streamDirectory)),
	}
	if p.platform != nil {
		p.directory.Platform = p.platform
	}
}

func (r *Router) addPlacement(p *parts) (err error) {
	var chosen hbs.Placer
	if r.Placement == FleetPolicy {
		p.fleet = &placement.Fleet{
			Directory: p.directory,
			Policy:    p.config,
			Self:      p.self,
			Network:   r.Network,
			Metrics:   r.Metrics,
			Seed:      r.Seed ^ streamPlacement,
			Log:       r.Log.Named("placement"),
			Scope:     r.Scope,
		}
		chosen = p.fleet
	} else {
		baseline := &placement.Baseline{Directory: p.directory, Self: p.self, Seed: r.Seed ^ streamPlacement}
		if chosen, err = placement.NewBaseline(r.Placement, baseline); err != nil {
			return err
		}
	}
	p.work = &drain.Work{Self: p.self.ID, Directory: p.directory}
	p.placer = p.work.Placer(&witness{Placer: chosen, directory: p.directory})
	return nil
}

func (r *Router) addRequestPath(p *parts) {
	p.dispatcher = &dispatch.Dispatcher{
		Placer:    p.placer,
		Directory: p.directory,
		Policy:    p.config,
		Network:   r.Network,
		Metrics:   r.Metrics,
		Log:       r.Log.Named("dispatch"),
		Weight:    func(id hbs.WorkspaceID) float64 { return weight(p.config.Config(), id) },
	}
	p.limiter = &limit.Limiter{
		Bounds:    func(id hbs.WorkspaceID) limit.Bounds { return bounds(p.config.Config(), id) },
		Self:      p.self.ID,
		Chosen:    func() bool { return p.peers.Chosen() },
		Directory: p.directory,
		Policy:    p.config,
		Metrics:   r.Metrics,
		Ask: func(ctx context.Context, to hbs.Instance, data []byte) ([]byte, error) {
			return p.peers.Ask(ctx, to, data)
		},
	}
	p.claims = &claim.Store{
		Self:      p.self,
		Directory: p.directory,
		Policy:    p.config,
		Metrics:   r.Metrics,
		Log:       r.Log.Named("claims"),
		Platform:  noPlatform{},
	}
	if p.platform != nil {
		p.claims.Platform = p.platform
	}
	p.tracker = &burn.Tracker{
		Instance:   p.self.ID,
		Objectives: func() []burn.Objective { return p.config.Config().Objectives },
	}
	p.entry = &entry.Handler{
		Config:       p.config,
		Directory:    p.directory,
		Limiter:      p.limiter,
		Claims:       p.claims,
		Dispatcher:   p.dispatcher,
		Tracker:      p.tracker,
		Cutter:       prompt.Cutter{},
		MaxBodyBytes: r.Settings.Listen.MaxBodyBytes,
		BodyWait:     time.Duration(r.Settings.Listen.BodyWait),
		WriteWait:    time.Duration(r.Settings.Listen.WriteWait),
		Metrics:      r.Metrics,
		Log:          r.Log.Named("entry"),
	}
}

// start starts the duties of all parts.
func (p *parts) start(work *pool.ContextPool) {
	duties := []func(context.Context) error{
		p.config.Run, p.directory.Run, p.peers.Run, p.limiter.Run, p.dispatcher.Run,
	}
	if p.platform != nil {
		duties = append(duties, p.platform.Run, p.watcher.Run, p.claims.Run, p.lease.Run, p.rollout.Run)
	}
	if p.fleet != nil {
		duties = append(duties, p.fleet.Run)
	}
	for _, run := range duties {
		work.Go(run)
	}
}

// weight returns a workspace's share in fair queueing.
func weight(cfg *config.Config, id hbs.WorkspaceID) float64 {
	w := cfg.Workspace(id)
	if w == nil {
		return 1
	}
	return w.Weight
}

// bounds returns the limits of a workspace; none for one that is not known.
func bounds(cfg *config.Config, id hbs.WorkspaceID) limit.Bounds {
	w := cfg.Workspace(id)
	if w == nil {
		return limit.Bounds{}
	}
	return limit.Bounds{RequestsPerSecond: w.Limits.RequestsPerSecond, Concurrency: w.Limits.Concurrency}
}
