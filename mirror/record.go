package mirror

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// RecordCache decodes the objects of one kind and caches the results, so that
// only changed objects are decoded again.
type RecordCache[T any] struct {
	// Set holds the objects; not nil.
	Set  *Set
	Kind hbs.ObjectKind
	// Decode decodes and validates one object.
	Decode func(name string, value []byte) (T, error)

	mu      sync.Mutex
	version uint64
	decoded map[string]Record[T]
	list    []Record[T]
	invalid int
}

// Record is a decoded object.
type Record[T any] struct {
	Value    T
	Revision hbs.Revision
}

// Read returns the valid records sorted by object name, and the number of invalid
// objects. The caller must not modify the list.
func (r *RecordCache[T]) Read() (list []Record[T], invalid int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.Set.Version(r.Kind)
	if r.decoded != nil && version == r.version {
		return r.list, r.invalid
	}
	r.version = version
	r.list, r.invalid = nil, 0
	next := make(map[string]Record[T], len(r.decoded))
	for _, u := range r.Set.List(r.Kind) {
		record, err := r.decode(&u)
		if err != nil {
			r.invalid++
			continue
		}
		next[u.Name] = record
		r.list = append(r.list, record)
	}
	r.decoded = next
	return r.list, r.invalid
}

func (r *RecordCache[T]) decode(u *Update) (Record[T], error) {
	if old, ok := r.decoded[u.Name]; ok && old.Revision == u.Revision {
		return old, nil
	}
	v, err := r.Decode(u.Name, u.Value)
	return Record[T]{v, u.Revision}, err
}

// DecodeEndpoint decodes and validates the platform's record of an endpoint.
func DecodeEndpoint(name string, value []byte) (e hbs.Endpoint, err error) {
	defer func() { err = errors.Wrapf(err, "endpoint object %q", name) }()
	if err := json.Unmarshal(value, &e); err != nil {
		return hbs.Endpoint{}, err
	}
	if string(e.ID) != name {
		return hbs.Endpoint{}, errors.Newf("id is %q", e.ID)
	}
	return e, e.Validate()
}

// DecodeInstance decodes and validates the platform's record of an instance.
func DecodeInstance(name string, value []byte) (i hbs.Instance, err error) {
	defer func() { err = errors.Wrapf(err, "instance object %q", name) }()
	if err := json.Unmarshal(value, &i); err != nil {
		return hbs.Instance{}, err
	}
	if string(i.ID) != name {
		return hbs.Instance{}, errors.Newf("id is %q", i.ID)
	}
	return i, i.Validate()
}
