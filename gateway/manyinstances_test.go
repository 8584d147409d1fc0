package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/presence"
	"github.com/hornbeamstage/hornbeamstage/standin/pool"
)

// listInstances adds entries of further instances to the store, so that there are n.
func (f *fleet) listInstances(n int) {
	for i := len(f.instances); i < n; i++ {
		f.Expect(f.store.Put(presence.Kind, fmt.Sprintf("other%d", i), map[string]any{"writes": 1})).To(Succeed())
	}
}

// polled returns the engines that were polled for cache events.
func polled(es []*pool.Endpoint) (some []*pool.Endpoint) {
	for _, e := range es {
		if e.Polls() > 0 {
			some = append(some, e)
		}
	}
	return some
}

// Guards against days of hundreds of instances that are given up for their processor time:
// each instance followed the cache events of each engine.
var _ = Describe("the cache events of engines", func() {
	It("are read by a few instances, however many there are", func() {
		const instances, engines = 300, 40
		withFleet(func(f *fleet) {
			f.listInstances(instances)
			f.restart(0, 1)
			time.Sleep(settleTime)
			var added []*pool.Endpoint
			for i := range engines {
				added = append(added, f.startEndpoint(len(f.engines)+len(f.services)+i, "engines", "m"))
			}
			time.Sleep(10 * time.Second)
			// Eight of the instances read an engine, so that these two read 2.1 on average.
			f.Expect(len(polled(added))).To(BeNumerically("<=", 6))
		})
	})

	It("are read by all instances while there are few", func() {
		withFleet(func(f *fleet) {
			time.Sleep(5 * time.Second)
			f.Expect(polled(f.engines)).To(HaveLen(len(f.engines)))
		})
	})
})

// watches returns the number of requests with which instance i followed the records of
// endpoints.
func (f *fleet) watches(i int) int64 {
	return metrics.GetOrRegisterCounter("platform_watches_servers", f.instances[i].Metrics).Count()
}

// changeFor changes records of endpoints all the time, for d, and returns the number of
// requests with which instance 0 followed them.
func (f *fleet) changeFor(d time.Duration) int64 {
	before := f.watches(0)
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		record := map[string]any{"n": n}
		f.Expect(f.store.Put(platform.KindEndpoints, "changing", record)).To(Succeed())
		time.Sleep(10 * time.Millisecond)
	}
	return f.watches(0) - before
}

// Guards against calls to the store that grow with the instances and the changes: each
// instance followed each change with a request of its own.
var _ = Describe("the requests for changes of records", func() {
	It("come seldom while there are hundreds of instances", func() {
		withFleet(func(f *fleet) {
			const instances, seconds = 300, 10
			f.listInstances(instances)
			f.restart(0, 1)
			time.Sleep(3 * time.Second)
			f.Expect(f.changeFor(seconds * time.Second)).To(BeNumerically("<=", 3*seconds))
		})
	})

	It("come at once while there are few instances", func() {
		withFleet(func(f *fleet) {
			time.Sleep(3 * time.Second)
			f.Expect(f.changeFor(10 * time.Second)).To(BeNumerically(">=", 100))
		})
	})
})
