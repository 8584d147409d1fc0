package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstage/hornbeamstage/router"
)

// StartRouter is the Starter of the real router.
func StartRouter(p Process) Node { return startRouter(p, metrics.NewRegistry()) }

// countingStarter returns a Starter of real routers that share the registry r.
func countingStarter(r metrics.Registry) Starter {
	return func(p Process) Node { return startRouter(p, r) }
}

func startRouter(p Process, counters metrics.Registry) Node {
	r := &router.Router{
		Settings:  p.Settings,
		Network:   p.Network,
		Log:       p.Log,
		Metrics:   counters,
		Placement: p.Policy,
		Seed:      p.Seed,
	}
	return Node{Run: r.Run, Stop: r.Stop}
}

// writeCounters writes the nonzero counters of r, sorted by name.
func writeCounters(w io.Writer, r metrics.Registry) {
	counts := map[string]int64{}
	r.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && c.Count() != 0 {
			counts[name] = c.Count()
		}
	})
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%-40s %d\n", name, counts[name])
	}
}
