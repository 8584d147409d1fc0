package admission

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
)

// limitedPlacer accepts as many placements as free says, then returns ErrFull.
type limitedPlacer struct {
	hbs.Placer
	free int
}

func (p *limitedPlacer) Place(*hbs.Request, []hbs.EndpointID) (hbs.Placement, error) {
	if p.free == 0 {
		return hbs.Placement{}, hbs.ErrFull
	}
	p.free--
	return hbs.Placement{}, nil
}

// BenchmarkEnqueueAndDispatch enqueues one request behind 10,000 waiting ones and
// dispatches one.
func BenchmarkEnqueueAndDispatch(b *testing.B) {
	const queued, workspaces = 10_000, 390
	placer := &limitedPlacer{}
	c := &Controller{Placer: placer, Policy: knob.NewFixed(Knobs).With(KnobQueueLimit, queued+1), Metrics: metrics.NewRegistry()}
	reqs := make([]*hbs.Request, workspaces)
	for i := range reqs {
		reqs[i] = &hbs.Request{Workspace: hbs.WorkspaceID(fmt.Sprint("ws", i)), Model: "m", ExpectedTokens: 50 + i}
	}
	q := c.queue(reqs[0])
	for i := range queued {
		q.enqueue(q.newWaiter(reqs[i*7%workspaces]))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		q.enqueue(q.newWaiter(reqs[i*7%workspaces]))
		placer.free = 1
		q.dispatch()
	}
	if n := q.lanes[laneShort].n; n != queued {
		b.Fatalf("%d wait, want %d", n, queued)
	}
}
