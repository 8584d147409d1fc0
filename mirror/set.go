package mirror

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// tombstoneLife is longer than regions lose each other for.
const tombstoneLife = time.Hour

// collections is how often in that time old deletions are looked for.
const collections = 60

// Set is the copy of the mirrored objects on one instance. The zero value is
// empty and ready to use; its methods are safe for concurrent use.
type Set struct {
	// Region is the instance's own. When it is not empty, the set keeps the
	// region's endpoints as a kind of their own (rule 5). It does not change.
	Region hbs.RegionName
	// Part leaves out the endpoints of other regions but for the spares (rule
	// 6). It needs Region and does not change.
	Part bool

	mu sync.Mutex
	// kinds are those that the set keeps; summaries has one for each.
	kinds   []hbs.ObjectKind
	entries map[id]*entry
	// summaries are kept up with every adoption, for each heartbeat compares them.
	summaries []Summary
	// versions counts the adoptions of each kind.
	versions map[hbs.ObjectKind]uint64
	// collected is when old deletions were last dropped.
	collected time.Time
	changed   chan struct{}
}

type id struct {
	kind hbs.ObjectKind
	name string
}

type entry struct {
	Update
	// adopted is when the update was taken in; it dates tombstones.
	adopted time.Time
}

// Summary tells two sets apart without their contents.
type Summary struct {
	Kind hbs.ObjectKind `json:"kind" cbor:"1,keyasint"`
	// Revision is the highest of the kind's updates, deletions included; 0 when
	// there is none. It never falls.
	Revision hbs.Revision `json:"revision" cbor:"2,keyasint"`
	// Digest is the exclusive or of the live updates' hashes.
	Digest uint64 `json:"digest" cbor:"3,keyasint"`
}

// Held names one update that a set holds.
type Held struct {
	Name     string       `json:"name" cbor:"1,keyasint"`
	Revision hbs.Revision `json:"revision" cbor:"2,keyasint"`
	Deleted  bool         `json:"deleted,omitempty" cbor:"3,keyasint,omitempty"`
}

// Adopt takes the updates that stand in (rules 1 and 2) and returns them.
func (s *Set) Adopt(updates []Update) (adopted []Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	now := time.Now()
	for _, u := range updates {
		took := s.store(&u, now)
		if twin, ok := s.twin(&u); ok {
			took = s.store(&twin, now) || took
		}
		if took {
			adopted = append(adopted, u)
		}
	}
	if len(adopted) > 0 {
		s.notify()
	}
	return adopted
}

// store keeps u if its kind is kept and it stands, and reports that.
func (s *Set) store(u *Update, now time.Time) bool {
	if !slices.Contains(s.kinds, u.Kind) {
		return false
	}
	key := id{u.Kind, u.Name}
	old, known := s.entries[key]
	if known && !u.stands(&old.Update) {
		return false
	}
	s.entries[key] = &entry{*u, now}
	s.versions[u.Kind]++
	s.summarize(old, u)
	return true
}

// Replace adopts a full listing of kind at rev (rule 3).
func (s *Set) Replace(kind hbs.ObjectKind, objs []hbs.Object, rev hbs.Revision) (adopted []Update) {
	updates := make([]Update, 0, len(objs))
	listed := make(map[string]bool, len(objs))
	for _, obj := range objs {
		updates = append(updates, NewUpdate(obj))
		listed[obj.Name] = true
	}
	held := kind
	if kind == hbs.ObjectEndpoint {
		held = s.EndpointKind()
	}
	for _, u := range s.List(held) {
		if !listed[u.Name] && u.Revision <= rev {
			updates = append(updates, Update{Kind: kind, Name: u.Name, Revision: rev, Deleted: true})
		}
	}
	return s.Adopt(updates)
}

// Get returns the live object, or false.
func (s *Set) Get(kind hbs.ObjectKind, name string) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id{kind, name}]
	if !ok || e.Deleted {
		return Update{}, false
	}
	return e.Update, true
}

// List returns the live objects of kind, sorted by name.
func (s *Set) List(kind hbs.ObjectKind) []Update {
	return s.collect(kind, func(e *entry) bool { return !e.Deleted })
}

// Summaries returns one summary for each kind that the set keeps.
func (s *Set) Summaries() []Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return slices.Clone(s.summaries)
}

// Summary returns the summary of kind, which the set keeps.
func (s *Set) Summary(kind hbs.ObjectKind) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.summaries[slices.Index(s.kinds, kind)]
}

// summarize replaces old, which may be nil, by u in the summary.
func (s *Set) summarize(old *entry, u *Update) {
	sum := &s.summaries[slices.Index(s.kinds, u.Kind)]
	sum.Revision = max(sum.Revision, u.Revision)
	if old != nil && !old.Deleted {
		sum.Digest ^= hash(&old.Update)
	}
	if !u.Deleted {
		sum.Digest ^= hash(u)
	}
}

// Holds returns what the set holds of kind, deletions included.
func (s *Set) Holds(kind hbs.ObjectKind) []Held {
	var held []Held
	for _, u := range s.collect(kind, func(*entry) bool { return true }) {
		held = append(held, Held{u.Name, u.Revision, u.Deleted})
	}
	return held
}

// Missing returns the updates of kind that stand over those held elsewhere
// (rule 4).
func (s *Set) Missing(kind hbs.ObjectKind, held []Held) []Update {
	there := make(map[string]Held, len(held))
	for _, h := range held {
		there[h.Name] = h
	}
	return s.collect(kind, func(e *entry) bool {
		h, ok := there[e.Name]
		return !ok || e.stands(&Update{Revision: h.Revision, Deleted: h.Deleted})
	})
}

// Changed returns a channel that is closed at the next adoption.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.changed
}

func (s *Set) collect(kind hbs.ObjectKind, wanted func(*entry) bool) []Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectGarbage()
	var us []Update
	for key, e := range s.entries {
		if key.kind == kind && wanted(e) {
			us = append(us, e.Update)
		}
	}
	slices.SortFunc(us, func(a, b Update) int { return strings.Compare(a.Name, b.Name) })
	return us
}

// collectGarbage drops old deletions (rule 3). It looks at all entries, so not
// at every call.
func (s *Set) collectGarbage() {
	if time.Since(s.collected) < tombstoneLife/collections {
		return
	}
	s.collected = time.Now()
	for key, e := range s.entries {
		if e.Deleted && time.Since(e.adopted) > tombstoneLife {
			delete(s.entries, key)
		}
	}
}

func (s *Set) init() {
	if s.entries == nil {
		s.entries = map[id]*entry{}
		s.kinds = s.Kinds()
		for _, kind := range s.kinds {
			s.summaries = append(s.summaries, Summary{Kind: kind})
		}
		s.versions = map[hbs.ObjectKind]uint64{}
		s.changed = make(chan struct{})
	}
}

func (s *Set) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func hash(u *Update) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(u.Name+"\x00"), uint64(u.Revision))
	return xxhash.Sum64(b)
}

// Revision returns the highest revision adopted of kind, deletions included.
func (s *Set) Revision(kind hbs.ObjectKind) hbs.Revision { return s.Summary(kind).Revision }

// Version changes whenever an object of kind does. Unlike the revision it also
// tells when an older update of another object comes in later.
func (s *Set) Version(kind hbs.ObjectKind) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[kind]
}

// Newer returns the updates of kind above since.
func (s *Set) Newer(kind hbs.ObjectKind, since hbs.Revision) []Update {
	return s.collect(kind, func(e *entry) bool { return e.Revision > since })
}
