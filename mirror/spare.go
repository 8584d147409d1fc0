package mirror

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// sparesName is the name of the single object of each spares kind.
	sparesName = "spares"
	// maxSpares limits the spares of one region.
	maxSpares = 256
)

// Spare is an endpoint of another region, used when the local region has no
// endpoint left for a request.
type Spare struct {
	Name     string       `json:"name"`
	Revision hbs.Revision `json:"revision"`
	// Value is the endpoint's record in the platform.
	Value json.RawMessage `json:"value"`
}

// sparesObject is the JSON value of the object with a region's spares.
type sparesObject struct {
	Spares []Spare `json:"spares"`
	// Engines counts by model the engines of other regions that are not leaving
	// and are not spares.
	Engines map[hbs.ModelName]int `json:"engines"`
}

// OtherRegions is what a set that leaves out the endpoints of other regions
// knows of them.
type OtherRegions struct {
	Spares []Record[hbs.Endpoint]
	// Engines counts by model the engines that are not leaving and are not spares.
	Engines map[hbs.ModelName]int
}

// purpose is what a spare can serve: a service, or a model with weights and
// possibly an adapter. The other fields are empty.
type purpose struct {
	service hbs.ServiceName
	model   hbs.ModelName
	weights hbs.WeightsVersion
	adapter hbs.AdapterName
}

// candidate is an endpoint that may become a spare.
type candidate struct {
	Spare
	domain hbs.DomainName
	// model is empty for a plain service.
	model hbs.ModelName
	hash  uint64
}

// ReplaceSpares selects the spares from the platform's endpoints at rev, n for each
// purpose, and returns the update if the spares changed (rule 6).
func (s *Set) ReplaceSpares(objs []hbs.Object, rev hbs.Revision, n int) (adopted []Update, err error) {
	defer func() { err = errors.Wrap(err, "spares") }()
	if s.Region == "" {
		return nil, nil
	}
	spares := selectSpares(s.Region, objs, n)
	value, err := json.Marshal(spares)
	if err != nil {
		return nil, err
	}
	kind := SparesKind(s.Region)
	old, known := s.Get(kind, sparesName)
	if bytes.Equal(old.Value, value) || !known && len(spares.Spares) == 0 {
		return nil, nil
	}
	return s.Adopt([]Update{{Kind: kind, Name: sparesName, Revision: rev, Value: value}}), nil
}

// selectSpares returns the spares of region, sorted by name, and counts the engines
// that are not selected. Candidates are ordered by rendezvous hash with the region,
// so that regions select different ones and a change of another endpoint does not
// change the selection.
func selectSpares(region hbs.RegionName, objs []hbs.Object, n int) sparesObject {
	all := sparesObject{Engines: map[hbs.ModelName]int{}}
	byPurpose := map[purpose][]candidate{}
	for _, obj := range objs {
		e, err := DecodeEndpoint(obj.Name, obj.Value)
		if err != nil || e.Region == region || e.State == hbs.StateLeaving {
			continue
		}
		if e.Kind == hbs.KindEngine {
			all.Engines[e.Model]++
		}
		if e.State != hbs.StateLive {
			continue
		}
		c := candidate{Spare{obj.Name, obj.Revision, obj.Value}, e.Domain, e.Model, xxhash.Sum64String(string(region) + "\x00" + obj.Name)}
		for _, p := range purposes(&e) {
			byPurpose[p] = append(byPurpose[p], c)
		}
	}
	selected := map[string]candidate{}
	// Each purpose gets its first spare before any gets its second.
	for i := range n {
		for _, p := range sortedPurposes(byPurpose) {
			if i == 0 {
				orderCandidates(byPurpose[p])
			}
			if i < len(byPurpose[p]) && len(selected) < maxSpares {
				selected[byPurpose[p][i].Name] = byPurpose[p][i]
			}
		}
	}
	for _, c := range selected {
		all.Spares = append(all.Spares, c.Spare)
		if c.model != "" {
			all.Engines[c.model]--
		}
	}
	slices.SortFunc(all.Spares, func(a, b Spare) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// orderCandidates sorts cs by hash, then puts the first candidate of each domain
// before the second of any, and so on, so that the loss of a domain takes few
// spares with it.
func orderCandidates(cs []candidate) {
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.Name, b.Name))
	})
	perDomain := map[hbs.DomainName]int{}
	domainRank := make(map[string]int, len(cs))
	for i := range cs {
		domainRank[cs[i].Name] = perDomain[cs[i].domain]
		perDomain[cs[i].domain]++
	}
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(domainRank[a.Name], domainRank[b.Name]) })
}

// purposes returns what e can serve as a spare.
func purposes(e *hbs.Endpoint) []purpose {
	if e.Kind == hbs.KindService {
		return []purpose{{service: e.Service}}
	}
	all := []purpose{{model: e.Model, weights: e.Weights}}
	for _, a := range e.Adapters {
		all = append(all, purpose{model: e.Model, weights: e.Weights, adapter: a})
	}
	return all
}

func sortedPurposes(byPurpose map[purpose][]candidate) []purpose {
	all := make([]purpose, 0, len(byPurpose))
	for p := range byPurpose {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b purpose) int {
		return cmp.Or(cmp.Compare(a.adapter, b.adapter), cmp.Compare(a.service, b.service),
			cmp.Compare(a.model, b.model), cmp.Compare(a.weights, b.weights))
	})
	return all
}

// DecodeSpares decodes the spares of a region. Records that are not valid are left
// out.
func DecodeSpares(_ string, value []byte) (all OtherRegions, err error) {
	defer func() { err = errors.Wrap(err, "spares") }()
	var object sparesObject
	if err := json.Unmarshal(value, &object); err != nil {
		return OtherRegions{}, err
	}
	if len(object.Spares) > maxSpares {
		return OtherRegions{}, errors.Newf("%d spares, at most %d are allowed", len(object.Spares), maxSpares)
	}
	all.Engines = object.Engines
	for _, spare := range object.Spares {
		if e, err := DecodeEndpoint(spare.Name, spare.Value); err == nil {
			all.Spares = append(all.Spares, Record[hbs.Endpoint]{e, spare.Revision})
		}
	}
	return all, nil
}
