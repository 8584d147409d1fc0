package hornbeamstage

import (
	"context"
	"encoding/json"
	"time"
)

// ObjectKind is a kind of object that the platform stores.
type ObjectKind string

// The kinds of object.
const (
	ObjectConfiguration ObjectKind = "configurations"
	ObjectInstance      ObjectKind = "instances"
	ObjectEndpoint      ObjectKind = "endpoints"
	ObjectLease         ObjectKind = "leases"
	ObjectPermit        ObjectKind = "permits"
	ObjectClaim         ObjectKind = "claims"
	ObjectStatus        ObjectKind = "statuses"
)

// Revision is the platform's version of an object or of its whole store. It only
// increases. Zero means that there is none.
//
// A platform whose store was restored from a copy gives out its revisions again. So
// the high bits hold the number of restores, and the low ones the store's own number.
type Revision uint64

// storeRevisionBits is the number of bits of a Revision with the store's own number.
const storeRevisionBits = 40

// RevisionAfter returns the Revision of a store that was restored so many times and
// calls it n.
func RevisionAfter(restores, n uint64) Revision {
	return Revision(restores<<storeRevisionBits | n&(1<<storeRevisionBits-1))
}

// Restores returns how many times the store had been restored.
func (r Revision) Restores() uint64 { return uint64(r >> storeRevisionBits) }

// InStore returns the store's own number.
func (r Revision) InStore() uint64 { return uint64(r & (1<<storeRevisionBits - 1)) }

// Object is a value stored by the platform.
type Object struct {
	Kind ObjectKind
	// Name is unique within Kind.
	Name string
	// Revision is zero for an object that is not stored yet.
	Revision Revision
	// Value is JSON, at most MaxObjectBytes long. What another writer stored may be
	// anything; a value that is nested too deeply is empty when it is read.
	Value json.RawMessage
	// Status is JSON that other writers than that of Value report about the object.
	// It is empty if the platform stores none. Create and Update don't change it.
	Status json.RawMessage
}

// MaxObjectBytes is the maximum size in bytes of a value that the platform accepts.
const MaxObjectBytes = 1 << 20

// WatchEvent is a change or bookmark reported by a watch.
type WatchEvent struct {
	// Deleted means that the object was deleted. Object has its last value.
	Deleted bool
	Object  Object
	// Bookmark means that the event reports no change but only the revision that the
	// watch has reached, in Object.Revision.
	Bookmark bool
	// AsOf is a time, by the local clock, at which the state up to this event was the
	// latest. It is zero if the platform does not report it.
	AsOf time.Time
}

// Page is one page of a listing.
type Page struct {
	// Objects are sorted by name within the listing.
	Objects []Object
	// Revision is the revision of the whole listing.
	Revision Revision
	// Continue is the token for the next page. It is empty on the last page.
	Continue string
}

// Platform is the object API of the platform. Each error matches, by errors.Is,
// exactly one of ErrNotFound, ErrConflict, ErrCompacted, ErrNotApplied and
// ErrUncertain.
type Platform interface {
	Get(ctx context.Context, kind ObjectKind, name string) (Object, error)
	// List returns all objects of kind and the revision of the listing.
	List(ctx context.Context, kind ObjectKind) ([]Object, Revision, error)
	// ListPage returns at most limit objects of kind: the page after the one whose
	// Continue is token, or the first page if token is empty. All pages of a listing
	// show the state at its revision. If the token is too old, it returns
	// ErrCompacted. The caller then restarts the listing or, if the page returned
	// with the error has a Continue token, continues with that token on the current
	// state.
	ListPage(ctx context.Context, kind ObjectKind, limit int, token string) (Page, error)
	// Create stores obj. It returns ErrConflict if an object with its name exists.
	Create(ctx context.Context, obj Object) (Object, error)
	// Update stores obj. It returns ErrConflict if the stored revision is not
	// obj.Revision.
	Update(ctx context.Context, obj Object) (Object, error)
	// Delete removes the object. It returns ErrConflict if its revision is not rev.
	Delete(ctx context.Context, kind ObjectKind, name string, rev Revision) error
	// Watch sends the changes to objects of kind after the revision since to events,
	// in order, until ctx ends or the watch fails. It returns ErrCompacted if since is
	// too old; the caller then has to list again.
	Watch(ctx context.Context, kind ObjectKind, since Revision, events chan<- WatchEvent) error
}

// StaleReader is implemented by a Platform that also offers a cheaper read, whose
// result may be out of date.
type StaleReader interface {
	// GetStale returns the object as it was stored at some time up to the call.
	GetStale(ctx context.Context, kind ObjectKind, name string) (Object, error)
}
