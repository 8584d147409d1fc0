package replay

import (
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// measure builds the report.
func (r *Replay) measure() *Report {
	c := r.checkViolations()
	rep := &Report{
		Trace:      r.Trace.Header.Name,
		Policy:     r.Policy,
		Seed:       r.Seed,
		Clock:      r.Clock,
		Requests:   len(r.Trace.Requests),
		Reasons:    map[string]int{},
		Violations: c.counts,
		Examples:   c.examples,
	}
	if rep.Policy == "" {
		rep.Policy = "fleet"
	}
	for _, n := range c.counts {
		rep.ViolationCount += n
	}
	r.measureOutcomes(rep)
	r.measureTimes(rep)
	r.measureWaits(rep, c)
	r.measureTokens(rep, c)
	r.measureCrest(rep)
	r.measureControl(rep)
	r.measureLimits(rep)
	return rep
}

// outcomeRank orders outcomes from the worst to the best for the caller.
var outcomeRank = map[hbs.Outcome]int{
	hbs.OutcomeNotRun:   0,
	hbs.OutcomeUnknown:  1,
	hbs.OutcomeFailed:   2,
	hbs.OutcomeAnswered: 3,
}

func (r *Replay) measureOutcomes(rep *Report) {
	best := map[string]*result{}
	for _, res := range r.results {
		if old := best[res.request.ID]; old == nil || outcomeRank[res.outcome] > outcomeRank[old.outcome] {
			best[res.request.ID] = res
		}
		if res.outcome != hbs.OutcomeAnswered && !res.canceled {
			rep.Reasons[res.cause()]++
		}
	}
	for _, res := range best {
		switch {
		case res.canceled:
			rep.Left++
		case res.outcome == hbs.OutcomeAnswered:
			rep.Answered++
		case res.outcome == hbs.OutcomeNotRun:
			rep.NotRun++
		case res.outcome == hbs.OutcomeFailed:
			rep.Failed++
		default:
			rep.Unknown++
		}
	}
}

func (r *result) cause() string {
	switch {
	case r.connLost:
		return "connection_lost"
	case r.reason == "":
		return "none"
	}
	return string(r.reason)
}

// afterWarmup reports whether a result counts for latencies: repetitions and
// requests that arrive during the warm-up don't.
func (r *Replay) afterWarmup(res *result) bool {
	return res.request.At >= r.Trace.Header.WarmupSeconds && !res.repeat
}

func (r *Replay) measureTimes(rep *Report) {
	var ttft, gaps, short []float64
	for _, res := range r.results {
		if res.request.Model == "" || !r.afterWarmup(res) || res.firstToken.IsZero() {
			continue
		}
		wait := res.firstToken.Sub(res.sent).Seconds()
		ttft = append(ttft, wait)
		if res.request.Work == trace.WorkShort {
			short = append(short, wait)
		}
		for _, g := range res.gaps {
			gaps = append(gaps, g.Seconds())
		}
	}
	rep.TTFT = quantilesOf(ttft)
	rep.InterToken = quantilesOf(gaps)
	rep.ShortWait = quantilesOf(short)
}

// measureWaits measures where requests waited before their prefill started, by the
// first run of each on an engine.
func (r *Replay) measureWaits(rep *Report, c *checker) {
	var dispatch, queue []float64
	for _, res := range r.results {
		runs := c.runs[res.request.ID]
		if res.request.Model == "" || !r.afterWarmup(res) || len(runs) == 0 {
			continue
		}
		first := runs[0].engine
		dispatch = append(dispatch, first.Arrived.Sub(res.sent).Seconds())
		if !first.Started.IsZero() {
			queue = append(queue, first.Started.Sub(first.Arrived).Seconds())
		}
	}
	rep.Dispatch = quantilesOf(dispatch)
	rep.Queue = quantilesOf(queue)
}

// measureTokens compares the prompt tokens that engines computed with those of the
// oracle. Only requests that ran count, so that refusing requests can't improve
// the result.
func (r *Replay) measureTokens(rep *Report, c *checker) {
	o := newOracle(r.Trace.Header.Fleet, &r.callers.texts)
	prompt, computed, ideal, attempts, ran := 0, 0, 0, 0, 0
	runPrompt, runCached := 0, 0
	for i := range r.Trace.Requests {
		q := &r.Trace.Requests[i]
		if q.Model == "" {
			continue
		}
		o.add(q)
		began := false
		for _, run := range c.runs[q.ID] {
			attempts++
			if run.engine.Started.IsZero() {
				continue
			}
			began = true
			runPrompt += run.engine.PromptTokens
			runCached += run.engine.CachedTokens
			computed += run.engine.PromptTokens - run.engine.CachedTokens
		}
		if began {
			ran++
			prompt += o.prompt[q.ID]
			ideal += o.computed[q.ID]
		}
	}
	rep.PromptTokens, rep.ComputedTokens = prompt, computed
	rep.PrefixHitRate = ratio(runCached, runPrompt)
	rep.OracleHitRate = ratio(prompt-ideal, prompt)
	if rep.OracleHitRate > 0 {
		rep.HitRateOfOracle = rep.PrefixHitRate / rep.OracleHitRate
	}
	rep.RecomputedShare = max(0, ratio(computed-ideal, prompt))
	rep.AttemptsPerRequest = ratio(attempts, ran)
	r.measureLoad(rep, o)
}

// measureCrest measures goodput, the share of requests answered within their
// deadline. During crests it is relative to what the engines had the capacity to
// serve.
func (r *Replay) measureCrest(rep *Report) {
	offered, good, crestGood := 0, 0, 0
	lightOffered, lightGood := 0, 0
	light := r.lightWorkspaces()
	servable := 0.0
	for _, res := range r.results {
		if res.repeat || res.request.LeaveSeconds > 0 || res.request.Model == "" {
			continue
		}
		answered := res.good()
		offered++
		if answered {
			good++
		}
		if light[res.request.Workspace] {
			lightOffered++
			if answered {
				lightGood++
			}
			if res.outcome == hbs.OutcomeNotRun {
				rep.LightRefused++
			}
		}
		if !r.Trace.Header.InCrest(res.request.At) {
			continue
		}
		servable += r.servableShare[res.request.Model]
		if answered {
			crestGood++
		}
	}
	rep.Goodput = ratio(good, offered)
	rep.LightGoodput = ratio(lightGood, lightOffered)
	if servable > 0 {
		rep.GoodputAtCrest = min(1, float64(crestGood)/servable)
	}
}

// lightWorkspaces returns the workspaces with less than half an equal share of the
// requests.
func (r *Replay) lightWorkspaces() map[hbs.WorkspaceID]bool {
	m := map[hbs.WorkspaceID]bool{}
	for _, w := range r.Trace.Header.Workspaces {
		m[w.ID] = w.Share < 0.5/float64(len(r.Trace.Header.Workspaces))
	}
	return m
}

func (r *Replay) measureControl(rep *Report) {
	seconds := time.Since(r.fleet.baselineTime).Seconds()
	rep.PlatformCallsPerSec = float64(r.fleet.platformCalls()-r.fleet.baselineCalls) / seconds
	now, before := r.fleet.controlBytes(), r.fleet.baselineBytes
	share := 1 / seconds / float64(len(r.fleet.instances))
	by := ControlBytes{
		Peer:     (now.Peer - before.Peer) * share,
		Platform: (now.Platform - before.Platform) * share,
		Endpoint: (now.Endpoint - before.Endpoint) * share,
	}
	rep.ControlBytesBy = by
	rep.ControlBytes = by.Peer + by.Platform + by.Endpoint
	for _, p := range r.probes {
		rep.ConfigSeconds = max(rep.ConfigSeconds, p.slowest.Seconds())
	}
	for _, in := range r.fleet.instances {
		rep.RestartSeconds = max(rep.RestartSeconds, in.slowestRestart().Seconds())
	}
	for _, o := range r.rollouts {
		r.measureRollout(rep, o)
	}
	rep.MostLoadsAtOnce = r.fleet.weightStore.PeakLoads()
	for _, e := range r.fleet.engines {
		for _, o := range e.Orders() {
			if o.Stale {
				rep.StaleOrders++
			}
		}
	}
}

func (r *Replay) measureRollout(rep *Report, o rollout) {
	for _, e := range r.fleet.engines {
		if e.Model != o.model || r.departed(e.ID) {
			continue
		}
		v, since := e.Serving()
		if v != o.weights {
			rep.RolloutMissing++
			continue
		}
		rep.RolloutSeconds = max(rep.RolloutSeconds, since.Sub(o.at).Seconds())
	}
}

func (r *Replay) departed(id hbs.EndpointID) bool {
	return slices.ContainsFunc(r.departures, func(d departure) bool { return d.id == id })
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
