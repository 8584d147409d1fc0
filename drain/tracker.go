// Package drain determines whether a draining engine, which receives no new
// requests, still has attempts running. It is used for engines that do not report
// their load.
//
// Rules:
//
//  1. An instance counts an attempt at an endpoint from before the endpoint is
//     chosen until the attempt has ended.
//  2. Each instance reports to all others, for each draining engine of its
//     roster that does not report its load: the number of its attempts there,
//     the time until the latest of their deadlines, and the revision of the
//     engine's record in its roster. No endpoint is being chosen while the
//     report is made. So an instance that reports on an engine has seen the
//     drain and does not choose that engine again under this revision.
//  3. An instance has no attempts at an engine if it has reported none under the
//     revision that drained the engine or a later one, or if the latest reported
//     deadline has passed: attempts end at their deadline, even if the instance
//     has stopped reporting. A report that arrives late is still valid.
//  4. An instance that has not reported under such a revision counts as
//     unreported. It may be dead, or not know of the drain.
//  5. Each digest carries all reports again, since messages can be lost. Engines
//     whose reports do not fit into one are left out, so that the instance
//     is taken as unreported for them, never as idle.
package drain

import (
	"maps"
	"slices"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Tracker tracks which instances have attempts at draining engines. It implements
// hornbeamstage.Section and is safe for concurrent use.
type Tracker struct {
	Self      hbs.InstanceID
	Directory hbs.Directory

	// choosing is read-locked while an endpoint is chosen, and locked while a report
	// is made (rule 2).
	choosing sync.RWMutex

	mu sync.Mutex
	// deadlines are the deadlines of the attempts of this instance; the zero time
	// means none.
	deadlines map[hbs.EndpointID]map[hbs.AttemptID]time.Time
	// reports are the latest reports by engine and instance, this instance
	// included. Only those on draining engines that are not older than
	// maxRemaining are stored.
	reports map[hbs.EndpointID]map[hbs.InstanceID]storedReport
}

// storedReport is the latest report of an instance on an engine.
type storedReport struct {
	received time.Time
	revision hbs.Revision
	attempts int
	// endsBy is the time by which all of the attempts have ended.
	endsBy time.Time
}

// idle reports whether the instance has no attempts left (rule 3).
func (s storedReport) idle(now time.Time) bool { return s.attempts == 0 || !now.Before(s.endsBy) }

// Placer returns a Placer that counts the attempts placed by next (rule 1).
func (t *Tracker) Placer(next hbs.Placer) hbs.Placer { return &placer{next, t} }

type placer struct {
	hbs.Placer
	tracker *Tracker
}

// Place implements hornbeamstage.Placer.
func (p *placer) Place(req *hbs.Request, avoid []hbs.EndpointID) (hbs.Placement, error) {
	p.tracker.choosing.RLock()
	defer p.tracker.choosing.RUnlock()
	chosen, err := p.Placer.Place(req, avoid)
	if err == nil {
		p.tracker.begin(&chosen, req.Deadline)
	}
	return chosen, err
}

// Finish implements hornbeamstage.Placer.
func (p *placer) Finish(chosen *hbs.Placement, r hbs.AttemptResult) {
	p.tracker.end(chosen)
	p.Placer.Finish(chosen, r)
}

func (t *Tracker) begin(p *hbs.Placement, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.deadlines == nil {
		t.deadlines = map[hbs.EndpointID]map[hbs.AttemptID]time.Time{}
	}
	attempts := t.deadlines[p.Endpoint.ID]
	if attempts == nil {
		attempts = map[hbs.AttemptID]time.Time{}
		t.deadlines[p.Endpoint.ID] = attempts
	}
	attempts[p.Attempt] = deadline
}

func (t *Tracker) end(p *hbs.Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	attempts := t.deadlines[p.Endpoint.ID]
	delete(attempts, p.Attempt)
	if len(attempts) == 0 {
		delete(t.deadlines, p.Endpoint.ID)
	}
}

// Status describes which instances may have attempts at a draining engine.
type Status struct {
	// Busy are the instances that have reported attempts.
	Busy []hbs.InstanceID
	// Unreported are the instances that have not reported since the drain (rule 4).
	Unreported []hbs.InstanceID
}

// Idle reports whether no instance can have attempts at the engine.
func (s Status) Idle() bool { return len(s.Busy) == 0 && len(s.Unreported) == 0 }

// Status returns which instances may have attempts at an engine. drained is the
// revision of the record that drained it. Status considers the instances of the
// roster and others, since an instance may continue to run after its record was
// removed.
func (t *Tracker) Status(id hbs.EndpointID, drained hbs.Revision, others []hbs.InstanceID) (s Status) {
	t.refreshLocal(time.Now())
	instances := slices.Clone(others)
	for _, i := range t.Directory.Roster().Instances {
		instances = append(instances, i.ID)
	}
	slices.Sort(instances)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range slices.Compact(instances) {
		stored, ok := t.reports[id][i]
		switch {
		case !ok || stored.revision < drained:
			s.Unreported = append(s.Unreported, i)
		case !stored.idle(time.Now()):
			s.Busy = append(s.Busy, i)
		}
	}
	return s
}

// refreshLocal updates the stored reports of this instance and returns them. It
// also removes expired reports of all instances.
func (t *Tracker) refreshLocal(now time.Time) []workReport {
	t.choosing.Lock()
	defer t.choosing.Unlock()
	draining := drainingWithoutLoadReports(t.Directory.Roster())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(draining, now)
	list := make([]workReport, 0, len(draining))
	for _, d := range draining {
		r := t.localReport(d, now)
		t.store(t.Self, r, now)
		list = append(list, r)
	}
	return list
}

// expire removes the reports on engines other than those in draining, and the
// reports that are older than maxRemaining. The caller holds mu.
func (t *Tracker) expire(draining []hbs.Endpoint, now time.Time) {
	for id, byInstance := range t.reports {
		if !contains(draining, id) {
			delete(t.reports, id)
			continue
		}
		maps.DeleteFunc(byInstance, func(_ hbs.InstanceID, s storedReport) bool { return now.Sub(s.received) > maxRemaining })
	}
}

// drainingWithoutLoadReports returns the draining engines that do not report
// their load.
func drainingWithoutLoadReports(r *hbs.Roster) (out []hbs.Endpoint) {
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		if e.Kind == hbs.KindEngine && e.State == hbs.StateDraining && !e.Capabilities.LoadReports && len(e.ID) <= maxIDBytes {
			out = append(out, *e)
		}
	}
	return out
}

