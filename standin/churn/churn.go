// Package churn measures what a component keeps of workspaces, instances and
// endpoints that have been replaced by others.
package churn

import "runtime"

// Growth calls step with 0 to n-1 and returns by how many bytes the live heap grew in
// the second half of the calls. What is kept must be reachable from step.
func Growth(n int, step func(i int)) int64 {
	for i := range n / 2 {
		step(i)
	}
	before := liveHeap()
	for i := n / 2; i < n; i++ {
		step(i)
	}
	growth := liveHeap() - before
	runtime.KeepAlive(step)
	return growth
}

// liveHeap returns the size of the reachable objects in bytes.
func liveHeap() int64 {
	// The second collection frees what finalizers and pools held in the first one.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
