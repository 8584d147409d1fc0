package replay

import (
	"fmt"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
)

// Violation is a kind of violation of the router's guarantees.
type Violation string

// The violations that a replay detects, from what callers and endpoints observed.
const (
	// ViolationStaleCacheUse: prompts of different workspaces, models or weights
	// had the same cache salt. An empty salt counts as a salt.
	ViolationStaleCacheUse Violation = "stale_cache_use"
	// ViolationStreamIncomplete: an answer ended early without an error.
	ViolationStreamIncomplete Violation = "stream_incomplete_silent"
	// ViolationStreamOutOfOrder: a token was missing, repeated or malformed.
	ViolationStreamOutOfOrder Violation = "stream_out_of_order"
	// ViolationCrossedAnswer: a caller received the answer to another request.
	ViolationCrossedAnswer Violation = "crossed_answer"
	// ViolationFalseNotRun: the outcome was not_run each time the request was sent,
	// yet it ran.
	ViolationFalseNotRun Violation = "false_not_run"
	// ViolationRanTwice: a request of class hbs.ClassOnce ran more than once.
	ViolationRanTwice Violation = "ran_twice"
	// ViolationDispatchedToLeaving: a leaving endpoint received a request after
	// leavingGrace.
	ViolationDispatchedToLeaving Violation = "dispatched_to_leaving"
	// ViolationCutByPlannedStop: a graceful stop broke off a request.
	ViolationCutByPlannedStop Violation = "cut_by_planned_stop"
	// ViolationLostWithoutOutcome: a connection broke without an outcome although
	// its instance was not killed.
	ViolationLostWithoutOutcome Violation = "lost_without_outcome"
	// ViolationErrorWithoutOutcome: an error had no outcome.
	ViolationErrorWithoutOutcome Violation = "error_without_outcome"
	// ViolationNoAnswer: there was no answer until answerGrace after the deadline.
	ViolationNoAnswer Violation = "no_answer"
	// ViolationConfigReverted: an instance returned to an older configuration.
	ViolationConfigReverted Violation = "config_reverted"
	// ViolationConfigLate: a configuration change was not in force within
	// maxConfigDelay.
	ViolationConfigLate Violation = "config_late"
	// ViolationRestartLate: a restarted instance was not ready within restartGrace.
	ViolationRestartLate Violation = "restart_late"
	// ViolationWorkAfterCancel: an engine was still working on a request cancelGrace
	// after its caller had closed the connection.
	ViolationWorkAfterCancel Violation = "work_after_cancel"
)

const (
	// leavingGrace is how long an endpoint may receive requests after the
	// platform's list shows it as leaving.
	leavingGrace = 3 * time.Second
	// cancelGrace is how long work may continue after its caller has left.
	cancelGrace = 3 * time.Second
	// restartGrace is the time within which a restarted instance must be ready.
	restartGrace = 5 * time.Second
	// maxExamples limits the examples in a report, per kind of violation.
	maxExamples = 3
)

// checker collects the violations of a replay.
type checker struct {
	replay   *Replay
	counts   map[Violation]int
	examples []string
	// runs are the runs that endpoints recorded, by request id.
	runs map[string][]endpointRun
}

// endpointRun is one run of a request as recorded by an endpoint. engine is nil for
// a service.
type endpointRun struct {
	endpoint hbs.EndpointID
	arrived  time.Time
	engine   *engine.Run
}

func (c *checker) add(v Violation, format string, args ...any) {
	c.counts[v]++
	if c.counts[v] <= maxExamples {
		c.examples = append(c.examples, string(v)+": "+fmt.Sprintf(format, args...))
	}
}

// checkViolations compares what callers received with what endpoints did.
func (r *Replay) checkViolations() *checker {
	c := &checker{replay: r, counts: map[Violation]int{}, runs: map[string][]endpointRun{}}
	c.collectRuns()
	c.checkResults()
	c.checkOutcomes()
	c.checkSalts()
	c.checkLeaving()
	for _, in := range r.fleet.instances {
		if d := in.slowestRestart(); d > restartGrace {
			c.add(ViolationRestartLate, "%s after %s", in.id, d)
		}
	}
	for _, p := range r.probes {
		for _, v := range p.violations {
			c.add(v, "workspace %s", p.workspace)
		}
	}
	return c
}

