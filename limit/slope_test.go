package limit_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/limit"
)

var slopes = flag.Bool("slopes", false, "measure bytes, memory and convergence time by the size of the fleet")

// perInstance is the limit of a workspace in requests per second, for each
// instance of the fleet.
const perInstance = 2

// TestSlopes logs the measurements for docs/measurements/path.md. It checks
// nothing.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("a measurement; give -slopes")
	}
	for _, size := range []struct{ domains, instances, workspaces int }{
		{4, 2, 5}, {4, 7, 5}, {8, 7, 5}, {12, 7, 5}, {4, 14, 5}, {4, 33, 5}, {12, 33, 5}, {4, 33, 1}, {4, 33, 20}, {30, 33, 1}, {30, 33, 5}, {30, 33, 20},
	} {
		synctest.Test(t, func(t *testing.T) { measure(t, size.domains, size.instances, size.workspaces) })
	}
}

func measure(t *testing.T, domains, instances, workspaces int) {
	n := domains * instances
	total := float64(perInstance * n * workspaces)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newDomainFleet(t, domains, instances, func(hbs.WorkspaceID) limit.Limits {
		return limit.Limits{RequestsPerSecond: float64(perInstance * n)}
	})
	var names []hbs.WorkspaceID
	for k := range workspaces {
		names = append(names, hbs.WorkspaceID(fmt.Sprintf("customer-%03d", k)))
	}
	even := func(int, int) float64 { return 2 * total / float64(n) }
	f.run(20*time.Second, 0, even, names...)
	clear(f.bytes)
	const span = 10 * time.Second
	admitted, _ := f.run(span, 0, even, names...)
	runtime.GC()
	runtime.ReadMemStats(&after)
	perNode := func(name string) float64 { return float64(f.bytes[name]) / span.Seconds() / float64(n) }
	t.Logf("%d domains of %d, %d workspaces: admitted %.3f of the limit with balanced traffic; bytes sent per second and instance: claims %.0f, shares %.0f, sums %.0f; %d bytes of heap an instance; interval %v, budget %d",
		domains, instances, workspaces, float64(admitted)/span.Seconds()/total, perNode("limit"), perNode("limit.shares"), perNode("limit.sums"),
		(int64(after.HeapAlloc)-int64(before.HeapAlloc))/int64(n), f.interval, f.budget)
	lopsided := func(d, _ int) float64 {
		if d == 0 {
			return 2 * total / float64(instances)
		}
		return 0
	}
	for s := range 6 {
		admitted, _ = f.run(span/2, 0, lopsided, names...)
		t.Logf("  %d to %d s after all traffic moved to one domain: %.3f", s*5, s*5+5, float64(admitted)/(span/2).Seconds()/total)
	}
}
