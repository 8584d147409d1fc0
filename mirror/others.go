package mirror

import (
	"maps"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// others are the endpoints of other regions as a watcher sees them. Only
// watchers have them, to draw spares from. A nil one is of no use and takes
// nothing in. It is used by one goroutine at a time.
type others struct {
	region  hbs.RegionName
	objects map[string]hbs.Object
	rev     hbs.Revision
	// changed tells that spares were not drawn since the last change.
	changed bool
	// last is when a draw last changed the spares.
	last time.Time
}

// newOthers keeps what a listing at rev has of other regions.
func newOthers(region hbs.RegionName, objs []hbs.Object, rev hbs.Revision) *others {
	o := &others{region: region, objects: map[string]hbs.Object{}, rev: rev}
	for _, obj := range objs {
		if regionOf(obj.Value) != region {
			o.objects[obj.Name] = obj
		}
	}
	return o
}

// take brings an event in.
func (o *others) take(ev *hbs.WatchEvent) {
	if o == nil {
		return
	}
	o.rev = max(o.rev, ev.Object.Revision)
	_, known := o.objects[ev.Object.Name]
	far := !ev.Deleted && regionOf(ev.Object.Value) != o.region
	switch {
	case far:
		o.objects[ev.Object.Name] = ev.Object
	case known:
		delete(o.objects, ev.Object.Name)
	default:
		return
	}
	o.changed = true
}

// due reports whether spares should be drawn anew.
func (o *others) due(interval time.Duration) bool {
	return o != nil && o.changed && time.Since(o.last) >= interval
}

// drawn notes a draw and whether it changed the spares.
func (o *others) drawn(anew bool) {
	o.changed = false
	if anew {
		o.last = time.Now()
	}
}

func (o *others) list() []hbs.Object { return slices.Collect(maps.Values(o.objects)) }
