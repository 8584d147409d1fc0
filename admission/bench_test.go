package admission

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
)

// gatedPlacer has room for as many placements as it is told.
type gatedPlacer struct {
	hbs.Placer
	room int
}

func (p *gatedPlacer) Place(*hbs.Request, []hbs.EndpointID) (hbs.Placement, error) {
	if p.room == 0 {
		return hbs.Placement{}, hbs.ErrFull
	}
	p.room--
	return hbs.Placement{}, nil
}

// BenchmarkArriveAndServe adds one request to 10,000 that wait and serves one.
func BenchmarkArriveAndServe(b *testing.B) {
	const queued, workspaces = 10_000, 390
	placer := &gatedPlacer{}
	c := &Controller{Placer: placer, Policy: knob.NewFixed(Knobs).With(KnobQueueLimit, queued+1), Metrics: metrics.NewRegistry()}
	reqs := make([]*hbs.Request, workspaces)
	for i := range reqs {
		reqs[i] = &hbs.Request{Workspace: hbs.WorkspaceID(fmt.Sprint("ws", i)), Model: "m", ExpectedTokens: 50 + i}
	}
	q := c.queue(reqs[0])
	for i := range queued {
		q.arrive(q.newWaiter(reqs[i*7%workspaces]))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		q.arrive(q.newWaiter(reqs[i*7%workspaces]))
		placer.room = 1
		q.pump()
	}
	if n := q.lanes[laneShort].n; n != queued {
		b.Fatalf("%d wait, want %d", n, queued)
	}
}