func contains(list []hbs.Endpoint, id hbs.EndpointID) bool {
	return slices.ContainsFunc(list, func(e hbs.Endpoint) bool { return e.ID == id })
}

// localReport returns the report of this instance on an engine. The caller
// holds mu.
func (t *Tracker) localReport(of hbs.Endpoint, now time.Time) workReport {
	r := workReport{Endpoint: of.ID, Revision: of.Revision, Attempts: len(t.deadlines[of.ID])}
	for _, deadline := range t.deadlines[of.ID] {
		remaining := maxRemaining
		if !deadline.IsZero() {
			remaining = min(max(0, deadline.Sub(now)), maxRemaining)
		}
		r.Remaining = max(r.Remaining, remaining)
	}
	return r
}

// store stores the report of an instance, unless a report under a later
// revision is already stored. The caller holds mu.
func (t *Tracker) store(from hbs.InstanceID, r workReport, now time.Time) {
	if t.reports == nil {
		t.reports = map[hbs.EndpointID]map[hbs.InstanceID]storedReport{}
	}
	if t.reports[r.Endpoint] == nil {
		t.reports[r.Endpoint] = map[hbs.InstanceID]storedReport{}
	}
	if r.Revision < t.reports[r.Endpoint][from].revision {
		return
	}
	t.reports[r.Endpoint][from] = storedReport{now, r.Revision, r.Attempts, now.Add(r.Remaining + endGrace)}
}
