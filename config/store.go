package config

import (
	"cmp"
	"context"
	"math/bits"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/notification"
)

// Store holds the current configuration of this instance and implements
// hornbeamstage.Policy.
//
// An exception matches a scope if every field that it sets equals the scope's.
// Of the exceptions for a knob that match, the one with the most fields set wins;
// on a tie, workspace takes precedence over model, then service, then domain. If
// none matches, the fleet's default applies, else the built-in default.
//
// The underlying set ignores older revisions of an object (package mirror), so no
// item reverts. The floor is used only until the first object is received.
type Store struct {
	// Objects contains the configuration's objects; not nil.
	Objects *mirror.Set
	// Knobs are all knobs with their built-in defaults.
	Knobs []hbs.Knob
	// Floor is the fallback configuration that is used until the first object is
	// received; nil stands for an empty one.
	Floor   *Config
	Metrics metrics.Registry
	Log     *zap.Logger

	mu       sync.Mutex
	records  *mirror.RecordCache[*Config]
	rejected int
	current  atomic.Pointer[snapshot]
	changed  notification.Signal
}

// snapshot is an immutable configuration with its lookup tables.
type snapshot struct {
	cfg      *Config
	revision hbs.Revision
	// version is the set's version of the configuration objects; a change of it
	// means that the snapshot is out of date.
	version uint64
	floor   bool
	knobs   map[hbs.KnobKey]hbs.Knob
	// fleetValues has each knob's value without exceptions: the fleet's default if
	// hasDefault is set, else the built-in default.
	fleetValues map[hbs.KnobKey]float64
	hasDefault  map[hbs.KnobKey]bool
	exceptions  map[hbs.KnobKey][]Exception
	keys        keyTable
}

// Layer identifies the source of a knob's value.
type Layer string

// The layers, from lowest to highest precedence.
const (
	LayerBuiltIn   Layer = "built_in"
	LayerDefault   Layer = "default"
	LayerException Layer = "exception"
)

// Explanation is a knob's value and its source.
type Explanation struct {
	Knob  hbs.Knob `json:"knob"`
	Value float64  `json:"value"`
	Layer Layer    `json:"layer"`
	// Exception is set when Layer is LayerException.
	Exception *Exception `json:"exception,omitempty"`
}

// Run rebuilds the configuration whenever its objects change, until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	for {
		changed := s.Objects.Changed()
		s.Rebuild()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Config returns the current configuration, never nil.
func (s *Store) Config() *Config { return s.load().cfg }

// Revision returns the platform's revision of the current configuration; zero for
// the floor.
func (s *Store) Revision() hbs.Revision { return s.load().revision }

// UsesFloor reports whether the floor is the current configuration.
func (s *Store) UsesFloor() bool { return s.load().floor }

// Workspace returns the workspace that a bearer key belongs to.
func (s *Store) Workspace(key string) (hbs.WorkspaceID, bool) { return s.load().keys.find(key) }

// Changed returns a channel that is closed when the configuration is replaced.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed.Next()
}

// Number implements hornbeamstage.Policy.
func (s *Store) Number(key hbs.KnobKey, scope hbs.Scope) float64 {
	return s.load().number(key, scope)
}

// Duration implements hornbeamstage.Policy.
func (s *Store) Duration(key hbs.KnobKey, scope hbs.Scope) time.Duration {
	return time.Duration(s.Number(key, scope) * float64(time.Second))
}

// Explain returns a knob's value and the layer that set it, and whether the knob
// exists.
func (s *Store) Explain(key hbs.KnobKey, scope hbs.Scope) (Explanation, bool) {
	snap := s.load()
	_, known := snap.knobs[key]
	return snap.explain(key, scope), known
}

func (s *Store) load() *snapshot {
	if snap := s.current.Load(); snap != nil {
		return snap
	}
	s.Rebuild()
	return s.current.Load()
}

// Rebuild replaces the configuration if objects were adopted since the last call.
// Run calls it after every change.
func (s *Store) Rebuild() {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.Objects.Version(hbs.ObjectConfiguration)
	if old := s.current.Load(); old != nil && old.version == version {
		return
	}
	snap := s.build(s.Objects.Revision(hbs.ObjectConfiguration))
	snap.version = version
	s.current.Store(snap)
	s.changed.Send()
}

