package membership_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
	"github.com/hornbeamstage/hornbeamstage/membership"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// BenchmarkChange measures the time from the report of an endpoint's new
// incarnation to the updated roster, and the memory per endpoint (its object and
// decoded record), for several numbers of endpoints.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{16, 64, 333, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			set := &mirror.Set{}
			for i := range n {
				id := fmt.Sprintf("e-%05d", i)
				value, err := json.Marshal(hbs.Endpoint{ID: hbs.EndpointID(id), Kind: hbs.KindEngine, Domain: "a",
					Address: engineAddress, State: hbs.StateLive, Model: "m", Slots: 8})
				if err != nil {
					b.Fatal(err)
				}
				set.Adopt([]mirror.Update{{Kind: hbs.ObjectEndpoint, Name: id, Revision: hbs.Revision(i + 1), Value: value}})
			}
			d := &membership.Directory{Record: instance("self", "a"), Objects: set, Policy: knob.NewFixed(membership.Knobs),
				Metrics: metrics.NewRegistry()}
			d.Refresh()
			perEndpoint := float64(heapBytes()-before) / float64(n)
			for i := 0; b.Loop(); i++ {
				inc := hbs.Incarnation(fmt.Sprint(i))
				d.Report("e-00003", hbs.AttemptResult{End: hbs.EndComplete, Incarnation: inc})
				d.Refresh()
			}
			b.ReportMetric(perEndpoint, "B/endpoint")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRegion measures the time from a changed record of the platform to the
// updated roster with 10,000 endpoints in 12 regions. The changed endpoint is in
// the instance's own region or in another, and the instance mirrors all endpoints
// or only those of its region.
func BenchmarkRegion(b *testing.B) {
	const n, regions = 10000, 12
	for _, part := range []bool{false, true} {
		for _, change := range []struct {
			name string
			at   int
		}{{"own", 0}, {"other", 1}} {
			b.Run(fmt.Sprintf("part=%t/%s", part, change.name), func(b *testing.B) {
				before := heapBytes()
				set := &mirror.Set{Region: "r-0", RegionOnly: part}
				var objs []hbs.Object
				for i := range n {
					objs = append(objs, regionEngine(b, i, i%regions, "v0"))
				}
				set.Replace(hbs.ObjectEndpoint, objs, n)
				if _, err := set.ReplaceSpares(objs, n, 4); err != nil {
					b.Fatal(err)
				}
				objs = nil
				d := &membership.Directory{Record: instance("self", "a"), Objects: set, Policy: knob.NewFixed(membership.Knobs),
					Metrics: metrics.NewRegistry()}
				d.Refresh()
				heapMiB := float64(heapBytes()-before) / (1 << 20)
				for i := 0; b.Loop(); i++ {
					obj := regionEngine(b, change.at, change.at%regions, hbs.WeightsVersion(fmt.Sprint(i)))
					obj.Revision = hbs.Revision(n + 1 + i)
					set.Adopt([]mirror.Update{mirror.NewUpdate(obj)})
					d.Refresh()
				}
				b.ReportMetric(heapMiB, "MiB")
				b.ReportMetric(float64(len(d.Roster().Endpoints)), "endpoints")
			})
		}
	}
}

func regionEngine(b *testing.B, i, region int, weights hbs.WeightsVersion) hbs.Object {
	id := fmt.Sprintf("e-%05d", i)
	value, err := json.Marshal(hbs.Endpoint{ID: hbs.EndpointID(id), Kind: hbs.KindEngine, Domain: hbs.DomainName(fmt.Sprintf("d-%d", i%30)),
		Region: hbs.RegionName(fmt.Sprintf("r-%d", region)), Address: engineAddress, State: hbs.StateLive,
		Model: hbs.ModelName(fmt.Sprintf("m-%d", i%17)), Weights: weights, Slots: 8})
	if err != nil {
		b.Fatal(err)
	}
	return hbs.Object{Kind: hbs.ObjectEndpoint, Name: id, Revision: hbs.Revision(i + 1), Value: value}
}
