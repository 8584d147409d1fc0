package replay

import (
	"context"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// limitSet is the limit of one workspace. Times are in seconds from the start
// of the trace.
type limitSet struct {
	workspace hbs.WorkspaceID
	limits    config.Limits
	from, to  float64
}

// limitWorkspaces sets limits and takes them away again after the fault's time.
func (r *Replay) limitWorkspaces(ctx context.Context, f Fault) error {
	limits := config.Limits{RequestsPerSecond: f.RequestsPerSecond, Concurrency: f.Concurrency}
	struck := targets(f, r.Trace.Header.Workspaces, func(w trace.Workspace) string { return string(w.ID) })
	if len(struck) == 0 {
		return errNoTarget
	}
	_, to := f.span(r.Trace.Header.Seconds)
	for _, w := range struck {
		r.setLimits(w.ID, limits)
		r.mu.Lock()
		r.limits = append(r.limits, limitSet{w.ID, limits, f.AtSeconds, to})
		r.mu.Unlock()
	}
	if f.ForSeconds == 0 {
		return nil
	}
	_ = delay.For(ctx, f.duration())
	for _, w := range struck {
		r.setLimits(w.ID, config.Limits{})
	}
	return nil
}

func (r *Replay) setLimits(id hbs.WorkspaceID, limits config.Limits) {
	w := workspaceConfig(id)
	w.Limits = limits
	r.fleet.apply(&config.Config{Workspaces: []config.Workspace{w}})
}

// span returns from when to when the fault lasts in a trace of that many seconds.
func (f *Fault) span(seconds float64) (from, to float64) {
	if f.ForSeconds == 0 {
		return f.AtSeconds, seconds
	}
	return f.AtSeconds, min(seconds, f.AtSeconds+f.ForSeconds)
}

// lean makes the entry lopsided.
func (r *Replay) lean(ctx context.Context, f Fault) error {
	left := 1
	for _, in := range r.fleet.instances {
		if !f.matches(string(in.id), &left) {
			continue
		}
		r.callers.lean(in, f.Share)
		if f.ForSeconds > 0 {
			_ = delay.For(ctx, f.duration())
			r.callers.lean(nil, 0)
		}
		return nil
	}
	return errNoTarget
}
