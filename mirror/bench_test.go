package mirror_test

import (
	"fmt"
	"testing"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// BenchmarkSpares selects the spares of one region from the endpoints of 12.
func BenchmarkSpares(b *testing.B) {
	for _, n := range []int{333, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var objs []hbs.Object
			for i := range n {
				u := engine(fmt.Sprintf("e-%05d", i), hbs.Revision(i+1), hbs.RegionName(fmt.Sprintf("r-%d", i%12)))
				objs = append(objs, u.Object())
			}
			s := &mirror.Set{Region: "r-0", RegionOnly: true}
			for b.Loop() {
				if _, err := s.ReplaceSpares(objs, hbs.Revision(n), 4); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
