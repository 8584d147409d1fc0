package router

import (
	"context"
	"math/rand/v2"
	"os"
	"runtime/debug"
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
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/peer"
	"github.com/hornbeamstage/hornbeamstage/placement"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/prompt"
	"github.com/hornbeamstage/hornbeamstage/settings"
	"github.com/hornbeamstage/hornbeamstage/weights"
)

// Values that give each component its own random sequence, although all are derived
// from Router.Seed.
const (
	randStreamDirectory = iota + 1
	randStreamPeers
	randStreamPlacement
)

// incarnationBase is the number base in which the start time, in nanoseconds, is
// written as the incarnation. An instance never starts twice in one nanosecond, so
// incarnations are unique.
const incarnationBase = 36

// components holds the connected components of one instance.
type components struct {
	self hbs.Instance
	// memory bounds what clients of the listeners take.
	memory    *memory.Budget
	objects   *mirror.Set
	config    *config.Store
	platform  *platform.Client
	watcher   *mirror.Watcher
	directory *membership.Directory
	peers     *peer.Server
	// work counts the attempts in flight that placer has placed.
	work   *drain.Tracker
	placer hbs.Placer
	// fleet is nil when a baseline policy is used for placement.
	fleet      *placement.Placer
	dispatcher *dispatch.Dispatcher
	limiter    *limit.Limiter
	claims     *claim.Store
	tracker    *burn.Tracker
	entry      *entry.Handler
	// lease and rollout are nil without a platform.
	lease   *lease.Holder
	rollout *weights.Rollout
}

// assemble builds the components in the order of their dependencies.
func (r *Router) assemble() (c *components, err error) {
	defer func() { err = errors.Wrap(err, "assemble instance") }()
	bytes := r.Settings.Listen.MemoryBytes
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memory.RuntimeShare * float64(bytes)))
	}
	c = &components{self: r.Settings.Self(), memory: memory.NewMachineBudget(memory.Machine{Bytes: bytes})}
	c.memory.Observe(r.Metrics, r.Log.Named("memory"))
	c.objects = &mirror.Set{Region: c.self.Region, RegionOnly: r.Settings.Instance.Holds == settings.ScopeRegion}
	c.self.Incarnation = hbs.Incarnation(strconv.FormatInt(time.Now().UnixNano(), incarnationBase))
	if err := r.addConfig(c); err != nil {
		return nil, err
	}
	r.addPlatform(c)
	r.addDirectory(c)
	if err := r.addPlacement(c); err != nil {
		return nil, err
	}
	r.addRequestPath(c)
	r.addRollout(c)
	r.addPeers(c)
	return c, nil
}

func (r *Router) addConfig(c *components) error {
	c.config = &config.Store{
		Objects: c.objects,
		Knobs:   catalog.Knobs(),
		Metrics: r.Metrics,
		Log:     r.Log.Named("config"),
	}
	floor, err := r.readFloor()
	c.config.Floor = floor
	return err
}

// readFloor reads the floor configuration; nil if the settings name none.
func (r *Router) readFloor() (*config.Config, error) {
	file := r.Settings.Configuration.Floor
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return config.Decode(file, data, catalog.Knobs())
}

// addPlatform adds the platform client and the watcher. Both stay nil when no
// platform address is set.
func (r *Router) addPlatform(c *components) {
	s := &r.Settings.Platform
	if !s.Address.IsValid() {
		return
	}
	c.platform = &platform.Client{
		Address:         s.Address,
		Network:         r.Network,
		Timeout:         time.Duration(s.Timeout),
		ReadsPerSecond:  s.ReadsPerSecond,
		WritesPerSecond: s.WritesPerSecond,
		Policy:          c.config,
		Metrics:         r.Metrics,
		Log:             r.Log.Named("platform"),
	}
	c.watcher = &mirror.Watcher{
		Platform:         c.platform,
		Set:              c.objects,
		Policy:           c.config,
		Metrics:          r.Metrics,
		Log:              r.Log.Named("watcher"),
		IsRepresentative: func() bool { return c.peers.IsRepresentative() },
		Broadcast:        func(u []mirror.Update) { c.peers.Broadcast(u) },
	}
}

func (r *Router) addDirectory(c *components) {
	c.directory = &membership.Directory{
		Record:           c.self,
		Objects:          c.objects,
		Config:           c.config,
		Alive:            func() []hbs.Instance { return c.peers.Alive() },
		IsRepresentative: func() bool { return c.peers.IsRepresentative() },
		Network:          r.Network,
		Policy:           c.config,
		Metrics:          r.Metrics,
		Log:              r.Log.Named("membership"),
		Rand:             rand.New(rand.NewPCG(r.Seed, randStreamDirectory)),
	}
	if c.platform != nil {
		c.directory.Platform = c.platform
	}
}