func (s *Store) build(revision hbs.Revision) *snapshot {
	if revision == 0 {
		cfg := s.Floor
		if cfg == nil {
			cfg = &Config{}
		}
		return newSnapshot(cfg, 0, s.Knobs)
	}
	cfg, rejected := s.readItems()
	s.Metrics.GetOrRegister(meterItemsLeftOut, metrics.NewGauge).(metrics.Gauge).Update(int64(rejected))
	s.Metrics.GetOrRegister(meterRevision, metrics.NewGauge).(metrics.Gauge).Update(int64(revision))
	return newSnapshot(cfg, revision, s.Knobs)
}

// readItems merges all items into one configuration and counts the rejected ones.
// It decodes only the items that changed.
func (s *Store) readItems() (cfg *Config, rejected int) {
	if s.records == nil {
		d := newItemDecoder(s.Knobs)
		s.records = &mirror.RecordCache[*Config]{Set: s.Objects, Kind: hbs.ObjectConfiguration, Decode: d.decode}
	}
	list, rejected := s.records.Read()
	cfg = &Config{}
	for _, r := range list {
		cfg.merge(r.Value)
	}
	if rejected != s.rejected {
		s.Log.Warn("skipped invalid configuration items", zap.Int("items", rejected))
	}
	s.rejected = rejected
	return cfg, rejected
}

// Explain is Store.Explain for a configuration without a store.
func (c *Config) Explain(key hbs.KnobKey, scope hbs.Scope, knobs []hbs.Knob) (Explanation, bool) {
	snap := newSnapshot(c, 0, knobs)
	_, known := snap.knobs[key]
	return snap.explain(key, scope), known
}

func newSnapshot(cfg *Config, revision hbs.Revision, knobs []hbs.Knob) *snapshot {
	snap := &snapshot{
		cfg:         cfg,
		revision:    revision,
		floor:       revision == 0,
		knobs:       map[hbs.KnobKey]hbs.Knob{},
		fleetValues: map[hbs.KnobKey]float64{},
		hasDefault:  map[hbs.KnobKey]bool{},
		exceptions:  map[hbs.KnobKey][]Exception{},
		keys:        newKeyTable(cfg.Workspaces),
	}
	for _, k := range knobs {
		snap.knobs[k.Key] = k
		snap.fleetValues[k.Key] = k.Default
	}
	for _, d := range cfg.Defaults {
		snap.fleetValues[d.Knob] = d.Value
		snap.hasDefault[d.Knob] = true
	}
	for _, e := range cfg.Exceptions {
		snap.exceptions[e.Knob] = append(snap.exceptions[e.Knob], e)
	}
	for _, list := range snap.exceptions {
		slices.SortStableFunc(list, func(a, b Exception) int { return cmp.Compare(b.rank(), a.rank()) })
	}
	return snap
}

// number returns a knob's value without building an Explanation, since it is
// called on the request path.
func (snap *snapshot) number(key hbs.KnobKey, scope hbs.Scope) float64 {
	if e := snap.exception(key, scope); e != nil {
		return e.Value
	}
	return snap.fleetValues[key]
}

// exception returns the most specific exception that applies to scope, or nil.
func (snap *snapshot) exception(key hbs.KnobKey, scope hbs.Scope) *Exception {
	list := snap.exceptions[key]
	for i := range list {
		if list[i].applies(scope) {
			return &list[i]
		}
	}
	return nil
}

func (snap *snapshot) explain(key hbs.KnobKey, scope hbs.Scope) Explanation {
	x := Explanation{Knob: snap.knobs[key], Value: snap.number(key, scope), Layer: LayerBuiltIn}
	if x.Exception = snap.exception(key, scope); x.Exception != nil {
		x.Layer = LayerException
	} else if snap.hasDefault[key] {
		x.Layer = LayerDefault
	}
	return x
}

func (e *Exception) applies(s hbs.Scope) bool {
	switch {
	case e.Workspace != "" && e.Workspace != s.Workspace,
		e.Model != "" && e.Model != s.Model,
		e.Service != "" && e.Service != s.Service,
		e.Domain != "" && e.Domain != s.Domain:
		return false
	}
	return e.Expires.IsZero() || time.Now().Before(e.Expires)
}

// rank grows with the number of fields that e sets. The lower bits break ties in
// the order of precedence that Store documents.
func (e *Exception) rank() uint {
	const fields = 4
	var mask uint
	for _, named := range []bool{e.Workspace != "", e.Model != "", e.Service != "", e.Domain != ""} {
		mask <<= 1
		if named {
			mask |= 1
		}
	}
	return uint(bits.OnesCount(mask))<<fields | mask
}
