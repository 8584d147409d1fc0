package hornbeamstage

import (
	"context"
	"encoding/json"
	"time"
)

// ObjectKind is a kind of object that the platform keeps for the system.
type ObjectKind string

// The kinds of object in use.
const (
	ObjectConfiguration ObjectKind = "configurations"
	ObjectInstance      ObjectKind = "instances"
	ObjectEndpoint      ObjectKind = "endpoints"
	ObjectLease         ObjectKind = "leases"
	ObjectPermit        ObjectKind = "permits"
	ObjectClaim         ObjectKind = "claims"
	ObjectStatus        ObjectKind = "statuses"
)

// Revision is the platform's version of an object or of its whole store. It
// only grows. Zero means none.
type Revision uint64

// Object is one value that the platform keeps.
type Object struct {
	Kind ObjectKind
	// Name is unique within Kind.
	Name string
	// Revision is zero for an object that is not stored yet.
	Revision Revision
	// Value is JSON, at most MaxObjectBytes long.
	Value json.RawMessage
	// Status is what others than the writer of Value say of the object, in JSON;
	// empty where the platform keeps none. Create and Update leave it as it is.
	Status json.RawMessage
}

// MaxObjectBytes is the largest value that the platform takes, in bytes.
const MaxObjectBytes = 1 << 20

// WatchEvent is one change that a watch tells.
type WatchEvent struct {
	// Deleted events carry the last value.
	Deleted bool
	Object  Object
	// Bookmark events carry only Object.Revision.
	Bookmark bool
	// AsOf is when everything up to this event was the newest state, by the local
	// clock. It is zero where the platform does not tell.
	AsOf time.Time
}

// Page is a part of a listing.
type Page struct {
	// Objects are sorted by name within the listing.
	Objects []Object
	// Revision is that of the whole listing.
	Revision Revision
	// Continue asks for the next page; empty after the last one.
	Continue string
}

// Platform is the object API of the platform. All errors match exactly one of
// the ErrPlatform sentinels with errors.Is.
type Platform interface {
	Get(ctx context.Context, kind ObjectKind, name string) (Object, error)
	// List returns all objects of kind and the revision of the listing.
	List(ctx context.Context, kind ObjectKind) ([]Object, Revision, error)
	// ListPage returns at most limit objects of kind, those after the page that
	// had the token, or the first ones when token is empty. The pages of one
	// listing show the state at its revision. When the token is too old it
	// returns ErrCompacted: the caller lists anew or, when the page that comes
	// with the error has a token, goes on with that from the state as it is now.
	ListPage(ctx context.Context, kind ObjectKind, limit int, token string) (Page, error)
	// Create stores obj if no object has its name, else ErrConflict.
	Create(ctx context.Context, obj Object) (Object, error)
	// Update stores obj if the stored revision is obj.Revision, else ErrConflict.
	Update(ctx context.Context, obj Object) (Object, error)
	// Delete removes the object if its revision is rev, else ErrConflict.
	Delete(ctx context.Context, kind ObjectKind, name string, rev Revision) error
	// Watch sends the changes of kind after since to events, in order, until
	// ctx ends or the watch breaks. It returns ErrCompacted when since is too
	// old; the caller lists again.
	Watch(ctx context.Context, kind ObjectKind, since Revision, events chan<- WatchEvent) error
}

// StaleReader is implemented by a Platform that has a cheaper read which may be
// behind, and never ahead of, the newest state.
type StaleReader interface {
	// GetStale returns an object as it was at some time.
	GetStale(ctx context.Context, kind ObjectKind, name string) (Object, error)
}
