package mirror

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Rank orders instances by their rendezvous hash with key, the highest first.
// All instances that know the same members compute the same order, and a
// member that goes leaves the order of the others as it is.
func Rank(key string, ids []hbs.InstanceID) []hbs.InstanceID {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b hbs.InstanceID) int {
		if c := cmp.Compare(weight(key, b), weight(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

func weight(key string, id hbs.InstanceID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}
