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
	// sparesName names the one object of a kind of spares.
	sparesName = "spares"
	// maxSpares bounds the spares of one region.
	maxSpares = 256
)

// Spare is an endpoint of another region.
type Spare struct {
	Name     string       `json:"name"`
	Revision hbs.Revision `json:"revision"`
	// Value is the platform's record.
	Value json.RawMessage `json:"value"`
}

// elsewhere is what the object of spares holds.
type elsewhere struct {
	Spares []Spare `json:"spares"`
	// Engines counts by model the engines of other regions that stay and are no
	// spares.
	Engines map[hbs.ModelName]int `json:"engines"`
}

// Elsewhere is what a set that leaves out other regions' endpoints knows of them.
type Elsewhere struct {
	Spares []Record[hbs.Endpoint]
	// Engines counts by model the engines that stay and are no spares.
	Engines map[hbs.ModelName]int
}

// use is what an endpoint is a spare for; all other fields are empty.
type use struct {
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
	model  hbs.ModelName
	weight uint64
}

// ReplaceSpares draws the spares from the platform's endpoints at rev, n for each
// use, and returns the update if they changed (rule 6).
func (s *Set) ReplaceSpares(objs []hbs.Object, rev hbs.Revision, n int) (adopted []Update, err error) {
	defer func() { err = errors.Wrap(err, "spares") }()
	if s.Region == "" {
		return nil, nil
	}
	others := draw(s.Region, objs, n)
	value, err := json.Marshal(others)
	if err != nil {
		return nil, err
	}
	kind := SparesKind(s.Region)
	old, known := s.Get(kind, sparesName)
	if bytes.Equal(old.Value, value) || !known && len(others.Spares) == 0 {
		return nil, nil
	}
	return s.Adopt([]Update{{Kind: kind, Name: sparesName, Revision: rev, Value: value}}), nil
}

// draw returns the spares of region, sorted by name, and counts the rest. They are the first ones by
// rendezvous hash with the region, so that regions draw different ones and a
// change of another endpoint changes nothing.
func draw(region hbs.RegionName, objs []hbs.Object, n int) elsewhere {
	all := elsewhere{Engines: map[hbs.ModelName]int{}}
	byUse := map[use][]candidate{}
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
		for _, u := range uses(&e) {
			byUse[u] = append(byUse[u], c)
		}
	}
	drawn := map[string]candidate{}
	// Each use gets its first one before any gets its second.
	for i := range n {
		for _, u := range sortedUses(byUse) {
			if i == 0 {
				spread(byUse[u])
			}
			if i < len(byUse[u]) && len(drawn) < maxSpares {
				drawn[byUse[u][i].Name] = byUse[u][i]
			}
		}
	}
	for _, c := range drawn {
		all.Spares = append(all.Spares, c.Spare)
		if c.model != "" {
			all.Engines[c.model]--
		}
	}
	slices.SortFunc(all.Spares, func(a, b Spare) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// spread orders candidates by weight and puts those first that are the only ones
// of their domain so far, so that a lost domain takes few spares along.
func spread(cs []candidate) {
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	turn := map[hbs.DomainName]int{}
	turns := make(map[string]int, len(cs))
	for i := range cs {
		turns[cs[i].Name] = turn[cs[i].domain]
		turn[cs[i].domain]++
	}
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(turns[a.Name], turns[b.Name]) })
}

// uses returns what e is a spare for.
func uses(e *hbs.Endpoint) []use {
	if e.Kind == hbs.KindService {
		return []use{{service: e.Service}}
	}
	all := []use{{model: e.Model, weights: e.Weights}}
	for _, a := range e.Adapters {
		all = append(all, use{model: e.Model, weights: e.Weights, adapter: a})
	}
	return all
}

func sortedUses(byUse map[use][]candidate) []use {
	all := make([]use, 0, len(byUse))
	for u := range byUse {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b use) int {
		return cmp.Or(cmp.Compare(a.adapter, b.adapter), cmp.Compare(a.service, b.service),
			cmp.Compare(a.model, b.model), cmp.Compare(a.weights, b.weights))
	})
	return all
}

// DecodeSpares decodes the spares of a region. A record that is not valid is
// left out.
func DecodeSpares(_ string, value []byte) (all Elsewhere, err error) {
	defer func() { err = errors.Wrap(err, "spares") }()
	var others elsewhere
	if err := json.Unmarshal(value, &others); err != nil {
		return Elsewhere{}, err
	}
	if len(others.Spares) > maxSpares {
		return Elsewhere{}, errors.Newf("%d endpoints, at most %d are taken", len(others.Spares), maxSpares)
	}
	all.Engines = others.Engines
	for _, spare := range others.Spares {
		if e, err := DecodeEndpoint(spare.Name, spare.Value); err == nil {
			all.Spares = append(all.Spares, Record[hbs.Endpoint]{e, spare.Revision})
		}
	}
	return all, nil
}
