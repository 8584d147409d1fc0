package platform

import (
	"slices"
	"strconv"
	"strings"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Types of watch event.
const (
	added    = "ADDED"
	modified = "MODIFIED"
	deleted  = "DELETED"
	bookmark = "BOOKMARK"
)

// store sets an object and logs the change. The caller holds mu.
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

// remove deletes an object and logs the change. The caller holds mu.
func (p *Platform) remove(k objectKey) {
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
	if len(p.changes) > maxChanges {
		p.oldest = p.changes[0].rev
		p.changes = slices.Delete(p.changes, 0, 1)
	}
	p.changed.Send()
}

// visibleUntil returns the time of the newest change that readers of kind can see.
func (p *Platform) visibleUntil(kind hbs.ObjectKind) time.Time {
	now := time.Now()
	if lagging[kind] {
		return now.Add(-p.ListLag)
	}
	return now
}

// list returns the objects of kind that readers can see after the lag of that kind,
// and the revision of this state. The caller holds mu.
func (p *Platform) list(kind hbs.ObjectKind) (items []Object, rev uint64) {
	until := p.visibleUntil(kind)
	rev = p.rev
	for _, c := range slices.Backward(p.changes) {
		if !c.at.After(until) || p.rev == 0 {
			break
		}
		rev = c.rev - 1
	}
	return p.listAt(kind, rev), rev
}

// listAt returns the objects of kind as of rev, sorted by name. The caller holds mu.
func (p *Platform) listAt(kind hbs.ObjectKind, rev uint64) (items []Object) {
	state := map[string]Object{}
	for k, o := range p.objects {
		if k.kind == kind {
			state[k.name] = o
		}
	}
	for _, c := range slices.Backward(p.changes) {
		if c.rev <= rev {
			break
		}
		if c.object.Kind == kind {
			c.undo(state)
		}
	}
	for _, o := range state {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return items
}

// undo reverts the change in state.
func (c *change) undo(state map[string]Object) {
	name := c.object.Metadata.Name
	if c.verb == added {
		delete(state, name)
		return
	}
	state[name] = c.before
}

// since returns the visible changes of kind after rev and the revision up to
// which the log was read. ok is false if the log no longer reaches back to rev.
func (p *Platform) since(kind hbs.ObjectKind, rev uint64) (found []change, upTo uint64, ok bool) {
	if rev < p.oldest || rev > p.rev {
		return nil, rev, false
	}
	until := p.visibleUntil(kind)
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
