package mirror

import (
	"encoding/json"
	"slices"
	"strings"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The kinds of a region are these and its name. The platform does not have them.
const (
	regionPrefix hbs.ObjectKind = "endpoints/"
	sparesPrefix hbs.ObjectKind = "spares/"
)

// RegionKind is the kind of the endpoints of region.
func RegionKind(region hbs.RegionName) hbs.ObjectKind {
	return regionPrefix + hbs.ObjectKind(region)
}

// SparesKind is the kind of the spares for region.
func SparesKind(region hbs.RegionName) hbs.ObjectKind {
	return sparesPrefix + hbs.ObjectKind(region)
}

// regional reports whether kind is one of a region.
func regional(kind hbs.ObjectKind) bool {
	return strings.HasPrefix(string(kind), string(regionPrefix)) || strings.HasPrefix(string(kind), string(sparesPrefix))
}

// Kinds returns the kinds that the set keeps, those of its region last.
func (s *Set) Kinds() []hbs.ObjectKind {
	kinds := slices.Clone(Kinds)
	if s.Part {
		kinds = slices.DeleteFunc(kinds, func(k hbs.ObjectKind) bool { return k == hbs.ObjectEndpoint })
	}
	if s.Region != "" {
		kinds = append(kinds, RegionKind(s.Region), SparesKind(s.Region))
	}
	return kinds
}

// Keeps reports whether the set keeps objects of kind.
func (s *Set) Keeps(kind hbs.ObjectKind) bool { return slices.Contains(s.Kinds(), kind) }

// EndpointKind returns the kind that has all endpoints which the set keeps but
// for the spares.
func (s *Set) EndpointKind() hbs.ObjectKind {
	if s.Part {
		return RegionKind(s.Region)
	}
	return hbs.ObjectEndpoint
}

// PlatformSummaries returns the summaries of the platform's kinds alone.
func (s *Set) PlatformSummaries() []Summary {
	return slices.DeleteFunc(s.Summaries(), func(sum Summary) bool { return regional(sum.Kind) })
}

// twin returns u as it stands in the other kind of endpoints (rule 5). A
// deletion in the region's kind may be a move, so it tells the platform's
// kind nothing.
func (s *Set) twin(u *Update) (Update, bool) {
	own := RegionKind(s.Region)
	switch {
	case s.Region == "":
		return Update{}, false
	case u.Kind == own && !u.Deleted:
		t := *u
		t.Kind = hbs.ObjectEndpoint
		return t, true
	case u.Kind != hbs.ObjectEndpoint:
		return Update{}, false
	}
	t := *u
	t.Kind = own
	if !u.Deleted && regionOf(u.Value) == s.Region {
		return t, true
	}
	t.Deleted, t.Value = true, nil
	_, known := s.entries[id{own, u.Name}]
	return t, known
}

// regionOf returns the region of an endpoint's record; empty when it names none
// or is not understood.
func regionOf(value []byte) hbs.RegionName {
	var record struct {
		Region hbs.RegionName `json:"region"`
	}
	if err := json.Unmarshal(value, &record); err != nil {
		return ""
	}
	return record.Region
}
