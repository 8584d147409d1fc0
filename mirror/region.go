package mirror

import (
	"encoding/json"
	"slices"
	"strings"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The kinds of a region are these prefixes followed by the region's name. Only
// instances have objects of these kinds, the platform does not.
const (
	regionPrefix hbs.ObjectKind = "endpoints/"
	sparesPrefix hbs.ObjectKind = "spares/"
)

// RegionKind returns the kind of the endpoints in region.
func RegionKind(region hbs.RegionName) hbs.ObjectKind {
	return regionPrefix + hbs.ObjectKind(region)
}

// SparesKind returns the kind of the spares for region.
func SparesKind(region hbs.RegionName) hbs.ObjectKind {
	return sparesPrefix + hbs.ObjectKind(region)
}

// isRegional reports whether kind is a kind of a region.
func isRegional(kind hbs.ObjectKind) bool {
	return strings.HasPrefix(string(kind), string(regionPrefix)) || strings.HasPrefix(string(kind), string(sparesPrefix))
}

// Kinds returns the kinds that the set stores, those of its region last.
func (s *Set) Kinds() []hbs.ObjectKind {
	kinds := slices.Clone(Kinds)
	if s.RegionOnly {
		kinds = slices.DeleteFunc(kinds, func(k hbs.ObjectKind) bool { return k == hbs.ObjectEndpoint })
	}
	if s.Region != "" {
		kinds = append(kinds, RegionKind(s.Region), SparesKind(s.Region))
	}
	return kinds
}

// Stores reports whether the set stores objects of kind.
func (s *Set) Stores(kind hbs.ObjectKind) bool { return slices.Contains(s.Kinds(), kind) }

// EndpointKind returns the kind with all endpoints that the set stores, except the
// spares.
func (s *Set) EndpointKind() hbs.ObjectKind {
	if s.RegionOnly {
		return RegionKind(s.Region)
	}
	return hbs.ObjectEndpoint
}

// PlatformSummaries returns the summaries of the platform's kinds only.
func (s *Set) PlatformSummaries() []Summary {
	return slices.DeleteFunc(s.Summaries(), func(sum Summary) bool { return isRegional(sum.Kind) })
}

// counterpart converts u between the platform's kind of endpoints and that of the
// set's region (rule 5), and reports whether that applies. A deletion in the
// region's kind may be a move to another region, so it has no counterpart in the
// platform's kind.
func (s *Set) counterpart(u *Update) (Update, bool) {
	regionKind := RegionKind(s.Region)
	switch {
	case s.Region == "":
		return Update{}, false
	case u.Kind == regionKind && !u.Deleted:
		t := *u
		t.Kind = hbs.ObjectEndpoint
		return t, true
	case u.Kind != hbs.ObjectEndpoint:
		return Update{}, false
	}
	t := *u
	t.Kind = regionKind
	if !u.Deleted && regionOf(u.Value) == s.Region {
		return t, true
	}
	t.Deleted, t.Value = true, nil
	_, known := s.entries[objectKey{regionKind, u.Name}]
	return t, known
}

// regionOf returns the region in an endpoint's record; empty when it has none or
// cannot be decoded.
func regionOf(value []byte) hbs.RegionName {
	var record struct {
		Region hbs.RegionName `json:"region"`
	}
	if err := json.Unmarshal(value, &record); err != nil {
		return ""
	}
	return record.Region
}
