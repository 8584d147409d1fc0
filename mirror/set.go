package mirror

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/notification"
)

// tombstoneTTL must exceed the longest partition between regions (rule 3).
const tombstoneTTL = time.Hour

// collectionsPerTTL is how many times within tombstoneTTL old tombstones are
// collected.
const collectionsPerTTL = 60

// Set is one instance's copy of the mirrored objects. The zero value is empty and
// ready to use; its methods are safe for concurrent use.
type Set struct {
	// Region is the instance's region. If it is not empty, the set also stores the
	// region's endpoints as a separate kind (rule 5). It must not change.
	Region hbs.RegionName
	// RegionOnly leaves out the endpoints of other regions except the spares (rule
	// 6). It requires Region and must not change.
	RegionOnly bool

	mu sync.Mutex
	// kinds are the kinds that the set stores, and summaries has one for each in
	// the same order.
	kinds   []hbs.ObjectKind
	entries map[objectKey]*entry
	// summaries are updated with every adoption because each heartbeat compares
	// them.
	summaries []Summary
	// versions counts the adopted updates of each kind.
	versions map[hbs.ObjectKind]uint64
	// lastCollection is when old tombstones were last dropped.
	lastCollection time.Time
	changed        notification.Signal
}

type objectKey struct {
	kind hbs.ObjectKind
	name string
}

type entry struct {
	Update
	// adoptedAt determines when a tombstone has expired.
	adoptedAt time.Time
}

// Summary is used to compare two sets without exchanging their contents.
type Summary struct {
	Kind hbs.ObjectKind `json:"kind" cbor:"1,keyasint"`
	// Revision is the highest revision of the kind's updates, deletions included; 0
	// when there is none. It never decreases.
	Revision hbs.Revision `json:"revision" cbor:"2,keyasint"`
	// Digest is the exclusive or of the hashes of the updates that are not
	// deletions.
	Digest uint64 `json:"digest" cbor:"3,keyasint"`
}

// ObjectRevision identifies one update that a set stores.
type ObjectRevision struct {
	Name     string       `json:"name" cbor:"1,keyasint"`
	Revision hbs.Revision `json:"revision" cbor:"2,keyasint"`
	Deleted  bool         `json:"deleted,omitempty" cbor:"3,keyasint,omitempty"`
}

// Adopt stores those of the updates that supersede the stored ones (rules 1 and 2)
// and returns them.
func (s *Set) Adopt(updates []Update) (adopted []Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	now := time.Now()
	for _, u := range updates {
		stored := s.adopt(&u, now)
		if other, ok := s.counterpart(&u); ok {
			stored = s.adopt(&other, now) || stored
		}
		if stored {
			adopted = append(adopted, u)
		}
	}
	if len(adopted) > 0 {
		s.changed.Send()
	}
	return adopted
}

// adopt stores u if the set stores its kind and u supersedes the object's stored
// update, if there is one, and reports whether it did.
func (s *Set) adopt(u *Update, now time.Time) bool {
	if !slices.Contains(s.kinds, u.Kind) {
		return false
	}
	key := objectKey{u.Kind, u.Name}
	old, known := s.entries[key]
	if known && !u.supersedes(&old.Update) {
		return false
	}
	s.entries[key] = &entry{*u, now}
	s.versions[u.Kind]++
	s.updateSummary(old, u)
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
	storedKind := kind
	if kind == hbs.ObjectEndpoint {
		storedKind = s.EndpointKind()
	}
	for _, u := range s.List(storedKind) {
		if !listed[u.Name] && u.Revision <= rev {
			updates = append(updates, Update{Kind: kind, Name: u.Name, Revision: rev, Deleted: true})
		}
	}
	return s.Adopt(updates)
}

// Get returns the object and whether it exists and is not deleted.
func (s *Set) Get(kind hbs.ObjectKind, name string) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[objectKey{kind, name}]
	if !ok || e.Deleted {
		return Update{}, false
	}
	return e.Update, true
}

