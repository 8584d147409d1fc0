// Package mirror keeps copies of the platform's objects on every instance.
//
// Configurations, endpoints and instances are read from the platform by a few
// watchers of each failure domain and passed on between peers, so the calls to
// the platform do not grow with the number of instances. Rules:
//
//  1. An update is an object, or its deletion, with the platform's revision.
//     Of two updates of one object the one with the higher revision stands; a
//     deletion stands over the object's last value of the same revision.
//  2. An update that does not stand changes nothing and is not passed on. So
//     nothing reverts, whatever the order in which peers send.
//  3. Deletions are kept for tombstoneLife, so that a peer which missed one
//     can't bring the object back. A full listing from the platform deletes
//     whatever it does not hold and that is not newer than it.
//  4. Two sets with equal summaries hold equal objects. A peer whose summary
//     differs is asked for what this set lacks.
//  5. A region's endpoints are a kind of their own beside the platform's, so
//     that they have a summary. An endpoint that moves to another region is a
//     deletion in the kind of the region that it left, and in no other.
//     Updates are pushed in the platform's kind, and each set makes of them what
//     it keeps.
//  6. A set that keeps the endpoints of its own region only has of the others
//     the spares: some for each model, which a watcher draws from what the
//     platform tells it. They are one object with the platform's revision then.
package mirror

import (
	"slices"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Update is one object of the platform or its deletion.
type Update struct {
	Kind hbs.ObjectKind `json:"kind" cbor:"1,keyasint"`
	// Name is unique within Kind and not empty.
	Name string `json:"name" cbor:"2,keyasint"`
	// Revision is the platform's and not zero.
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

// Object returns the platform's form of u.
func (u *Update) Object() hbs.Object {
	return hbs.Object{Kind: u.Kind, Name: u.Name, Revision: u.Revision, Value: u.Value}
}

// NewUpdate returns the update that stores obj.
func NewUpdate(obj hbs.Object) Update {
	return Update{Kind: obj.Kind, Name: obj.Name, Revision: obj.Revision, Value: obj.Value}
}

// stands reports whether u replaces old (rule 1).
func (u *Update) stands(old *Update) bool {
	if u.Revision != old.Revision {
		return u.Revision > old.Revision
	}
	return u.Deleted && !old.Deleted
}

// Kinds are the platform's kinds that instances mirror.
var Kinds = []hbs.ObjectKind{hbs.ObjectConfiguration, hbs.ObjectEndpoint, hbs.ObjectInstance}

// Mirrored reports whether instances exchange objects of kind: those of the
// platform and those of regions.
func Mirrored(kind hbs.ObjectKind) bool {
	return slices.Contains(Kinds, kind) || regional(kind)
}
