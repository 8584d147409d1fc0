// Package objects is an in-process stand-in for the platform's object API. Each
// call can be refused, delayed or lose its answer. It needs no connections and
// works with the virtual time of testing/synctest.
package objects

import (
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/notification"
)

// Fault is the fault injected into one call.
type Fault string

// Values of Fault.
const (
	FaultNone Fault = ""
	// FaultRefused means that the call has no effect and the caller is informed of it
	// (ErrNotApplied).
	FaultRefused Fault = "refused"
	// FaultLost means that the call takes effect but its answer is lost
	// (ErrUncertain).
	FaultLost Fault = "lost"
	// FaultLate means that the caller gets no answer (ErrUncertain) and the call takes
	// effect after Plan.Late.
	FaultLate Fault = "late"
	// FaultNever means that the caller gets no answer (ErrUncertain) and the call never
	// takes effect.
	FaultNever Fault = "never"
)

// Op is the operation of a call.
type Op string

// Values of Op.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// Plan describes the delays and faults of one call.
type Plan struct {
	Fault Fault
	// Before is the time from the call to its effect, After the time from the effect
	// to the answer.
	Before, After time.Duration
	// Late is the delay of the effect under FaultLate.
	Late time.Duration
	// Pause blocks the caller for this time after the answer, even if its context ends.
	Pause time.Duration
	// KillBefore and KillAfter kill the client before or after the effect.
	KillBefore, KillAfter bool
}

// Store holds the objects that all clients share.
type Store struct {
	mu       sync.Mutex
	revision hbs.Revision
	objects  map[hbs.ObjectKind]map[string]hbs.Object
	log      []hbs.WatchEvent
	changed  notification.Signal
	// oldest is the first revision at which a paged list can still continue. If
	// renewTokens is set, the refusal of an older token carries one that continues in
	// the newest state.
	oldest      hbs.Revision
	renewTokens bool
}

// Expire invalidates the continue tokens issued so far. If renewTokens is set, their
// refusal carries a token that continues in the newest state.
func (s *Store) Expire(renewTokens bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.oldest, s.renewTokens = s.revision, renewTokens
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

// write applies one conditional write. condition is the expected revision, 0 for an
// object that must not exist. A nil next deletes the object.
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
	s.publish(event)
	return event.Object, nil
}

func (s *Store) publish(event hbs.WatchEvent) {
	s.log = append(s.log, event)
	s.changed.Send()
}

// since returns the events of kind after rev, and a channel that is closed at the
// next event of any kind.
func (s *Store) since(kind hbs.ObjectKind, rev hbs.Revision) ([]hbs.WatchEvent, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []hbs.WatchEvent
	for _, e := range s.log {
		if e.Object.Kind == kind && e.Object.Revision > rev {
			events = append(events, e)
		}
	}
	return events, s.changed.Next()
}
