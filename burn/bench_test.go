package burn_test

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
)

// BenchmarkObserve observes requests of n pairs of workspace and model in turn and
// reports the memory that the tracker uses per pair.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{8, 64, 390} {
		b.Run(fmt.Sprintf("pairs=%d", n), func(b *testing.B) {
			tracker := newTracker("a")
			before := heapBytes()
			for i := range n {
				tracker.Observe(newSample(i))
			}
			perPair := float64(heapBytes()-before) / float64(n)
			i := 0
			for b.Loop() {
				tracker.Observe(newSample(i % n))
				i++
			}
			b.ReportMetric(perPair, "B/pair")
		})
	}
}

// BenchmarkReport creates and writes a report of n pairs of workspace and model.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{8, 64, 390} {
		b.Run(fmt.Sprintf("pairs=%d", n), func(b *testing.B) {
			tracker := newTracker("a")
			for i := range n {
				tracker.Observe(newSample(i))
			}
			for b.Loop() {
				if err := tracker.Report().Write(io.Discard, burn.FormatJSON); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func newSample(i int) burn.Sample {
	return burn.Sample{
		Workspace: hbs.WorkspaceID(fmt.Sprintf("w%d", i)), Model: hbs.ModelName(fmt.Sprintf("m%d", i%17)),
		Outcome: hbs.OutcomeAnswered, FirstToken: 100 * time.Millisecond, InterToken: 20 * time.Millisecond, Began: true,
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
