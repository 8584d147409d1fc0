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

// Problem is one violation found by Check. Decode turns it into a Fault with a
// line number.
type Problem struct {
	// Path is the invalid item in TOML notation, such as "exceptions[2].knob".
	Path string
	Text string
	// Unresolved marks a reference to something that no other item defines. Decode
	// rejects a file with such a problem; FromItems accepts the item, because the
	// platform's objects change one at a time.
	Unresolved bool
}

// checker validates a configuration and collects the problems.
type checker struct {
	knobs    map[hbs.KnobKey]hbs.Knob
	problems []Problem
}

// Check returns every problem of c. Knobs that are not in knobs are unknown.
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

func (k *checker) addProblem(path, format string, args ...any) {
	k.problems = append(k.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (k *checker) addUnresolved(path, what, name string) {
	text := fmt.Sprintf("unknown %s %q", what, name)
	k.problems = append(k.problems, Problem{Path: path, Text: text, Unresolved: true})
}

func (k *checker) workspaces(c *Config) {
	workspaceByHash := map[KeyHash]hbs.WorkspaceID{}
	seen := map[hbs.WorkspaceID]bool{}
	for i, w := range c.Workspaces {
		at := elementPath("workspaces", i)
		k.name(at+".id", string(w.ID), seen[w.ID])
		seen[w.ID] = true
		if w.Weight <= 0 {
			k.addProblem(at+".weight", "weight is %g, want a positive number", w.Weight)
		}
		if w.Limits.RequestsPerSecond < 0 {
			k.addProblem(at+".limits.requests_per_second", "limit is negative")
		}
		if w.Limits.Concurrency < 0 {
			k.addProblem(at+".limits.concurrency", "limit is negative")
		}
		for _, h := range w.KeyHashes {
			if other, taken := workspaceByHash[h]; taken {
				k.addProblem(at+".key_hashes", "a key hash already belongs to workspace %q", other)
			}
			workspaceByHash[h] = w.ID
		}
		for _, m := range w.Models {
			k.model(at+".models", c, m)
		}
	}
}

func (k *checker) models(models []Model) {
	seen := map[hbs.ModelName]bool{}
	for i, m := range models {
		at := elementPath("models", i)
		k.name(at+".name", string(m.Name), seen[m.Name])
		seen[m.Name] = true
		if m.Weights == "" {
			k.addProblem(at+".weights", "weights version is empty")
		}
		if m.MaxConcurrentLoads < 1 {
			k.addProblem(at+".loads_at_once", "loads_at_once is %d, want at least 1", m.MaxConcurrentLoads)
		}
		if slices.Contains(m.Adapters, "") {
			k.addProblem(at+".adapters", "an adapter name is empty")
		}
	}
}

func (k *checker) services(services []Service) {
	seen := map[hbs.ServiceName]bool{}
	for i, s := range services {
		at := elementPath("services", i)
		k.name(at+".name", string(s.Name), seen[s.Name])
		seen[s.Name] = true
		for j, r := range s.Routes {
			k.route(at+"."+elementPath("routes", j), r)
		}
	}
}

var methods = []string{anyMethod, http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions}

func (k *checker) route(at string, r Route) {
	if !slices.Contains(methods, r.Method) {
		k.addProblem(at+".method", "unknown method %q", r.Method)
	}
	if _, err := path.Match(r.Path, ""); err != nil || r.Path == "" || r.Path[0] != '/' {
		k.addProblem(at+".path", "path pattern %q is malformed or does not start with \"/\"", r.Path)
	}
	switch r.Class {
	case hbs.ClassRepeatable, hbs.ClassDeduplicated, hbs.ClassOnce:
	default:
		k.addProblem(at+".class", "unknown class %q", r.Class)
	}
}

func (k *checker) objectives(c *Config) {
	seen := map[burn.Objective]bool{}
	for i, o := range c.Objectives {
		at := elementPath("objectives", i)
		if err := o.Validate(); err != nil {
			k.addProblem(at, "%v", err)
		}
		key := burn.Objective{Kind: o.Kind, Workspace: o.Workspace, Model: o.Model}
		if seen[key] {
			k.addProblem(at, "duplicate objective for this kind, workspace and model")
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
		at := elementPath("exceptions", i)
		if _, known := k.knobs[e.Knob]; !known {
			k.addUnresolved(at+".knob", "knob", string(e.Knob))
		} else {
			k.value(at+".value", e.Knob, e.Value)
		}
		if e.Reason == "" {
			k.addProblem(at+".reason", "an exception must have a reason")
		}
		if seen[e.key()] {
			k.addProblem(at, "duplicate exception for knob %q and this scope", e.Knob)
		}
		seen[e.key()] = true
		k.scope(at, c, e.Workspace, e.Model, e.Service)
	}
}

func (k *checker) drains(drains []Drain) {
	seen := map[hbs.EndpointID]bool{}
	for i, d := range drains {
		k.endpoint(elementPath("drains", i), d.Endpoint, seen)
		k.reason(elementPath("drains", i), d.Reason, "a drain")
	}
}

func (k *checker) standbys(standbys []Standby) {
	seen := map[hbs.EndpointID]bool{}
	for i, s := range standbys {
		k.endpoint(elementPath("standbys", i), s.Endpoint, seen)
		k.reason(elementPath("standbys", i), s.Reason, "a standby")
	}
}

// endpoint checks that an endpoint ID is valid and not listed twice.
func (k *checker) endpoint(at string, id hbs.EndpointID, seen map[hbs.EndpointID]bool) {
	k.name(at+".endpoint", string(id), seen[id])
	seen[id] = true
}

func (k *checker) reason(at, reason, what string) {
	if reason == "" {
		k.addProblem(at+".reason", "%s must have a reason", what)
	}
}

func (k *checker) scope(at string, c *Config, w hbs.WorkspaceID, m hbs.ModelName, s hbs.ServiceName) {
	if w != "" && c.Workspace(w) == nil {
		k.addUnresolved(at+".workspace", "workspace", string(w))
	}
	if m != "" {
		k.model(at+".model", c, m)
	}
	if s != "" && c.Service(s) == nil {
		k.addUnresolved(at+".service", "service", string(s))
	}
}

func (k *checker) model(at string, c *Config, m hbs.ModelName) {
	if c.Model(m) == nil {
		k.addUnresolved(at, "model", string(m))
	}
}

func (k *checker) value(at string, key hbs.KnobKey, v float64) {
	knob, known := k.knobs[key]
	if !known {
		k.addUnresolved(at, "knob", string(key))
		return
	}
	inRange := v >= knob.Min && v <= knob.Max // false for NaN
	if !inRange {
		k.addProblem(at, "value %g is outside %g to %g (%s)", v, knob.Min, knob.Max, knob.Unit)
	}
}

// maxNameBytes keeps the name of the item's platform object within the
// platform's limits.
const maxNameBytes = 200

func (k *checker) name(at, name string, duplicate bool) {
	switch {
	case name == "":
		k.addProblem(at, "is empty")
	case len(name) > maxNameBytes:
		k.addProblem(at, "has %d bytes, at most %d are allowed", len(name), maxNameBytes)
	case duplicate:
		k.addProblem(at, "duplicate name %q", name)
	}
}

// elementPath returns the path of element i of a list, such as "drains[2]".
func elementPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }
