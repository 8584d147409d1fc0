package objects

import (
	"fmt"
	"slices"
	"strings"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// position is where a paged list continues: after the object name, in the state at
// rev, or in the newest state if rev is zero. Its text is the continue token.
type position struct {
	rev  hbs.Revision
	name string
}

func (p position) String() string { return fmt.Sprintf("%d/%s", p.rev, p.name) }

func parsePosition(token string) (p position) {
	if token != "" {
		_, _ = fmt.Sscanf(token, "%d/%s", &p.rev, &p.name)
	}
	return p
}

func (s *Store) page(kind hbs.ObjectKind, limit int, token string) (hbs.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := parsePosition(token)
	switch {
	case from.rev == 0:
		from.rev = s.revision
	case from.rev < s.oldest && s.renewTokens:
		return hbs.Page{Continue: position{0, from.name}.String()}, hbs.ErrCompacted
	case from.rev < s.oldest:
		return hbs.Page{}, hbs.ErrCompacted
	}
	all := s.listAt(kind, from.rev)
	first, _ := slices.BinarySearchFunc(all, from.name+"\x00", func(o hbs.Object, name string) int { return strings.Compare(o.Name, name) })
	if from.name == "" {
		first = 0
	}
	page := hbs.Page{Objects: all[first:], Revision: from.rev}
	if len(page.Objects) > limit {
		page.Objects = page.Objects[:limit]
		page.Continue = position{from.rev, page.Objects[limit-1].Name}.String()
	}
	return page, nil
}

// listAt returns the objects of kind as of rev, sorted by name.
func (s *Store) listAt(kind hbs.ObjectKind, rev hbs.Revision) (all []hbs.Object) {
	state := map[string]hbs.Object{}
	for _, e := range s.log {
		switch {
		case e.Object.Kind != kind || e.Object.Revision > rev:
		case e.Deleted:
			delete(state, e.Object.Name)
		default:
			state[e.Object.Name] = e.Object
		}
	}
	for _, o := range state {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b hbs.Object) int { return strings.Compare(a.Name, b.Name) })
	return all
}
