package config

import (
	"fmt"
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// NamedEndpoints returns the endpoints that c drains or has stand by, each once.
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

// CheckEndpoints judges the endpoints that a file names; c is what was decoded
// from data. The records are those of NamedEndpoints, nil where there is none.
// Warnings are of endpoints that may come later. The error is a *FaultsError, of
// items that can't have an effect.
func (c *Config) CheckEndpoints(file string, data []byte, records map[hbs.EndpointID]*hbs.Endpoint) (warnings []Fault, err error) {
	lines := locate(data)
	var faults []Fault
	at := func(list string, i int) int { return lines.line(indexed(list, i) + ".endpoint") }
	for i, d := range c.Drains {
		if records[d.Endpoint] == nil {
			warnings = append(warnings, Fault{at("drains", i), notListed(d.Endpoint)})
		}
	}
	for i, s := range c.Standbys {
		e := records[s.Endpoint]
		if e == nil {
			warnings = append(warnings, Fault{at("standbys", i), notListed(s.Endpoint)})
		} else if text := c.cannotStandBy(e); text != "" {
			faults = append(faults, Fault{at("standbys", i), text})
		}
	}
	if len(faults) > 0 {
		return warnings, &FaultsError{file, faults}
	}
	return warnings, nil
}

func notListed(id hbs.EndpointID) string {
	return fmt.Sprintf("endpoint %q is not in the platform's list; the item takes effect when it comes", id)
}

// cannotStandBy tells why nobody would order e to stand by; empty if somebody will.
func (c *Config) cannotStandBy(e *hbs.Endpoint) string {
	switch {
	case e.Kind == hbs.KindService:
		return fmt.Sprintf("endpoint %q is a plain service and can't stand by; drain it", e.ID)
	case e.Kind == hbs.KindEngine && c.Model(e.Model) == nil:
		return fmt.Sprintf("endpoint %q has model %q, which is not in the file, so nobody orders it to stand by", e.ID, e.Model)
	}
	return ""
}