func (r *Router) addPlacement(c *components) (err error) {
	var policy hbs.Placer
	if r.Placement == FleetPolicy {
		c.fleet = &placement.Placer{
			Directory: c.directory,
			Policy:    c.config,
			Self:      c.self,
			Network:   r.Network,
			Metrics:   r.Metrics,
			Seed:      r.Seed ^ randStreamPlacement,
			Log:       r.Log.Named("placement"),
			Scope:     r.Scope,
		}
		policy = c.fleet
	} else {
		baseline := &placement.Baseline{Directory: c.directory, Self: c.self, Seed: r.Seed ^ randStreamPlacement}
		if policy, err = placement.NewBaseline(r.Placement, baseline); err != nil {
			return err
		}
	}
	c.work = &drain.Tracker{Self: c.self.ID, Directory: c.directory}
	c.placer = c.work.Placer(&reportingPlacer{Placer: policy, directory: c.directory})
	return nil
}

func (r *Router) addRequestPath(c *components) {
	c.dispatcher = &dispatch.Dispatcher{
		Placer:    c.placer,
		Directory: c.directory,
		Policy:    c.config,
		Network:   r.Network,
		Memory:    c.memory,
		Metrics:   r.Metrics,
		Log:       r.Log.Named("dispatch"),
		Weight:    func(id hbs.WorkspaceID) float64 { return workspaceWeight(c.config.Config(), id) },
	}
	c.limiter = &limit.Limiter{
		Limits:           func(id hbs.WorkspaceID) limit.Limits { return workspaceLimits(c.config.Config(), id) },
		Self:             c.self.ID,
		IsRepresentative: func() bool { return c.peers.IsRepresentative() },
		Directory:        c.directory,
		Policy:           c.config,
		Metrics:          r.Metrics,
		SendLoanRequest: func(ctx context.Context, to hbs.Instance, data []byte) ([]byte, error) {
			return c.peers.Ask(ctx, to, data)
		},
	}
	c.claims = &claim.Store{
		Self:      c.self,
		Directory: c.directory,
		Policy:    c.config,
		Metrics:   r.Metrics,
		Log:       r.Log.Named("claims"),
		Platform:  noPlatform{},
	}
	if c.platform != nil {
		c.claims.Platform = c.platform
	}
	c.tracker = &burn.Tracker{
		Instance:   c.self.ID,
		Objectives: func() []burn.Objective { return c.config.Config().Objectives },
	}
	c.entry = &entry.Handler{
		Config:       c.config,
		Directory:    c.directory,
		Limiter:      c.limiter,
		Claims:       c.claims,
		Dispatcher:   c.dispatcher,
		Tracker:      c.tracker,
		Cutter:       prompt.Cutter{},
		MaxBodyBytes: r.Settings.Listen.MaxBodyBytes,
		BodyWait:     time.Duration(r.Settings.Listen.BodyWait),
		WriteWait:    time.Duration(r.Settings.Listen.WriteWait),
		Memory:       c.memory,
		Metrics:      r.Metrics,
		Log:          r.Log.Named("entry"),
	}
}

// start runs the background loops of all components in tasks.
func (c *components) start(tasks *pool.ContextPool) {
	loops := []func(context.Context) error{
		c.config.Run, c.directory.Run, c.peers.Run, c.limiter.Run, c.dispatcher.Run,
	}
	if c.platform != nil {
		loops = append(loops, c.platform.Run, c.watcher.Run, c.claims.Run, c.lease.Run, c.rollout.Run)
	}
	if c.fleet != nil {
		loops = append(loops, c.fleet.Run)
	}
	for _, run := range loops {
		tasks.Go(run)
	}
}

// workspaceWeight returns a workspace's weight in fair queueing; 1 for an unknown
// workspace.
func workspaceWeight(cfg *config.Config, id hbs.WorkspaceID) float64 {
	w := cfg.Workspace(id)
	if w == nil {
		return 1
	}
	return w.Weight
}

// workspaceLimits returns the limits of a workspace; none for an unknown workspace.
func workspaceLimits(cfg *config.Config, id hbs.WorkspaceID) limit.Limits {
	w := cfg.Workspace(id)
	if w == nil {
		return limit.Limits{}
	}
	return limit.Limits{RequestsPerSecond: w.Limits.RequestsPerSecond, Concurrency: w.Limits.Concurrency}
}
