package config

import (
	"fmt"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// NamedEndpoints returns the IDs of the endpoints that c drains or puts on
// standby, sorted and without duplicates.
func (c *Config) NamedEndpoints() (ids []hbs.EndpointID) {
	for i := range c.Drains {
		ids = append(ids, c.Drains[i].Endpoint)
	}
	for i := range c.Standbys {
		ids = append(ids, c.Standbys[i].Endpoint)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// CheckEndpoints checks the endpoints that a file names; c was decoded from data.
// records has the platform's record of each of NamedEndpoints, or nil. Endpoints
// without a record cause warnings, as they may be added later. The error is a
// *FaultsError that lists the items that can have no effect.
func (c *Config) CheckEndpoints(file string, data []byte, records map[hbs.EndpointID]*hbs.Endpoint) (warnings []Fault, err error) {
	lines := indexLines(data)
	var faults []Fault
	lineOf := func(list string, i int) int { return lines.line(elementPath(list, i) + ".endpoint") }
	for i, d := range c.Drains {
		if records[d.Endpoint] == nil {
			warnings = append(warnings, Fault{lineOf("drains", i), unlistedWarning(d.Endpoint)})
		}
	}
	for i, s := range c.Standbys {
		e := records[s.Endpoint]
		if e == nil {
			warnings = append(warnings, Fault{lineOf("standbys", i), unlistedWarning(s.Endpoint)})
		} else if text := c.standbyProblem(e); text != "" {
			faults = append(faults, Fault{lineOf("standbys", i), text})
		}
	}
	if len(faults) > 0 {
		return warnings, &FaultsError{file, faults}
	}
	return warnings, nil
}

// unlistedWarning returns the warning for an endpoint that the platform does not
// list.
func unlistedWarning(id hbs.EndpointID) string {
	return fmt.Sprintf("endpoint %q is not in the platform's list; the item takes effect when the endpoint is added", id)
}

// standbyProblem returns the reason why e can't be put on standby, or an empty
// string if it can.
func (c *Config) standbyProblem(e *hbs.Endpoint) string {
	switch {
	case e.Kind == hbs.KindService:
		return fmt.Sprintf("endpoint %q is a plain service and can't be on standby; drain it instead", e.ID)
	case e.Kind == hbs.KindEngine && c.Model(e.Model) == nil:
		return fmt.Sprintf("endpoint %q has model %q, which is not in the file, so it is never put on standby", e.ID, e.Model)
	}
	return ""
}
