package placement_test

import (
	"fmt"
	"testing"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/placement"
)

// prompts returns n requests of 16 levels each. Groups of ten have the first 8
// levels in common.
func prompts(n int) []*hbs.Request {
	var list []*hbs.Request
	for i := range n {
		var keys []hbs.LevelKey
		for l := range 16 {
			base := uint64(i)
			if l < 8 {
				base = uint64(i / 10)
			}
			keys = append(keys, hbs.LevelKey((base*31+uint64(l)+1)*0x9e3779b97f4a7c15))
		}
		list = append(list, request(keys...))
	}
	return list
}

// beliefsPerPrompt is the mean number of beliefs that a request of prompts
// adds: 8 levels of its own and a tenth of the 8 shared ones.
const beliefsPerPrompt = 8.8

func benchmarkPlace(b *testing.B, endpoints, beliefs int) {
	f := newPlacer(newDirectory(endpoints), "a")
	list := prompts(int(float64(beliefs) / beliefsPerPrompt))
	for _, req := range list {
		p, err := f.Place(req, nil)
		if err != nil {
			b.Fatal(err)
		}
		complete(f, p, "1", 0)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		p, err := f.Place(list[i%len(list)], nil)
		if err != nil {
			b.Fatal(err)
		}
		f.Finish(&p, hbs.AttemptResult{End: hbs.EndCanceled})
		i += 7
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{16, 64, 333} {
		for _, beliefs := range []int{1_000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("endpoints=%d/beliefs=%d", n, beliefs), func(b *testing.B) { benchmarkPlace(b, n, beliefs) })
		}
	}
}

// BenchmarkRoster measures a placement right after a new roster, by the number
// of endpoints in it, which belong to 17 models. 902 is the share of one region
// in 10,000 endpoints, with its spares.
func BenchmarkRoster(b *testing.B) {
	for _, n := range []int{64, 333, 902, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := newDirectory(n)
			for i := 1; i < n; i++ {
				if i%17 != 0 {
					d.roster.Endpoints[i].Model = hbs.ModelName(fmt.Sprint("m", i%17))
				}
			}
			f := newPlacer(d, "a")
			for b.Loop() {
				next := *d.roster
				d.roster = &next
				p, err := f.Place(request(1), nil)
				if err != nil {
					b.Fatal(err)
				}
				f.Finish(&p, hbs.AttemptResult{End: hbs.EndCanceled})
			}
		})
	}
}

var _ hbs.Placer = (*placement.Placer)(nil)

// BenchmarkMergeLoad measures merging the load digest of one peer.
func BenchmarkMergeLoad(b *testing.B) {
	f := newPlacer(newDirectory(10), "a")
	if _, err := f.Place(request(1), nil); err != nil {
		b.Fatal(err)
	}
	section := f.Sections()[0]
	data := section.Digest(1 << 16)
	b.ReportAllocs()
	for b.Loop() {
		if err := section.Merge(instance("b"), data); err != nil {
			b.Fatal(err)
		}
	}
}
