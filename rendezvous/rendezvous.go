// Package rendezvous orders the instances of a fleet by rendezvous hashing: all instances
// that know the same others compute the same order for a key, and the end of one doesn't
// change the order of the rest.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Place returns the place of self in the order of all instances for key: the number of
// others that come before it.
func Place(key string, self hbs.InstanceID, others []hbs.InstanceID) int {
	place, own := 0, hash(key, self)
	for _, id := range others {
		if hash(key, id) > own {
			place++
		}
	}
	return place
}

func hash(key string, id hbs.InstanceID) uint64 {
	return xxhash.Sum64String(key + "/" + string(id))
}