func (c *checker) collectRuns() {
	for _, e := range c.replay.fleet.engines {
		runs := e.Runs()
		for i := range runs {
			c.runs[runs[i].Body] = append(c.runs[runs[i].Body], endpointRun{e.ID, runs[i].Arrived, &runs[i]})
		}
	}
	for _, s := range c.replay.fleet.services {
		for _, run := range s.Runs() {
			c.runs[run.CallID] = append(c.runs[run.CallID], endpointRun{s.ID, run.Started, nil})
		}
	}
}

// checkResults adds the violations found while reading answers and checks broken
// connections and canceled requests.
func (c *checker) checkResults() {
	for _, res := range c.replay.results {
		_, stalled := res.instance.stalledUntil(res.sent, res.end)
		for _, v := range res.violations {
			if stalled && v == ViolationNoAnswer {
				continue // a stalled instance can't answer
			}
			c.add(v, "%s at %s, %s", res.request.ID, res.instance.id, c.formatTime(res.sent))
		}
		if res.connLost {
			c.checkLost(res)
		}
		if res.canceled {
			c.checkCanceled(res)
		}
	}
}

func (c *checker) checkLost(res *result) {
	inc := res.instance.incarnationAt(res.sent)
	switch {
	case !inc.killed.IsZero():
	case !inc.stopping.IsZero():
		c.add(ViolationCutByPlannedStop, "%s at %s, sent %s, lost %s: %v", res.request.ID, res.instance.id, c.formatTime(res.sent), c.formatTime(res.end), res.err)
	default:
		c.add(ViolationLostWithoutOutcome, "%s at %s, sent %s, lost %s: %v", res.request.ID, res.instance.id, c.formatTime(res.sent), c.formatTime(res.end), res.err)
	}
}

// checkCanceled checks that the work of a canceled request ended in time, also for
// answers that are not streamed.
func (c *checker) checkCanceled(res *result) {
	learned := res.end
	if until, ok := res.instance.stalledUntil(res.sent, res.end.Add(cancelGrace)); ok && until.After(learned) {
		learned = until // a stalled instance notices only afterwards
	}
	for _, run := range c.runs[res.request.ID] {
		if run.engine != nil && run.engine.Ended.Sub(learned) > cancelGrace {
			c.add(ViolationWorkAfterCancel, "%s on %s", res.request.ID, run.endpoint)
		}
	}
}

// checkOutcomes checks each request, over all times it was sent, for a false not_run
// and for repeated runs.
func (c *checker) checkOutcomes() {
	byRequest := map[string][]*result{}
	for _, res := range c.replay.results {
		byRequest[res.request.ID] = append(byRequest[res.request.ID], res)
	}
	for id, results := range byRequest {
		runs := c.runs[id]
		notRun := true
		for _, res := range results {
			notRun = notRun && res.outcome == hbs.OutcomeNotRun
		}
		if notRun && len(runs) > 0 {
			c.add(ViolationFalseNotRun, "%s (%s) ran on %s", id, results[0].reason, runs[0].endpoint)
		}
		if results[0].request.Class == hbs.ClassOnce && len(runs) > 1 {
			c.add(ViolationRanTwice, "%s ran on %s and %s", id, runs[0].endpoint, runs[1].endpoint)
		}
	}
}

// saltScope is what must be the same for all prompts with one cache salt.
type saltScope struct {
	workspace hbs.WorkspaceID
	model     hbs.ModelName
	weights   hbs.WeightsVersion
}

func (c *checker) checkSalts() {
	scopes := map[string]saltScope{}
	for i := range c.replay.Trace.Requests {
		q := &c.replay.Trace.Requests[i]
		for _, run := range c.runs[q.ID] {
			if run.engine == nil {
				continue
			}
			scope := saltScope{q.Workspace, q.Model, run.engine.Weights}
			known, ok := scopes[run.engine.Salt]
			if ok && known != scope {
				c.add(ViolationStaleCacheUse, "%s on %s: salt %q belongs to %v, used for %v", q.ID, run.endpoint, run.engine.Salt, known, scope)
				continue
			}
			scopes[run.engine.Salt] = scope
		}
	}
}

func (c *checker) checkLeaving() {
	for _, d := range c.replay.departures {
		last := d.at.Add(listLag + leavingGrace)
		for id, runs := range c.runs {
			for _, run := range runs {
				if run.endpoint == d.id && run.arrived.After(last) {
					c.add(ViolationDispatchedToLeaving, "%s on %s, %s after it was listed as leaving", id, d.id, run.arrived.Sub(d.at))
				}
			}
		}
	}
}

// formatTime formats a time as seconds from the start of the trace.
func (c *checker) formatTime(t time.Time) string {
	return fmt.Sprintf("%.3fs", t.Sub(c.replay.began).Seconds())
}
