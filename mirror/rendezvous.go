package mirror

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Rank orders instances by the rendezvous hash of key and their ID, the highest
// first. All instances that know the same members compute the same order, and the
// removal of a member does not change the order of the others.
func Rank(key string, ids []hbs.InstanceID) []hbs.InstanceID {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b hbs.InstanceID) int {
		if c := cmp.Compare(rendezvousHash(key, b), rendezvousHash(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

func rendezvousHash(key string, id hbs.InstanceID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}
