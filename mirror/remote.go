package mirror

import (
	"maps"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// remoteEndpoints has the endpoints of other regions, from which a watcher selects
// the spares. It is not safe for concurrent use. A nil *remoteEndpoints ignores
// events and needs no selection.
type remoteEndpoints struct {
	region   hbs.RegionName
	objects  map[string]hbs.Object
	revision hbs.Revision
	// dirty says that an endpoint changed after the last selection of spares.
	dirty bool
	// lastChange is when a selection last changed the spares.
	lastChange time.Time
}

// newRemoteEndpoints returns the endpoints of other regions in a listing at rev.
func newRemoteEndpoints(region hbs.RegionName, objs []hbs.Object, rev hbs.Revision) *remoteEndpoints {
	r := &remoteEndpoints{region: region, objects: map[string]hbs.Object{}, revision: rev}
	for _, obj := range objs {
		if regionOf(obj.Value) != region {
			r.objects[obj.Name] = obj
		}
	}
	return r
}

// apply applies a watch event.
func (r *remoteEndpoints) apply(ev *hbs.WatchEvent) {
	if r == nil {
		return
	}
	r.revision = max(r.revision, ev.Object.Revision)
	_, known := r.objects[ev.Object.Name]
	remote := !ev.Deleted && regionOf(ev.Object.Value) != r.region
	switch {
	case remote:
		r.objects[ev.Object.Name] = ev.Object
	case known:
		delete(r.objects, ev.Object.Name)
	default:
		return
	}
	r.dirty = true
}

// selectionDue reports whether spares should be selected again: an endpoint has
// changed, and the spares have not for interval.
func (r *remoteEndpoints) selectionDue(interval time.Duration) bool {
	return r != nil && r.dirty && time.Since(r.lastChange) >= interval
}

// recordSelection records that spares were selected, and whether that changed them.
func (r *remoteEndpoints) recordSelection(changed bool) {
	r.dirty = false
	if changed {
		r.lastChange = time.Now()
	}
}

func (r *remoteEndpoints) list() []hbs.Object { return slices.Collect(maps.Values(r.objects)) }
