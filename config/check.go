package config

import (
	"fmt"
	"net/http"
	"path"
	"slices"
	"strconv"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
)

// Problem is one fault of a configuration.
type Problem struct {
	// Path is the faulty item in TOML notation, such as "exceptions[2].knob".
	Path string
	Text string
	// Reference problems name something that another item should define. They
	// forbid a new file, but an item from the platform is kept in spite of them.
	Reference bool
}

// checker gathers problems.
type checker struct {
	knobs    map[hbs.KnobKey]hbs.Knob
	problems []Problem
}

// Check reports every problem of c, judged against the known knobs.
func (c *Config) Check(knobs []hbs.Knob) []Problem {
	k := checker{knobs: knobsByKey(knobs)}
	return k.check(c)
}

func knobsByKey(knobs []hbs.Knob) map[hbs.KnobKey]hbs.Knob {
	m := make(map[hbs.KnobKey]hbs.Knob, len(knobs))
	for _, k := range knobs {
		m[k.Key] = k
	}
	return m
}

func (k *checker) check(c *Config) []Problem {
	k.workspaces(c)
	k.models(c.Models)
	k.services(c.Services)
	k.objectives(c)
	k.defaults(c.Defaults)
	k.exceptions(c)
	k.drains(c.Drains)
	k.standbys(c.Standbys)
	return k.problems
}

