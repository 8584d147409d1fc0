package replay

import (
	"fmt"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
)

// Promise names a breach of what must always hold.
type Promise string

// The breaches that a replay looks for. Each is judged from what callers and
// endpoints saw.
const (
	// PromiseOwnCache: prompts of two workspaces, models or weights were sent
	// under one cache salt, or under none.
	PromiseOwnCache Promise = "stale_cache_use"
	// PromiseStreamComplete: an answer ended early without an error.
	PromiseStreamComplete Promise = "stream_incomplete_silent"
	// PromiseStreamOrder: a token was missing, repeated or malformed.
	PromiseStreamOrder Promise = "stream_out_of_order"
	// PromiseOwnAnswer: a caller got the answer to another request.
	PromiseOwnAnswer Promise = "crossed_answer"
	// PromiseTrueNotRun: every sending was told not_run, yet the request ran.
	PromiseTrueNotRun Promise = "false_not_run"
	// PromiseOnce: a request that must not repeat ran twice.
	PromiseOnce Promise = "ran_twice"
	// PromiseLeaving: a leaving endpoint got new work after leavingGrace.
	PromiseLeaving Promise = "dispatched_to_leaving"
	// PromiseGraceful: a planned stop cut a request.
	PromiseGraceful Promise = "cut_by_planned_stop"
	// PromiseLost: a connection ended without a word although its instance was
	// not killed.
	PromiseLost Promise = "lost_without_outcome"
	// PromiseNoOutcome: an error carried none of the outcomes.
	PromiseNoOutcome Promise = "error_without_outcome"
	// PromiseNoAnswer: nothing came until long after the deadline.
	PromiseNoAnswer Promise = "no_answer"
	// PromiseConfigKept: an instance went back behind a change of configuration.
	PromiseConfigKept Promise = "config_reverted"
	// PromiseConfigInForce: a change was not in force everywhere in time.
	PromiseConfigInForce Promise = "config_late"
	// PromiseServesAtOnce: a restarted instance was not ready in time.
	PromiseServesAtOnce Promise = "restart_late"
	// PromiseCanceled: an engine worked on after its caller had left.
	PromiseCanceled Promise = "work_after_cancel"
)

// Bounds of the promises.
const (
	// leavingGrace is the time after the platform's list tells that an endpoint
	// leaves in which it may still get new work.
	leavingGrace = 3 * time.Second
	// cancelGrace is the time after a caller left in which its work may go on.
	cancelGrace = 3 * time.Second
	// restartGrace is the time in which a restarted instance is ready.
	restartGrace = 5 * time.Second
	// maxExamples bounds the examples of a report, for each promise.
	maxExamples = 3
)

// judge counts breaches.
type judge struct {
	replay   *Replay
	counts   map[Promise]int
	examples []string
	// ran holds the endpoints' runs by request id.
	ran map[string][]ranOn
}

// ranOn is one run of a request as an endpoint recorded it.
type ranOn struct {
	endpoint hbs.EndpointID
	arrived  time.Time
	engine   *engine.Run
}

func (j *judge) breach(p Promise, format string, args ...any) {
	j.counts[p]++
	if j.counts[p] <= maxExamples {
		j.examples = append(j.examples, string(p)+": "+fmt.Sprintf(format, args...))
	}
}

// judge compares what callers were told with what endpoints did.
func (r *Replay) judge() *judge {
	j := &judge{replay: r, counts: map[Promise]int{}, ran: map[string][]ranOn{}}
	j.gather()
	j.callers()
	j.outcomes()
	j.salts()
	j.leaving()
	for _, in := range r.fleet.instances {
		if d := in.slowestRestart(); d > restartGrace {
			j.breach(PromiseServesAtOnce, "%s after %s", in.id, d)
		}
	}
	for _, p := range r.probes {
		for _, b := range p.breaches {
			j.breach(b, "workspace %s", p.workspace)
		}
	}
	return j
}

