package config

import (
	"bytes"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
)

// file is the TOML form of a Config: knob values are written in the notation of
// their unit, and the dotted keys of defaults are nested tables.
type file struct {
	Defaults   map[string]any  `toml:"defaults,omitempty"`
	Exceptions []fileException `toml:"exceptions,omitempty"`
	Workspaces []Workspace     `toml:"workspaces,omitempty"`
	Models     []Model         `toml:"models,omitempty"`
	Services   []Service       `toml:"services,omitempty"`
	Objectives []fileObjective `toml:"objectives,omitempty"`
	Drains     []Drain         `toml:"drains,omitempty"`
	Standbys   []Standby       `toml:"standbys,omitempty"`
}

type fileException struct {
	Knob      hbs.KnobKey     `toml:"knob"`
	Value     any             `toml:"value"`
	Reason    string          `toml:"reason"`
	Expires   *time.Time      `toml:"expires,omitempty"`
	Workspace hbs.WorkspaceID `toml:"workspace,omitempty"`
	Model     hbs.ModelName   `toml:"model,omitempty"`
	Service   hbs.ServiceName `toml:"service,omitempty"`
	Domain    hbs.DomainName  `toml:"domain,omitempty"`
}

type fileObjective struct {
	Kind      burn.ObjectiveKind `toml:"kind"`
	Workspace hbs.WorkspaceID    `toml:"workspace,omitempty"`
	Model     hbs.ModelName      `toml:"model,omitempty"`
	Threshold string             `toml:"threshold,omitempty"`
	Target    float64            `toml:"target"`
}

// convert returns the Config of f and reports values that don't fit their knob's
// unit.
func (d *decoder) convert(f *file, knobs []hbs.Knob) *Config {
	units := map[hbs.KnobKey]hbs.Unit{}
	for _, k := range knobs {
		units[k.Key] = k.Unit
	}
	c := &Config{Workspaces: f.Workspaces, Models: f.Models, Services: f.Services, Drains: f.Drains, Standbys: f.Standbys}
	for i := range c.Workspaces {
		if !d.lines.contains(elementPath("workspaces", i) + ".weight") {
			c.Workspaces[i].Weight = 1
		}
	}
	for i := range c.Models {
		if !d.lines.contains(elementPath("models", i) + ".loads_at_once") {
			c.Models[i].MaxConcurrentLoads = 1
		}
	}
	d.convertDefaults(c, "", f.Defaults, units)
	slices.SortFunc(c.Defaults, func(a, b Default) int { return strings.Compare(string(a.Knob), string(b.Knob)) })
	for i, e := range f.Exceptions {
		c.Exceptions = append(c.Exceptions, d.convertException(elementPath("exceptions", i), &e, units))
	}
	for i, o := range f.Objectives {
		c.Objectives = append(c.Objectives, d.convertObjective(elementPath("objectives", i), &o))
	}
	return c
}

func (d *decoder) convertDefaults(c *Config, prefix string, table map[string]any, units map[hbs.KnobKey]hbs.Unit) {
	for name, v := range table {
		path := join(prefix, name)
		if nested, ok := v.(map[string]any); ok {
			d.convertDefaults(c, path, nested, units)
			continue
		}
		key := hbs.KnobKey(path)
		n, err := parseValue(v, units[key])
		if err != nil {
			d.addInvalidValue("defaults."+path, err)
			continue
		}
		c.Defaults = append(c.Defaults, Default{key, n})
	}
}

func (d *decoder) convertException(at string, e *fileException, units map[hbs.KnobKey]hbs.Unit) Exception {
	n, err := parseValue(e.Value, units[e.Knob])
	if err != nil {
		d.addInvalidValue(at+".value", err)
	}
	x := Exception{Knob: e.Knob, Value: n, Reason: strings.TrimSpace(e.Reason),
		Workspace: e.Workspace, Model: e.Model, Service: e.Service, Domain: e.Domain}
	if e.Expires != nil {
		x.Expires = e.Expires.UTC()
	}
	return x
}