func (k *checker) add(path, format string, args ...any) {
	k.problems = append(k.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (k *checker) missing(path, what, name string) {
	text := fmt.Sprintf("%s %q is not known", what, name)
	k.problems = append(k.problems, Problem{Path: path, Text: text, Reference: true})
}

func (k *checker) workspaces(c *Config) {
	owners := map[KeyHash]hbs.WorkspaceID{}
	seen := map[hbs.WorkspaceID]bool{}
	for i, w := range c.Workspaces {
		at := indexed("workspaces", i)
		k.name(at+".id", string(w.ID), seen[w.ID])
		seen[w.ID] = true
		if w.Weight <= 0 {
			k.add(at+".weight", "weight is %g, want a positive number", w.Weight)
		}
		if w.Limits.RequestsPerSecond < 0 {
			k.add(at+".limits.requests_per_second", "limit is negative")
		}
		if w.Limits.Concurrency < 0 {
			k.add(at+".limits.concurrency", "limit is negative")
		}
		for _, h := range w.KeyHashes {
			if other, taken := owners[h]; taken {
				k.add(at+".key_hashes", "a key hash belongs to workspace %q already", other)
			}
			owners[h] = w.ID
		}
		for _, m := range w.Models {
			k.model(at+".models", c, m)
		}
	}
}

func (k *checker) models(models []Model) {
	seen := map[hbs.ModelName]bool{}
	for i, m := range models {
		at := indexed("models", i)
		k.name(at+".name", string(m.Name), seen[m.Name])
		seen[m.Name] = true
		if m.Weights == "" {
			k.add(at+".weights", "weights version is empty")
		}
		if m.LoadsAtOnce < 1 {
			k.add(at+".loads_at_once", "loads_at_once is %d, want at least 1", m.LoadsAtOnce)
		}
		if slices.Contains(m.Adapters, "") {
			k.add(at+".adapters", "an adapter's name is empty")
		}
	}
}

func (k *checker) services(services []Service) {
	seen := map[hbs.ServiceName]bool{}
	for i, s := range services {
		at := indexed("services", i)
		k.name(at+".name", string(s.Name), seen[s.Name])
		seen[s.Name] = true
		for j, r := range s.Routes {
			k.route(at+"."+indexed("routes", j), r)
		}
	}
}

var methods = []string{anyMethod, http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions}

func (k *checker) route(at string, r Route) {
	if !slices.Contains(methods, r.Method) {
		k.add(at+".method", "method %q is not known", r.Method)
	}
	if _, err := path.Match(r.Path, ""); err != nil || r.Path == "" || r.Path[0] != '/' {
		k.add(at+".path", "path pattern %q is malformed or does not start with \"/\"", r.Path)
	}
	switch r.Class {
	case hbs.ClassRepeatable, hbs.ClassDeduplicated, hbs.ClassOnce:
	default:
		k.add(at+".class", "class %q is not known", r.Class)
	}
}

func (k *checker) objectives(c *Config) {
	seen := map[burn.Objective]bool{}
	for i, o := range c.Objectives {
		at := indexed("objectives", i)
		if err := o.Validate(); err != nil {
			k.add(at, "%v", err)
		}
		key := burn.Objective{Kind: o.Kind, Workspace: o.Workspace, Model: o.Model}
		if seen[key] {
			k.add(at, "an objective of this kind, workspace and model exists already")
		}
		seen[key] = true
		k.scope(at, c, o.Workspace, o.Model, "")
	}
}

func (k *checker) defaults(defaults []Default) {
	for _, d := range defaults {
		k.value("defaults."+string(d.Knob), d.Knob, d.Value)
	}
}

func (k *checker) exceptions(c *Config) {
	seen := map[string]bool{}
	for i, e := range c.Exceptions {
		at := indexed("exceptions", i)
		if _, known := k.knobs[e.Knob]; !known {
			k.missing(at+".knob", "knob", string(e.Knob))
		} else {
			k.value(at+".value", e.Knob, e.Value)
		}
		if e.Reason == "" {
			k.add(at+".reason", "an exception needs a written reason")
		}
		if seen[e.key()] {
			k.add(at, "an exception for knob %q and this scope exists already", e.Knob)
		}
		seen[e.key()] = true
		k.scope(at, c, e.Workspace, e.Model, e.Service)
	}
}

func (k *checker) drains(drains []Drain) {
	seen := map[hbs.EndpointID]bool{}
	for i, d := range drains {
		k.endpoint(indexed("drains", i), d.Endpoint, seen)
		k.reason(indexed("drains", i), d.Reason, "a drain")
	}
}

func (k *checker) standbys(standbys []Standby) {
	seen := map[hbs.EndpointID]bool{}
	for i, s := range standbys {
		k.endpoint(indexed("standbys", i), s.Endpoint, seen)
		k.reason(indexed("standbys", i), s.Reason, "a standby")
	}
}

// endpoint checks that an item names an endpoint, and none twice.
func (k *checker) endpoint(at string, id hbs.EndpointID, seen map[hbs.EndpointID]bool) {
	k.name(at+".endpoint", string(id), seen[id])
	seen[id] = true
}

func (k *checker) reason(at, reason, what string) {
	if reason == "" {
		k.add(at+".reason", "%s needs a written reason", what)
	}
}

func (k *checker) scope(at string, c *Config, w hbs.WorkspaceID, m hbs.ModelName, s hbs.ServiceName) {
	if w != "" && c.Workspace(w) == nil {
		k.missing(at+".workspace", "workspace", string(w))
	}
	if m != "" {
		k.model(at+".model", c, m)
	}
	if s != "" && c.Service(s) == nil {
		k.missing(at+".service", "service", string(s))
	}
}

func (k *checker) model(at string, c *Config, m hbs.ModelName) {
	if c.Model(m) == nil {
		k.missing(at, "model", string(m))
	}
}

func (k *checker) value(at string, key hbs.KnobKey, v float64) {
	knob, known := k.knobs[key]
	if !known {
		k.missing(at, "knob", string(key))
		return
	}
	inRange := v >= knob.Min && v <= knob.Max // false for NaN
	if !inRange {
		k.add(at, "value %g is outside %g to %g (%s)", v, knob.Min, knob.Max, knob.Unit)
	}
}

// maxNameBytes keeps an item's object name within the platform's limits.
const maxNameBytes = 200

func (k *checker) name(at, name string, taken bool) {
	switch {
	case name == "":
		k.add(at, "is empty")
	case len(name) > maxNameBytes:
		k.add(at, "has %d bytes, at most %d are allowed", len(name), maxNameBytes)
	case taken:
		k.add(at, "%q exists already", name)
	}
}

func indexed(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }
