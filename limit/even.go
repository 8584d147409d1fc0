package limit

import (
	"cmp"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// era is the time in which one set of instances was the newest known.
type era struct {
	// instances are sorted by ID and shared with the roster.
	instances []hbs.Instance
	// endedAt is zero for the newest.
	endedAt  time.Time
	holdings map[holdingKey]*holding
}

type holdingKey struct {
	workspace hbs.WorkspaceID
	limit     int
}

// holding is who holds the slots of a small limit (rule 10).
type holding struct {
	// holders have at least one slot, by their rank.
	holders []hbs.InstanceID
	slots   map[hbs.InstanceID]int
}

func newEra(instances []hbs.Instance) *era {
	return &era{instances: instances, holdings: map[holdingKey]*holding{}}
}

// instance returns the instance with the id; the zero one when there is none.
func (e *era) instance(id hbs.InstanceID) hbs.Instance {
	at, found := slices.BinarySearchFunc(e.instances, id, func(i hbs.Instance, id hbs.InstanceID) int { return cmp.Compare(i.ID, id) })
	if !found {
		return hbs.Instance{}
	}
	return e.instances[at]
}

// lives reports whether the process is among the instances.
func (e *era) lives(id hbs.InstanceID, life hbs.Incarnation) bool {
	i := e.instance(id)
	return i.ID != "" && i.Incarnation == life
}

// holds reports whether the lender of x lives.
func (e *era) holds(x *loan) bool { return e.lives(x.lender.ID, x.lender.Incarnation) }

// same reports whether the instances are the same processes.
func (e *era) same(instances []hbs.Instance) bool {
	return slices.EqualFunc(e.instances, instances, func(a, b hbs.Instance) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation })
}

// holding spreads the slots of a limit over the instances.
func (e *era) holding(id hbs.WorkspaceID, limit int) *holding {
	key := holdingKey{id, limit}
	if h := e.holdings[key]; h != nil {
		return h
	}
	h := &holding{slots: map[hbs.InstanceID]int{}}
	e.holdings[key] = h
	if len(e.instances) == 0 {
		return h
	}
	ids := make([]hbs.InstanceID, len(e.instances))
	for i := range ids {
		ids[i] = e.instances[i].ID
	}
	each, odd := limit/len(ids), limit%len(ids)
	for rank, instance := range mirror.Rank(string(id), ids) {
		n := each
		if rank < odd {
			n++
		}
		if n > 0 {
			h.holders = append(h.holders, instance)
			h.slots[instance] = n
		}
	}
	return h
}

// now returns the newest era.
func (l *Limiter) now() *era { return l.eras[len(l.eras)-1] }

// age begins a new era when the roster's instances changed, and forgets those
// that ended long ago. Before its first roster an instance holds nothing.
func (l *Limiter) age(roster *hbs.Roster, now time.Time) {
	if len(l.eras) == 0 {
		l.eras = []*era{newEra(nil)}
	}
	if last := l.now(); !last.same(roster.Instances) {
		last.endedAt = now
		l.eras = append(l.eras, newEra(roster.Instances))
		l.disown()
	}
	l.forgetEras(now)
}

func (l *Limiter) forgetEras(now time.Time) {
	hold := l.Policy.Duration(KnobHold, hbs.Scope{})
	l.eras = slices.DeleteFunc(l.eras, func(e *era) bool {
		return !e.endedAt.IsZero() && now.Sub(e.endedAt) > hold
	})
}

// small reports whether a limit on concurrency is held by an even split.
func (l *Limiter) small(b Bounds) bool {
	return b.Concurrency > 0 && float64(b.Concurrency) <= l.Policy.Number(KnobSmall, hbs.Scope{})
}

// evenSlots returns the own slots of a small limit: the least of those by the
// instances of the last KnobHold, so that others have lost what is gained here
// (rule 10).
func (l *Limiter) evenSlots(id hbs.WorkspaceID, limit int, now time.Time) int {
	l.forgetEras(now)
	least := limit
	for _, e := range l.eras {
		least = min(least, e.holding(id, limit).slots[l.Self])
	}
	return least
}