func (d *decoder) convertObjective(at string, o *fileObjective) burn.Objective {
	b := burn.Objective{Kind: o.Kind, Workspace: o.Workspace, Model: o.Model, Target: o.Target}
	if o.Threshold == "" {
		return b
	}
	threshold, err := time.ParseDuration(o.Threshold)
	if err != nil {
		d.addInvalidValue(at+".threshold", err)
	}
	b.Threshold = threshold
	return b
}

// addInvalidValue reports a value that could not be parsed. It marks the line as
// invalid, so that the zero in the value's place causes no further problem.
func (d *decoder) addInvalidValue(path string, err error) {
	d.addProblem(Problem{Path: path, Text: err.Error()})
	d.invalidLines[d.lines.line(path)] = true
}

// parseValue parses a knob's value in the notation of its unit: a duration is a
// string such as "1.5s" or a number of seconds, a switch is a boolean or a
// number, and all others are numbers.
func parseValue(v any, unit hbs.Unit) (float64, error) {
	switch v := v.(type) {
	case int64:
		return float64(v), nil
	case float64:
		return v, nil
	case bool:
		if unit == hbs.UnitSwitch {
			return switchValue(v), nil
		}
	case string:
		if unit != hbs.UnitDuration {
			break
		}
		d, err := time.ParseDuration(v)
		return d.Seconds(), err
	case nil:
		return 0, errors.New("value is missing")
	}
	if unit == "" {
		return 0, nil // Check reports the unknown knob
	}
	return 0, errors.Newf("value %v is not a %s", v, unit)
}

func switchValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// FormatValue returns a knob's value in the notation of its unit, as parseValue
// accepts it.
func FormatValue(v float64, unit hbs.Unit) any {
	switch {
	case unit == hbs.UnitDuration:
		return time.Duration(v * float64(time.Second)).String()
	case unit == hbs.UnitSwitch:
		return v != 0
	case v == math.Trunc(v) && math.Abs(v) < 1<<53:
		return int64(v)
	}
	return v
}

// Encode returns c as TOML that Decode accepts.
func (c *Config) Encode(knobs []hbs.Knob) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode configuration") }()
	units := map[hbs.KnobKey]hbs.Unit{}
	for _, k := range knobs {
		units[k.Key] = k.Unit
	}
	f := file{Workspaces: c.Workspaces, Models: c.Models, Services: c.Services, Drains: c.Drains, Standbys: c.Standbys, Defaults: map[string]any{}}
	for _, d := range c.Defaults {
		setNested(f.Defaults, strings.Split(string(d.Knob), "."), FormatValue(d.Value, units[d.Knob]))
	}
	for _, e := range c.Exceptions {
		f.Exceptions = append(f.Exceptions, encodeException(&e, units[e.Knob]))
	}
	for _, o := range c.Objectives {
		f.Objectives = append(f.Objectives, encodeObjective(&o))
	}
	var b bytes.Buffer
	err = toml.NewEncoder(&b).SetArraysMultiline(true).Encode(f)
	return b.Bytes(), err
}

// setNested sets the value at path in nested tables and creates missing tables.
func setNested(table map[string]any, path []string, v any) {
	for ; len(path) > 1; path = path[1:] {
		inner, ok := table[path[0]].(map[string]any)
		if !ok {
			inner = map[string]any{}
			table[path[0]] = inner
		}
		table = inner
	}
	table[path[0]] = v
}

func encodeException(e *Exception, unit hbs.Unit) fileException {
	f := fileException{Knob: e.Knob, Value: FormatValue(e.Value, unit), Reason: e.Reason,
		Workspace: e.Workspace, Model: e.Model, Service: e.Service, Domain: e.Domain}
	if !e.Expires.IsZero() {
		f.Expires = &e.Expires
	}
	return f
}

func encodeObjective(o *burn.Objective) fileObjective {
	f := fileObjective{Kind: o.Kind, Workspace: o.Workspace, Model: o.Model, Target: o.Target}
	if o.Threshold != 0 {
		f.Threshold = o.Threshold.String()
	}
	return f
}