func (j *judge) gather() {
	for _, e := range j.replay.fleet.engines {
		runs := e.Runs()
		for i := range runs {
			j.ran[runs[i].Body] = append(j.ran[runs[i].Body], ranOn{e.ID, runs[i].Arrived, &runs[i]})
		}
	}
	for _, s := range j.replay.fleet.services {
		for _, run := range s.Runs() {
			j.ran[run.Body] = append(j.ran[run.Body], ranOn{s.ID, run.Started, nil})
		}
	}
}

// callers takes over what callers saw themselves and judges lost connections.
func (j *judge) callers() {
	for _, res := range j.replay.results {
		_, held := res.in.stalledUntil(res.due, res.end)
		for _, p := range res.breaches {
			if held && p == PromiseNoAnswer {
				continue // no process answers while all its bytes are held
			}
			j.breach(p, "%s at %s, %s", res.request.ID, res.in.id, j.at(res.due))
		}
		if res.lost {
			j.lost(res)
		}
		if res.left {
			j.left(res)
		}
	}
}

func (j *judge) lost(res *result) {
	l := res.in.during(res.due)
	switch {
	case !l.killed.IsZero():
	case !l.stopping.IsZero():
		j.breach(PromiseGraceful, "%s at %s, sent %s, lost %s: %v", res.request.ID, res.in.id, j.at(res.due), j.at(res.end), res.err)
	default:
		j.breach(PromiseLost, "%s at %s, sent %s, lost %s: %v", res.request.ID, res.in.id, j.at(res.due), j.at(res.end), res.err)
	}
}

// left judges whether the work of a caller that left ended in time. Whole
// answers count too: their caller is gone as well.
func (j *judge) left(res *result) {
	known := res.end
	if until, ok := res.in.stalledUntil(res.due, res.end.Add(cancelGrace)); ok && until.After(known) {
		known = until // a stalled instance learns of it afterwards
	}
	for _, run := range j.ran[res.request.ID] {
		if run.engine != nil && run.engine.Ended.Sub(known) > cancelGrace {
			j.breach(PromiseCanceled, "%s on %s", res.request.ID, run.endpoint)
		}
	}
}

// outcomes judges not_run and once over all sendings of each request.
func (j *judge) outcomes() {
	told := map[string][]*result{}
	for _, res := range j.replay.results {
		told[res.request.ID] = append(told[res.request.ID], res)
	}
	for id, sendings := range told {
		runs := j.ran[id]
		notRun := true
		for _, res := range sendings {
			notRun = notRun && res.outcome == hbs.OutcomeNotRun
		}
		if notRun && len(runs) > 0 {
			j.breach(PromiseTrueNotRun, "%s (%s) ran on %s", id, sendings[0].reason, runs[0].endpoint)
		}
		if sendings[0].request.Class == hbs.ClassOnce && len(runs) > 1 {
			j.breach(PromiseOnce, "%s ran on %s and %s", id, runs[0].endpoint, runs[1].endpoint)
		}
	}
}

// owner is whose prompts a cache salt may cover.
type owner struct {
	workspace hbs.WorkspaceID
	model     hbs.ModelName
	weights   hbs.WeightsVersion
}

func (j *judge) salts() {
	owners := map[string]owner{}
	for i := range j.replay.Trace.Requests {
		q := &j.replay.Trace.Requests[i]
		for _, run := range j.ran[q.ID] {
			if run.engine == nil {
				continue
			}
			o := owner{q.Workspace, q.Model, run.engine.Weights}
			known, ok := owners[run.engine.Salt]
			if ok && known != o {
				j.breach(PromiseOwnCache, "%s on %s: salt %q belongs to %v, used for %v", q.ID, run.endpoint, run.engine.Salt, known, o)
				continue
			}
			owners[run.engine.Salt] = o
		}
	}
}

func (j *judge) leaving() {
	for _, d := range j.replay.departures {
		last := d.at.Add(listLag + leavingGrace)
		for id, runs := range j.ran {
			for _, run := range runs {
				if run.endpoint == d.id && run.arrived.After(last) {
					j.breach(PromiseLeaving, "%s on %s, %s after its word", id, d.id, run.arrived.Sub(d.at))
				}
			}
		}
	}
}

// at writes a time as seconds from the start of the trace.
func (j *judge) at(t time.Time) string { return fmt.Sprintf("%.3fs", t.Sub(j.replay.began).Seconds()) }
