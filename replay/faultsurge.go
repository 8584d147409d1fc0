package replay

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// surgeSpread is the time after a request, in seconds, within which its copies
// arrive.
const surgeSpread = 1.0

// surge adds the arrivals of the workspace surges among the faults.
func (r *Replay) surge(t *trace.Trace) {
	for i := range r.Faults {
		if f := &r.Faults[i]; f.Kind == FaultWorkspaceSurge {
			t.Requests = append(t.Requests, r.copies(t, f)...)
		}
	}
	slices.SortStableFunc(t.Requests, func(a, b trace.Request) int { return cmp.Compare(a.At, b.At) })
}

// copies returns Factor-1 requests for each one of the target, the number
// rounded up or down at random.
func (r *Replay) copies(t *trace.Trace, f *Fault) (out []trace.Request) {
	from, to := f.span(t.Header.Seconds)
	left := f.limit()
	struck := map[hbs.WorkspaceID]bool{}
	for _, w := range t.Header.Workspaces {
		struck[w.ID] = f.matches(string(w.ID), &left)
	}
	for _, q := range t.Requests {
		if !struck[q.Workspace] || q.At < from || q.At >= to {
			continue
		}
		n := int(math.Floor(f.Factor - 1 + r.rng.Float64()))
		for k := range n {
			c := copyOf(q, k)
			c.At = min(q.At+r.rng.Float64()*surgeSpread, to)
			out = append(out, c)
		}
	}
	return out
}

// copyOf returns a request like q whose prompt differs in its last segment.
func copyOf(q trace.Request, k int) trace.Request {
	mark := fmt.Sprintf("-s%d", k+1)
	q.ID += mark
	if q.Key != "" {
		q.Key += mark
	}
	q.Segments = slices.Clone(q.Segments)
	if n := len(q.Segments); n > 1 {
		q.Segments[n-1].ID += mark
	}
	return q
}

// checkSurge tells whether a surge strikes a workspace.
func (r *Replay) checkSurge(f Fault) error {
	left := 1
	for _, w := range r.Trace.Header.Workspaces {
		if f.matches(string(w.ID), &left) {
			return nil
		}
	}
	return errNoTarget
}
