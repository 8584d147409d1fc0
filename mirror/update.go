// Package mirror keeps a copy of the platform's objects on every instance.
//
// A few watchers in each failure domain read configurations, endpoints and
// instances from the platform, and peers pass them on to each other, so the number
// of calls to the platform does not grow with the number of instances. Rules:
//
//  1. An update is an object, or its deletion, with the platform's revision.
//     Of two updates of one object the one with the higher revision supersedes
//     the other; a deletion supersedes a value of the same revision.
//  2. An update that does not supersede the stored one changes nothing and is not
//     passed on. So no object reverts to an older state, in whatever order peers
//     send updates.
//  3. Deletions are stored as tombstones for tombstoneTTL, so that a peer which
//     missed one cannot bring the object back. A full listing from the platform
//     deletes every object that it does not contain, unless the object is newer
//     than the listing.
//  4. Two sets with equal summaries contain equal objects. When a peer's summary
//     differs, the peer is asked for the updates that the local set lacks.
//  5. A region's endpoints are a kind of their own beside the platform's kind, so
//     that they have a summary. When an endpoint moves to another region, that
//     is a deletion in the kind of the region that it left, and in no other.
//     Updates are pushed with the platform's kind, and each set converts them to
//     the kinds that it stores.
//  6. A set that stores only the endpoints of its own region has spares of the
//     others: a few endpoints for each model or service, which a watcher selects
//     from the platform's endpoints. The spares of a region are one object,
//     whose revision is the platform's at the time of the selection.
package mirror

import (
	"slices"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Update is an object of the platform or its deletion.
type Update struct {
	Kind hbs.ObjectKind `json:"kind" cbor:"1,keyasint"`
	// Name is unique within Kind and not empty.
	Name string `json:"name" cbor:"2,keyasint"`
	// Revision is the platform's revision; not zero.
	Revision hbs.Revision `json:"revision" cbor:"3,keyasint"`
	Deleted  bool         `json:"deleted,omitempty" cbor:"4,keyasint,omitempty"`
	// Value is JSON; empty for a deletion.
	Value []byte `json:"value,omitempty" cbor:"5,keyasint,omitempty"`
}

// Validate reports the first invariant that u breaks.
func (u *Update) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "update of %s %q", u.Kind, u.Name) }()
	switch {
	case !Mirrored(u.Kind):
		return errors.New("kind is not mirrored")
	case u.Name == "":
		return errors.New("name is empty")
	case u.Revision == 0:
		return errors.New("revision is zero")
	case len(u.Value) > hbs.MaxObjectBytes:
		return errors.Newf("value has %d bytes", len(u.Value))
	}
	return nil
}

// Object returns u as an object of the platform.
func (u *Update) Object() hbs.Object {
	return hbs.Object{Kind: u.Kind, Name: u.Name, Revision: u.Revision, Value: u.Value}
}

// NewUpdate returns the update that stores obj.
func NewUpdate(obj hbs.Object) Update {
	return Update{Kind: obj.Kind, Name: obj.Name, Revision: obj.Revision, Value: obj.Value}
}

// supersedes reports whether u replaces old (rule 1).
func (u *Update) supersedes(old *Update) bool {
	if u.Revision != old.Revision {
		return u.Revision > old.Revision
	}
	return u.Deleted && !old.Deleted
}

// Kinds are the platform's object kinds that instances mirror.
var Kinds = []hbs.ObjectKind{hbs.ObjectConfiguration, hbs.ObjectEndpoint, hbs.ObjectInstance}

// Mirrored reports whether instances exchange objects of kind: those of the
// platform and those of regions.
func Mirrored(kind hbs.ObjectKind) bool {
	return slices.Contains(Kinds, kind) || isRegional(kind)
}
