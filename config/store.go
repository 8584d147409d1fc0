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
)

// Store keeps the configuration in force on this instance and implements
// hornbeamstage.Policy.
//
// Of the exceptions for a knob that match a scope, the one that names the most
// fields of the scope wins; among equals, one with the workspace goes before
// one with the model, then the service, then the domain. An exception matches
// when every field it names has the scope's value. Without one the fleet's
// default applies, and without that the built-in default.
//
// The objects it is built from are adopted only forward (package mirror), so
// no item reverts. The floor is in force only while no object is known.
type Store struct {
	// Objects holds the configuration's objects; not nil.
	Objects *mirror.Set
	// Knobs are all known knobs with their built-in defaults.
	Knobs []hbs.Knob
	// Floor is in force until any object is known; nil for none.
	Floor   *Config
	Metrics metrics.Registry
	Log     *zap.Logger

	mu      sync.Mutex
	items   *mirror.Records[*Config]
	faulty  int
	state   atomic.Pointer[state]
	changed chan struct{}
}

// state is an immutable snapshot.
type state struct {
	cfg      *Config
	revision hbs.Revision
	version  uint64
	floor    bool
	knobs    map[hbs.KnobKey]hbs.Knob
	// values are the fleet's defaults over the built-in ones.
	values     map[hbs.KnobKey]float64
	defaulted  map[hbs.KnobKey]bool
	exceptions map[hbs.KnobKey][]Exception
	keys       keyTable
}

// Layer is what set a knob's value.
type Layer string

// The layers, from weakest to strongest.
const (
	LayerBuiltIn   Layer = "built_in"
	LayerDefault   Layer = "default"
	LayerException Layer = "exception"
)

// Explanation tells where a value comes from.
type Explanation struct {
	Knob  hbs.Knob `json:"knob"`
	Value float64  `json:"value"`
	Layer Layer    `json:"layer"`
	// Exception is set when Layer is LayerException.
	Exception *Exception `json:"exception,omitempty"`
}

// Run rebuilds the configuration whenever its objects change.
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

// Config returns the configuration in force, never nil.
func (s *Store) Config() *Config { return s.load().cfg }

// Revision returns the platform's revision of the configuration in force; zero
// for the floor.
func (s *Store) Revision() hbs.Revision { return s.load().revision }

// Floored reports whether the floor is in force.
func (s *Store) Floored() bool { return s.load().floor }

// Workspace returns the workspace of a bearer key.
func (s *Store) Workspace(key string) (hbs.WorkspaceID, bool) { return s.load().keys.find(key) }

// Changed returns a channel that is closed when another configuration comes
// into force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Number implements hornbeamstage.Policy.
func (s *Store) Number(key hbs.KnobKey, scope hbs.Scope) float64 {
	return s.load().number(key, scope)
}

// Duration implements hornbeamstage.Policy.
func (s *Store) Duration(key hbs.KnobKey, scope hbs.Scope) time.Duration {
	return time.Duration(s.Number(key, scope) * float64(time.Second))
}

// Explain tells a knob's value and the layer that set it; false when the knob
// is not known.
func (s *Store) Explain(key hbs.KnobKey, scope hbs.Scope) (Explanation, bool) {
	st := s.load()
	_, known := st.knobs[key]
	return st.explain(key, scope), known
}

func (s *Store) load() *state {
	if st := s.state.Load(); st != nil {
		return st
	}
	s.Rebuild()
	return s.state.Load()
}

// Rebuild brings the objects into force that were adopted since. Run does it at
// every change.
func (s *Store) Rebuild() {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.Objects.Version(hbs.ObjectConfiguration)
	if old := s.state.Load(); old != nil && old.version == version {
		return
	}
	st := s.build(s.Objects.Revision(hbs.ObjectConfiguration))
	st.version = version
	s.state.Store(st)
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Store) build(revision hbs.Revision) *state {
	if revision == 0 {
		cfg := s.Floor
		if cfg == nil {
			cfg = &Config{}
		}
		return newState(cfg, 0, s.Knobs)
	}
	cfg, faulty := s.read()
	s.Metrics.GetOrRegister(meterFaulty, metrics.NewGauge).(metrics.Gauge).Update(int64(faulty))
	s.Metrics.GetOrRegister(meterRevision, metrics.NewGauge).(metrics.Gauge).Update(int64(revision))
	return newState(cfg, revision, s.Knobs)
}

// read joins the items, of which only those that changed are decoded.
func (s *Store) read() (cfg *Config, faulty int) {
	if s.items == nil {
		d := newItemDecoder(s.Knobs)
		s.items = &mirror.Records[*Config]{Set: s.Objects, Kind: hbs.ObjectConfiguration, Decode: d.decode}
	}
	list, faulty := s.items.Read()
	cfg = &Config{}
	for _, r := range list {
		cfg.append(r.Value)
	}
	if faulty != s.faulty {
		s.Log.Warn("configuration items left out", zap.Int("items", faulty))
	}
	s.faulty = faulty
	return cfg, faulty
}

// Explain tells a knob's value in c without a store.
func (c *Config) Explain(key hbs.KnobKey, scope hbs.Scope, knobs []hbs.Knob) (Explanation, bool) {
	st := newState(c, 0, knobs)
	_, known := st.knobs[key]
	return st.explain(key, scope), known
}

func newState(cfg *Config, revision hbs.Revision, knobs []hbs.Knob) *state {
	st := &state{
		cfg:        cfg,
		revision:   revision,
		floor:      revision == 0,
		knobs:      map[hbs.KnobKey]hbs.Knob{},
		values:     map[hbs.KnobKey]float64{},
		defaulted:  map[hbs.KnobKey]bool{},
		exceptions: map[hbs.KnobKey][]Exception{},
		keys:       newKeyTable(cfg.Workspaces),
	}
	for _, k := range knobs {
		st.knobs[k.Key] = k
		st.values[k.Key] = k.Default
	}
	for _, d := range cfg.Defaults {
		st.values[d.Knob] = d.Value
		st.defaulted[d.Knob] = true
	}
	for _, e := range cfg.Exceptions {
		st.exceptions[e.Knob] = append(st.exceptions[e.Knob], e)
	}
	for _, list := range st.exceptions {
		slices.SortStableFunc(list, func(a, b Exception) int { return cmp.Compare(b.rank(), a.rank()) })
	}
	return st
}

// number is explain for the request path.
func (st *state) number(key hbs.KnobKey, scope hbs.Scope) float64 {
	if e := st.exception(key, scope); e != nil {
		return e.Value
	}
	return st.values[key]
}

// exception returns the most specific one that applies, or nil.
func (st *state) exception(key hbs.KnobKey, scope hbs.Scope) *Exception {
	list := st.exceptions[key]
	for i := range list {
		if list[i].applies(scope) {
			return &list[i]
		}
	}
	return nil
}

func (st *state) explain(key hbs.KnobKey, scope hbs.Scope) Explanation {
	x := Explanation{Knob: st.knobs[key], Value: st.number(key, scope), Layer: LayerBuiltIn}
	if x.Exception = st.exception(key, scope); x.Exception != nil {
		x.Layer = LayerException
	} else if st.defaulted[key] {
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

// rank orders exceptions from general to specific.
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
