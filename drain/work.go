// Package drain tells whether an engine that gets no new work still has some,
// where the engine does not report its load.
//
// Rules:
//
//  1. An instance counts an attempt on an endpoint from before the endpoint is
//     chosen until the attempt has ended.
//  2. Each instance tells all others, for each draining engine of its roster that
//     reports no load, how many attempts it has there, how long the last of their
//     deadlines is away and the revision of the engine's record that it goes by.
//     No choice is under way while it looks: whoever tells of an engine has seen
//     the drain and chooses that engine no more under this revision.
//  3. An instance has no work on an engine when it has told so of the revision
//     that drained the engine or a later one, or when the longest deadline that it
//     told of has passed: attempts end at the deadline, also when the instance is
//     silent by then. However late such a word comes, it stays true.
//  4. An instance that has told nothing of such a revision is unheard. It may be
//     dead, or not know of the drain.
//  5. Each heartbeat tells all of it again, for messages can be lost. What does not
//     fit into one is not told, which leaves the instance unheard, never idle.
package drain

import (
	"maps"
	"slices"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Work knows which instances have attempts on draining engines. It is a Section
// and safe for concurrent use.
type Work struct {
	Self      hbs.InstanceID
	Directory hbs.Directory

	// choosing is held shared while an endpoint is chosen (rule 2).
	choosing sync.RWMutex

	mu sync.Mutex
	// deadlines of the own attempts, zero for none.
	deadlines map[hbs.EndpointID]map[hbs.AttemptID]time.Time
	// told is bounded by what drains and by maxLeft.
	told map[hbs.EndpointID]map[hbs.InstanceID]statement
}

// statement is what an instance has told of its attempts on an engine.
type statement struct {
	at       time.Time
	revision hbs.Revision
	attempts int
	// until is when the last of the attempts has ended at the latest.
	until time.Time
}

// idle reports whether the instance has no attempts left (rule 3).
func (s statement) idle(now time.Time) bool { return s.attempts == 0 || !now.Before(s.until) }

// Placer returns next with its choices counted (rule 1).
func (w *Work) Placer(next hbs.Placer) hbs.Placer { return &placer{next, w} }

type placer struct {
	hbs.Placer
	work *Work
}

// Place implements hornbeamstage.Placer.
func (p *placer) Place(req *hbs.Request, avoid []hbs.EndpointID) (hbs.Placement, error) {
	p.work.choosing.RLock()
	defer p.work.choosing.RUnlock()
	chosen, err := p.Placer.Place(req, avoid)
	if err == nil {
		p.work.begin(&chosen, req.Deadline)
	}
	return chosen, err
}

// Finish implements hornbeamstage.Placer.
func (p *placer) Finish(chosen *hbs.Placement, r hbs.AttemptResult) {
	p.work.end(chosen)
	p.Placer.Finish(chosen, r)
}

func (w *Work) begin(p *hbs.Placement, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadlines == nil {
		w.deadlines = map[hbs.EndpointID]map[hbs.AttemptID]time.Time{}
	}
	attempts := w.deadlines[p.Endpoint.ID]
	if attempts == nil {
		attempts = map[hbs.AttemptID]time.Time{}
		w.deadlines[p.Endpoint.ID] = attempts
	}
	attempts[p.Attempt] = deadline
}

func (w *Work) end(p *hbs.Placement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	attempts := w.deadlines[p.Endpoint.ID]
	delete(attempts, p.Attempt)
	if len(attempts) == 0 {
		delete(w.deadlines, p.Endpoint.ID)
	}
}

// Standing is what is known of the work on a draining engine.
type Standing struct {
	// Busy are the instances that have attempts there.
	Busy []hbs.InstanceID
	// Unheard are the instances that have told nothing (rule 4).
	Unheard []hbs.InstanceID
}

// Idle reports whether no instance can have work on the engine.
func (s Standing) Idle() bool { return len(s.Busy) == 0 && len(s.Unheard) == 0 }

// Standing tells who has work on an engine whose record says since the given
// revision that it is drained. Instances beside those of the roster may be named, for an instance
// can go on after its record is gone.
func (w *Work) Standing(id hbs.EndpointID, drained hbs.Revision, besides []hbs.InstanceID) (s Standing) {
	w.look(time.Now())
	instances := slices.Clone(besides)
	for _, i := range w.Directory.Roster().Instances {
		instances = append(instances, i.ID)
	}
	slices.Sort(instances)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range slices.Compact(instances) {
		told, ok := w.told[id][i]
		switch {
		case !ok || told.revision < drained:
			s.Unheard = append(s.Unheard, i)
		case !told.idle(time.Now()):
			s.Busy = append(s.Busy, i)
		}
	}
	return s
}

// look brings up to date what the instance itself has to tell, and returns it.
func (w *Work) look(now time.Time) []entry {
	w.choosing.Lock()
	defer w.choosing.Unlock()
	silent := silentDrains(w.Directory.Roster())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget(silent, now)
	list := make([]entry, 0, len(silent))
	for _, d := range silent {
		e := w.entry(d, now)
		w.take(w.Self, e, now)
		list = append(list, e)
	}
	return list
}

// forget drops what was told of other engines than these, and what was told long
// ago.
func (w *Work) forget(silent []hbs.Endpoint, now time.Time) {
	for id, told := range w.told {
		if !names(silent, id) {
			delete(w.told, id)
			continue
		}
		maps.DeleteFunc(told, func(_ hbs.InstanceID, s statement) bool { return now.Sub(s.at) > maxLeft })
	}
}

// silentDrains returns the draining engines that report no load.
func silentDrains(r *hbs.Roster) (out []hbs.Endpoint) {
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		if e.Kind == hbs.KindEngine && e.State == hbs.StateDraining && !e.Capabilities.LoadReports && len(e.ID) <= maxIDBytes {
			out = append(out, *e)
		}
	}
	return out
}

func names(list []hbs.Endpoint, id hbs.EndpointID) bool {
	return slices.ContainsFunc(list, func(e hbs.Endpoint) bool { return e.ID == id })
}

// entry returns what the instance itself has on an engine.
func (w *Work) entry(of hbs.Endpoint, now time.Time) entry {
	e := entry{Endpoint: of.ID, Revision: of.Revision, Attempts: len(w.deadlines[of.ID])}
	for _, deadline := range w.deadlines[of.ID] {
		left := maxLeft
		if !deadline.IsZero() {
			left = min(max(0, deadline.Sub(now)), maxLeft)
		}
		e.Left = max(e.Left, left)
	}
	return e
}

// take keeps what an instance has told, unless it told of a later revision before.
func (w *Work) take(from hbs.InstanceID, e entry, now time.Time) {
	if w.told == nil {
		w.told = map[hbs.EndpointID]map[hbs.InstanceID]statement{}
	}
	if w.told[e.Endpoint] == nil {
		w.told[e.Endpoint] = map[hbs.InstanceID]statement{}
	}
	if e.Revision < w.told[e.Endpoint][from].revision {
		return
	}
	w.told[e.Endpoint][from] = statement{now, e.Revision, e.Attempts, now.Add(e.Left + endTime)}
}
