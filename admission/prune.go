package admission

import (
	"maps"
	"time"
)

const (
	// unusedAfter is the time without a request after which what was learned of a
	// workspace, model or service is removed.
	unusedAfter = 10 * time.Minute
	// minPruneAt is the smallest number of entries at which prune visits them.
	minPruneAt = 64
)

// pruner limits how often prune visits the entries of one map.
type pruner struct {
	// visitAt is the number of entries at which they are visited next.
	visitAt int
}

// prune removes the unused entries of m each time that their number has doubled.
func prune[K comparable, V any](p *pruner, m map[K]V, unused func(V) bool) {
	if len(m) < p.visitAt {
		return
	}
	maps.DeleteFunc(m, func(_ K, v V) bool { return unused(v) })
	p.visitAt = max(minPruneAt, 2*len(m))
}
