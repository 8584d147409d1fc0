package platform

import (
	"slices"
	"strconv"
	"strings"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Kinds of watch event.
const (
	added    = "ADDED"
	modified = "MODIFIED"
	deleted  = "DELETED"
	bookmark = "BOOKMARK"
)

// store sets an object and logs the change. It is called with mu held.
func (p *Platform) store(o Object) Object {
	k := objectKey{o.Kind, o.Metadata.Name}
	verb := added
	before, ok := p.objects[k]
	if ok {
		verb = modified
		if o.Status == nil {
			o.Status = before.Status
		}
	}
	p.rev++
	o.Metadata.ResourceVersion = strconv.FormatUint(p.rev, 10)
	p.objects[k] = o
	p.log(change{p.rev, p.changeTime(), verb, o, before})
	return o
}

// drop deletes an object and logs the change. It is called with mu held.
func (p *Platform) drop(k objectKey) {
	o, ok := p.objects[k]
	if !ok {
		return
	}
	before := o
	delete(p.objects, k)
	p.rev++
	o.Metadata.ResourceVersion = strconv.FormatUint(p.rev, 10)
	p.log(change{p.rev, p.changeTime(), deleted, o, before})
}

func (p *Platform) changeTime() time.Time {
	if p.serving {
		return time.Now()
	}
	return time.Time{}
}

func (p *Platform) log(c change) {
	p.changes = append(p.changes, c)
	if len(p.changes) > keptChanges {
		p.oldest = p.changes[0].rev
		p.changes = slices.Delete(p.changes, 0, 1)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// visible returns the newest change time that readers of kind see.
func (p *Platform) visible(kind hbs.ObjectKind) time.Time {
	now := time.Now()
	if lagging[kind] {
		return now.Add(-p.ListLag)
	}
	return now
}

// list returns the objects of kind as they were at the lag of the kind, and
// the revision of that listing. It is called with mu held.
func (p *Platform) list(kind hbs.ObjectKind) (items []Object, rev uint64) {
	until := p.visible(kind)
	rev = p.rev
	for _, c := range slices.Backward(p.changes) {
		if !c.at.After(until) || p.rev == 0 {
			break
		}
		rev = c.rev - 1
	}
	return p.listAt(kind, rev), rev
}

// listAt returns the objects of kind as they were at rev, by name. It is called
// with mu held.
func (p *Platform) listAt(kind hbs.ObjectKind, rev uint64) (items []Object) {
	now := map[string]Object{}
	for k, o := range p.objects {
		if k.kind == kind {
			now[k.name] = o
		}
	}
	for _, c := range slices.Backward(p.changes) {
		if c.rev <= rev {
			break
		}
		if c.object.Kind == kind {
			c.undo(now)
		}
	}
	for _, o := range now {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return items
}

// undo takes the change out of the state in now.
func (c *change) undo(now map[string]Object) {
	name := c.object.Metadata.Name
	if c.verb == added {
		delete(now, name)
		return
	}
	now[name] = c.before
}

// since returns the visible changes of kind after rev and the revision up to
// which the log was read. ok is false when rev is no longer kept.
func (p *Platform) since(kind hbs.ObjectKind, rev uint64) (found []change, upTo uint64, ok bool) {
	if rev < p.oldest {
		return nil, rev, false
	}
	until := p.visible(kind)
	upTo = rev
	for _, c := range p.changes {
		if c.rev <= rev {
			continue
		}
		if c.at.After(until) {
			break
		}
		upTo = c.rev
		if c.object.Kind == kind {
			found = append(found, c)
		}
	}
	return found, upTo, true
}
