// Package objects is an in-process stand-in of the platform's object API whose
// answers can be lost, refused or late, call by call. It takes part in virtual
// time and needs no connection.
package objects

import (
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Fault is what goes wrong with one call.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultRefused: nothing was done and the client knows (ErrNotApplied).
	FaultRefused Fault = "refused"
	// FaultLost: the call took effect, its answer was lost (ErrUncertain).
	FaultLost Fault = "lost"
	// FaultLate: no answer came, and the call takes effect after Plan.Late.
	FaultLate Fault = "late"
	// FaultNever: no answer came, and the call never takes effect.
	FaultNever Fault = "never"
)

// Op is the kind of a call.
type Op string

// The calls.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// Plan is how one call goes.
type Plan struct {
	Fault Fault
	// Before and After are the times from the call to its effect and from there
	// to the answer.
	Before, After time.Duration
	// Late is the delay of FaultLate.
	Late time.Duration
	// Pause stops the caller after the answer, whatever its context says.
	Pause time.Duration
	// KillBefore and KillAfter end the client's process before or after the
	// effect.
	KillBefore, KillAfter bool
}

// Store is the state that all clients share.
type Store struct {
	mu       sync.Mutex
	revision hbs.Revision
	objects  map[hbs.ObjectKind]map[string]hbs.Object
	log      []hbs.WatchEvent
	changed  chan struct{}
	// oldest is the first revision that a listing can still go on at, and
	// goOn whether a token below it is replaced by one of the newest state.
	oldest hbs.Revision
	goOn   bool
}

// Expire makes the tokens of all listings so far too old. With goOn their
// refusal carries a token for the newest state.
func (s *Store) Expire(goOn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.oldest, s.goOn = s.revision, goOn
}

// Objects returns the stored objects of kind.
func (s *Store) Objects(kind hbs.ObjectKind) []hbs.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]hbs.Object, 0, len(s.objects[kind]))
	for _, obj := range s.objects[kind] {
		all = append(all, obj)
	}
	return all
}

// write applies one conditional write. A nil next deletes.
func (s *Store) write(kind hbs.ObjectKind, name string, condition hbs.Revision, next *hbs.Object) (hbs.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	switch {
	case condition == 0 && ok, condition != 0 && ok && old.Revision != condition:
		return hbs.Object{}, hbs.ErrConflict
	case condition != 0 && !ok:
		return hbs.Object{}, hbs.ErrNotFound
	}
	s.revision++
	if s.objects == nil {
		s.objects = map[hbs.ObjectKind]map[string]hbs.Object{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]hbs.Object{}
	}
	event := hbs.WatchEvent{Deleted: next == nil, Object: old}
	if next == nil {
		delete(s.objects[kind], name)
	} else {
		event.Object = *next
		event.Object.Revision = s.revision
		s.objects[kind][name] = event.Object
	}
	event.Object.Revision = s.revision
	s.tell(event)
	return event.Object, nil
}

func (s *Store) tell(event hbs.WatchEvent) {
	s.log = append(s.log, event)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// since returns the events after rev, and a channel closed at the next one.
func (s *Store) since(kind hbs.ObjectKind, rev hbs.Revision) ([]hbs.WatchEvent, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []hbs.WatchEvent
	for _, e := range s.log {
		if e.Object.Kind == kind && e.Object.Revision > rev {
			events = append(events, e)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return events, s.changed
}