// List returns the objects of kind that are not deleted, sorted by name.
func (s *Set) List(kind hbs.ObjectKind) []Update {
	return s.filter(kind, func(e *entry) bool { return !e.Deleted })
}

// Summaries returns one summary for each kind that the set stores.
func (s *Set) Summaries() []Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return slices.Clone(s.summaries)
}

// Summary returns the summary of kind, which the set must store.
func (s *Set) Summary(kind hbs.ObjectKind) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.summaries[slices.Index(s.kinds, kind)]
}

// updateSummary updates the summary when u replaces old, which may be nil.
func (s *Set) updateSummary(old *entry, u *Update) {
	sum := &s.summaries[slices.Index(s.kinds, u.Kind)]
	sum.Revision = max(sum.Revision, u.Revision)
	if old != nil && !old.Deleted {
		sum.Digest ^= hash(&old.Update)
	}
	if !u.Deleted {
		sum.Digest ^= hash(u)
	}
}

// ObjectRevisions returns the name and revision of each update of kind in the
// set, deletions included.
func (s *Set) ObjectRevisions(kind hbs.ObjectKind) []ObjectRevision {
	var held []ObjectRevision
	for _, u := range s.filter(kind, func(*entry) bool { return true }) {
		held = append(held, ObjectRevision{u.Name, u.Revision, u.Deleted})
	}
	return held
}

// Missing returns the updates of kind that another set, which has held, lacks (rule
// 4).
func (s *Set) Missing(kind hbs.ObjectKind, held []ObjectRevision) []Update {
	heldByName := make(map[string]ObjectRevision, len(held))
	for _, h := range held {
		heldByName[h.Name] = h
	}
	return s.filter(kind, func(e *entry) bool {
		h, ok := heldByName[e.Name]
		return !ok || e.supersedes(&Update{Revision: h.Revision, Deleted: h.Deleted})
	})
}

// Changed returns a channel that is closed at the next adoption.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed.Next()
}

// filter returns the updates of kind that include accepts, sorted by name.
func (s *Set) filter(kind hbs.ObjectKind, include func(*entry) bool) []Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldTombstones()
	var us []Update
	for key, e := range s.entries {
		if key.kind == kind && include(e) {
			us = append(us, e.Update)
		}
	}
	slices.SortFunc(us, func(a, b Update) int { return strings.Compare(a.Name, b.Name) })
	return us
}

// dropOldTombstones drops tombstones older than tombstoneTTL (rule 3). It visits
// all entries, so it does nothing if the last collection was recent.
func (s *Set) dropOldTombstones() {
	if time.Since(s.lastCollection) < tombstoneTTL/collectionsPerTTL {
		return
	}
	s.lastCollection = time.Now()
	for key, e := range s.entries {
		if e.Deleted && time.Since(e.adoptedAt) > tombstoneTTL {
			delete(s.entries, key)
		}
	}
}

func (s *Set) init() {
	if s.entries == nil {
		s.entries = map[objectKey]*entry{}
		s.kinds = s.Kinds()
		for _, kind := range s.kinds {
			s.summaries = append(s.summaries, Summary{Kind: kind})
		}
		s.versions = map[hbs.ObjectKind]uint64{}
	}
}

// hash identifies an update by its name and revision.
func hash(u *Update) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(u.Name+"\x00"), uint64(u.Revision))
	return xxhash.Sum64(b)
}

// Revision returns the highest adopted revision of kind, deletions included.
func (s *Set) Revision(kind hbs.ObjectKind) hbs.Revision { return s.Summary(kind).Revision }

// Version returns a number that changes whenever an object of kind does. Unlike
// Revision it also changes when an update arrives after a newer one of another
// object.
func (s *Set) Version(kind hbs.ObjectKind) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[kind]
}

// Newer returns the updates of kind with a revision above since, deletions
// included.
func (s *Set) Newer(kind hbs.ObjectKind, since hbs.Revision) []Update {
	return s.filter(kind, func(e *entry) bool { return e.Revision > since })
}
