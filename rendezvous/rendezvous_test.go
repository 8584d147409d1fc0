package rendezvous_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/rendezvous"
)

// places returns the place of each instance as it works it out itself.
func places(key string, ids []hbs.InstanceID) map[hbs.InstanceID]int {
	all := map[hbs.InstanceID]int{}
	for i, id := range ids {
		all[id] = rendezvous.Place(key, id, slices.Delete(slices.Clone(ids), i, i+1))
	}
	return all
}

func TestEachPlaceIsTakenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) hbs.InstanceID {
			return hbs.InstanceID(rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(t, "id"))
		}), 1, 40, rapid.ID).Draw(t, "ids")
		key := rapid.String().Draw(t, "key")
		g := NewWithT(t)
		var taken []int
		for _, p := range places(key, ids) {
			taken = append(taken, p)
		}
		slices.Sort(taken)
		for i, p := range taken {
			g.Expect(p).To(Equal(i))
		}
	})
}

func TestOrderOfTheRestStaysWhenOneEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []hbs.InstanceID{"a", "b", "c", "d", "e", "f"}
		ended := rapid.IntRange(0, len(ids)-1).Draw(t, "ended")
		key := rapid.String().Draw(t, "key")
		before := places(key, ids)
		after := places(key, slices.Delete(slices.Clone(ids), ended, ended+1))
		for id, p := range after {
			if before[id] > before[ids[ended]] {
				p++
			}
			NewWithT(t).Expect(p).To(Equal(before[id]))
		}
	})
}
