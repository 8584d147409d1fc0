package replay

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// surgeSpread is the time after a request, in seconds, over which its copies are
// spread.
const surgeSpread = 1.0

// addSurges adds the requests of the workspace surges to t.
func (r *Replay) addSurges(t *trace.Trace) {
	for i := range r.Faults {
		if f := &r.Faults[i]; f.Kind == FaultWorkspaceSurge {
			t.Requests = append(t.Requests, r.surgeCopies(t, f)...)
		}
	}
	slices.SortStableFunc(t.Requests, func(a, b trace.Request) int { return cmp.Compare(a.At, b.At) })
}

// surgeCopies returns on average Factor-1 copies of each request of the target
// workspaces. Each count is rounded up or down at random.
func (r *Replay) surgeCopies(t *trace.Trace, f *Fault) (out []trace.Request) {
	from, to := f.span(t.Header.Seconds)
	left := f.limit()
	affected := map[hbs.WorkspaceID]bool{}
	for _, w := range t.Header.Workspaces {
		affected[w.ID] = f.matches(string(w.ID), &left)
	}
	for _, q := range t.Requests {
		if !affected[q.Workspace] || q.At < from || q.At >= to {
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

// copyOf returns copy k of q: its prompt differs from that of q in the last segment.
func copyOf(q trace.Request, k int) trace.Request {
	suffix := fmt.Sprintf("-s%d", k+1)
	q.ID += suffix
	if q.Key != "" {
		q.Key += suffix
	}
	q.Segments = slices.Clone(q.Segments)
	if n := len(q.Segments); n > 1 {
		q.Segments[n-1].ID += suffix
	}
	return q
}

// checkSurge returns an error if the surge matches no workspace. The requests
// themselves were added before the start, by addSurges.
func (r *Replay) checkSurge(f Fault) error {
	left := 1
	for _, w := range r.Trace.Header.Workspaces {
		if f.matches(string(w.ID), &left) {
			return nil
		}
	}
	return errNoTarget
}
