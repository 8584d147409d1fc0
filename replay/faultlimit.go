package replay

import (
	"context"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// workspaceLimit is a limit that a fault set on one workspace. Times are in seconds
// from the start of the trace.
type workspaceLimit struct {
	workspace hbs.WorkspaceID
	limits    config.Limits
	from, to  float64
}

// limitWorkspaces sets limits and, if the fault has a duration, removes them at its
// end.
func (r *Replay) limitWorkspaces(ctx context.Context, f Fault) error {
	limits := config.Limits{RequestsPerSecond: f.RequestsPerSecond, Concurrency: f.Concurrency}
	affected := targets(f, r.Trace.Header.Workspaces, func(w trace.Workspace) string { return string(w.ID) })
	if len(affected) == 0 {
		return errNoTarget
	}
	_, to := f.span(r.Trace.Header.Seconds)
	for _, w := range affected {
		r.setLimits(w.ID, limits)
		r.mu.Lock()
		r.limits = append(r.limits, workspaceLimit{w.ID, limits, f.AtSeconds, to})
		r.mu.Unlock()
	}
	if f.ForSeconds == 0 {
		return nil
	}
	_ = delay.For(ctx, f.duration())
	for _, w := range affected {
		r.setLimits(w.ID, config.Limits{})
	}
	return nil
}

func (r *Replay) setLimits(id hbs.WorkspaceID, limits config.Limits) {
	w := workspaceConfig(id)
	w.Limits = limits
	r.fleet.apply(&config.Config{Workspaces: []config.Workspace{w}})
}

// span returns when the fault starts and ends in a trace that lasts seconds.
func (f *Fault) span(seconds float64) (from, to float64) {
	if f.ForSeconds == 0 {
		return f.AtSeconds, seconds
	}
	return f.AtSeconds, min(seconds, f.AtSeconds+f.ForSeconds)
}

// errOneInstance is returned for an entry_lopsided fault whose count is above 1.
var errOneInstance = errors.New("arrivals can be sent to one instance only")

// skewEntry makes the balancer prefer the first instance that the fault matches.
func (r *Replay) skewEntry(ctx context.Context, f Fault) error {
	if f.Count > 1 {
		return errOneInstance
	}
	left := 1
	for _, in := range r.fleet.instances {
		if !f.matches(string(in.id), &left) {
			continue
		}
		r.callers.setSkew(in, f.Share)
		if f.ForSeconds > 0 {
			_ = delay.For(ctx, f.duration())
			r.callers.setSkew(nil, 0)
		}
		return nil
	}
	return errNoTarget
}
