package limit

import (
	"cmp"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// epoch is a period in which the roster had the same set of instances.
type epoch struct {
	// instances are sorted by ID and shared with the roster.
	instances []hbs.Instance
	// endedAt is zero for the newest.
	endedAt     time.Time
	assignments map[assignmentKey]*slotAssignment
}

type assignmentKey struct {
	workspace hbs.WorkspaceID
	limit     int
}

// slotAssignment assigns the slots of a small limit to instances (rule 10).
type slotAssignment struct {
	// holders are the instances with at least one slot, by their rank.
	holders []hbs.InstanceID
	slots   map[hbs.InstanceID]int
}

func newEpoch(instances []hbs.Instance) *epoch {
	return &epoch{instances: instances, assignments: map[assignmentKey]*slotAssignment{}}
}

// instance returns the instance with the ID, or the zero value if there is
// none.
func (e *epoch) instance(id hbs.InstanceID) hbs.Instance {
	at, found := slices.BinarySearchFunc(e.instances, id, func(i hbs.Instance, id hbs.InstanceID) int { return cmp.Compare(i.ID, id) })
	if !found {
		return hbs.Instance{}
	}
	return e.instances[at]
}

// contains reports whether the process, an incarnation of an instance, is among
// the instances.
func (e *epoch) contains(id hbs.InstanceID, incarnation hbs.Incarnation) bool {
	i := e.instance(id)
	return i.ID != "" && i.Incarnation == incarnation
}

// lenderAlive reports whether the process that lent x is among the instances.
func (e *epoch) lenderAlive(x *loan) bool { return e.contains(x.lender.ID, x.lender.Incarnation) }

// sameInstances reports whether the instances are the same processes.
func (e *epoch) sameInstances(instances []hbs.Instance) bool {
	return slices.EqualFunc(e.instances, instances, func(a, b hbs.Instance) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation })
}

// assignment divides the slots of a limit evenly over the instances, the
// remainder by rank.
func (e *epoch) assignment(id hbs.WorkspaceID, limit int) *slotAssignment {
	key := assignmentKey{id, limit}
	if s := e.assignments[key]; s != nil {
		return s
	}
	s := &slotAssignment{slots: map[hbs.InstanceID]int{}}
	e.assignments[key] = s
	if len(e.instances) == 0 {
		return s
	}
	ids := make([]hbs.InstanceID, len(e.instances))
	for i := range ids {
		ids[i] = e.instances[i].ID
	}
	each, remainder := limit/len(ids), limit%len(ids)
	for rank, instance := range mirror.Rank(string(id), ids) {
		n := each
		if rank < remainder {
			n++
		}
		if n > 0 {
			s.holders = append(s.holders, instance)
			s.slots[instance] = n
		}
	}
	return s
}

// current returns the newest epoch.
func (l *Limiter) current() *epoch { return l.epochs[len(l.epochs)-1] }

// updateEpochs begins a new epoch if the instances of the roster changed, and
// drops those that ended longer than KnobReassignDelay ago. The first epoch has
// no instances, so that an instance has no slots until its first roster is
// KnobReassignDelay old.
func (l *Limiter) updateEpochs(roster *hbs.Roster, now time.Time) {
	if len(l.epochs) == 0 {
		l.epochs = []*epoch{newEpoch(nil)}
	}
	if last := l.current(); !last.sameInstances(roster.Instances) {
		last.endedAt = now
		l.epochs = append(l.epochs, newEpoch(roster.Instances))
		l.dropDeadLoans()
	}
	l.expireEpochs(now)
}

func (l *Limiter) expireEpochs(now time.Time) {
	hold := l.Policy.Duration(KnobReassignDelay, hbs.Scope{})
	l.epochs = slices.DeleteFunc(l.epochs, func(e *epoch) bool {
		return !e.endedAt.IsZero() && now.Sub(e.endedAt) > hold
	})
}

// small reports whether a limit on concurrency is divided evenly (rule 10).
func (l *Limiter) small(limits Limits) bool {
	return limits.Concurrency > 0 && float64(limits.Concurrency) <= l.Policy.Number(KnobMaxLentLimit, hbs.Scope{})
}

// localSlots returns the number of slots of a small limit that this instance
// may use: the fewest that it was assigned in the last KnobReassignDelay, so
// that the former holder has given up a slot before it is used here (rule 10).
func (l *Limiter) localSlots(id hbs.WorkspaceID, limit int, now time.Time) int {
	l.expireEpochs(now)
	least := limit
	for _, e := range l.epochs {
		least = min(least, e.assignment(id, limit).slots[l.Self])
	}
	return least
}
