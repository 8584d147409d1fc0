package objects

import (
	"fmt"
	"slices"
	"strings"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// mark is the place where a listing goes on: after name, at rev, or in the
// newest state when rev is zero.
type mark struct {
	rev  hbs.Revision
	name string
}

func (m mark) String() string { return fmt.Sprintf("%d/%s", m.rev, m.name) }

func parseMark(token string) (m mark) {
	if token != "" {
		_, _ = fmt.Sscanf(token, "%d/%s", &m.rev, &m.name)
	}
	return m
}

func (s *Store) page(kind hbs.ObjectKind, limit int, token string) (hbs.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := parseMark(token)
	switch {
	case m.rev == 0:
		m.rev = s.revision
	case m.rev < s.oldest && s.goOn:
		return hbs.Page{Continue: mark{0, m.name}.String()}, hbs.ErrCompacted
	case m.rev < s.oldest:
		return hbs.Page{}, hbs.ErrCompacted
	}
	all := s.at(kind, m.rev)
	first, _ := slices.BinarySearchFunc(all, m.name+"\x00", func(o hbs.Object, name string) int { return strings.Compare(o.Name, name) })
	if m.name == "" {
		first = 0
	}
	page := hbs.Page{Objects: all[first:], Revision: m.rev}
	if len(page.Objects) > limit {
		page.Objects = page.Objects[:limit]
		page.Continue = mark{m.rev, page.Objects[limit-1].Name}.String()
	}
	return page, nil
}

// at returns the objects of kind as they were at rev, by name.
func (s *Store) at(kind hbs.ObjectKind, rev hbs.Revision) (all []hbs.Object) {
	then := map[string]hbs.Object{}
	for _, e := range s.log {
		switch {
		case e.Object.Kind != kind || e.Object.Revision > rev:
		case e.Deleted:
			delete(then, e.Object.Name)
		default:
			then[e.Object.Name] = e.Object
		}
	}
	for _, o := range then {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b hbs.Object) int { return strings.Compare(a.Name, b.Name) })
	return all
}
