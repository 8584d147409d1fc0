package config

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
)

// The prefixes of the items' object names, by kind of item.
const (
	prefixWorkspace = "workspace."
	prefixModel     = "model."
	prefixService   = "service."
	prefixObjective = "objective."
	prefixDefault   = "default."
	prefixException = "exception."
	prefixDrain     = "drain."
	prefixStandby   = "standby."
)

// key returns the exception's object name without the prefix; it is unique per
// knob and scope. The scope is hashed because its names may contain any
// character.
func (e *Exception) key() string {
	scope := fmt.Sprintf("%q%q%q%q", e.Workspace, e.Model, e.Service, e.Domain)
	return fmt.Sprintf("%s.%016x", e.Knob, xxhash.Sum64String(scope))
}

// objectiveKey returns the objective's object name without the prefix.
func objectiveKey(o *burn.Objective) string {
	return fmt.Sprintf("%s.%016x", o.Kind, xxhash.Sum64String(fmt.Sprintf("%q%q", o.Workspace, o.Model)))
}

// DrainName returns the object name of an endpoint's drain.
func DrainName(id hbs.EndpointID) string { return prefixDrain + escape(string(id)) }

// StandbyName returns the object name of an engine's standby.
func StandbyName(id hbs.EndpointID) string { return prefixStandby + escape(string(id)) }

// escape escapes slashes and other special characters, because object names are
// parts of URL paths.
func escape(name string) string { return url.QueryEscape(name) }

// Items returns the configuration as platform objects, sorted by name.
func (c *Config) Items() (objs []hbs.Object, err error) {
	defer func() { err = errors.Wrap(err, "encode configuration items") }()
	b := itemBuilder{}
	for i := range c.Workspaces {
		b.add(prefixWorkspace+escape(string(c.Workspaces[i].ID)), &c.Workspaces[i])
	}
	for i := range c.Models {
		b.add(prefixModel+escape(string(c.Models[i].Name)), &c.Models[i])
	}
	for i := range c.Services {
		b.add(prefixService+escape(string(c.Services[i].Name)), &c.Services[i])
	}
	for i := range c.Objectives {
		b.add(prefixObjective+objectiveKey(&c.Objectives[i]), &c.Objectives[i])
	}
	for i := range c.Defaults {
		b.add(prefixDefault+string(c.Defaults[i].Knob), &c.Defaults[i])
	}
	for i := range c.Exceptions {
		b.add(prefixException+c.Exceptions[i].key(), &c.Exceptions[i])
	}
	for i := range c.Drains {
		b.add(DrainName(c.Drains[i].Endpoint), &c.Drains[i])
	}
	for i := range c.Standbys {
		b.add(StandbyName(c.Standbys[i].Endpoint), &c.Standbys[i])
	}
	slices.SortFunc(b.objs, func(a, b hbs.Object) int { return strings.Compare(a.Name, b.Name) })
	return b.objs, b.err
}

type itemBuilder struct {
	objs []hbs.Object
	err  error
}

func (b *itemBuilder) add(name string, item any) {
	value, err := json.Marshal(item)
	b.err = errors.CombineErrors(b.err, err)
	b.objs = append(b.objs, hbs.Object{Kind: hbs.ObjectConfiguration, Name: name, Value: value})
}

// FromItems builds a configuration from the platform's objects. It skips items
// that can't be decoded or are invalid and returns an error for each. Unresolved
// references are allowed, because items change one at a time.
func FromItems(objs []hbs.Object, knobs []hbs.Knob) (c *Config, faults []error) {
	c = &Config{}
	d := newItemDecoder(knobs)
	for _, obj := range objs {
		item, err := d.decode(obj.Name, obj.Value)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		c.merge(item)
	}
	return c, faults
}

// itemDecoder decodes and validates single items.
type itemDecoder struct {
	knobs map[hbs.KnobKey]hbs.Knob
}

func newItemDecoder(knobs []hbs.Knob) itemDecoder {
	return itemDecoder{knobsByKey(knobs)}
}

// decode returns a configuration with the item as its only content.
func (d itemDecoder) decode(name string, value []byte) (item *Config, err error) {
	defer func() { err = errors.Wrapf(err, "configuration item %q", name) }()
	item = &Config{}
	if err := item.decodeItem(name, value); err != nil {
		return nil, err
	}
	k := checker{knobs: d.knobs}
	for _, p := range k.check(item) {
		if !p.Unresolved {
			return nil, errors.Newf("%s: %s", p.Path, p.Text)
		}
	}
	return item, nil
}

// merge appends the items of other to c.
func (c *Config) merge(other *Config) {
	c.Workspaces = append(c.Workspaces, other.Workspaces...)
	c.Models = append(c.Models, other.Models...)
	c.Services = append(c.Services, other.Services...)
	c.Objectives = append(c.Objectives, other.Objectives...)
	c.Defaults = append(c.Defaults, other.Defaults...)
	c.Exceptions = append(c.Exceptions, other.Exceptions...)
	c.Drains = append(c.Drains, other.Drains...)
	c.Standbys = append(c.Standbys, other.Standbys...)
}

// decodeItem decodes an object's value and appends it to the list that the prefix
// of its name selects.
func (c *Config) decodeItem(name string, value []byte) error {
	prefix, _, _ := strings.Cut(name, ".")
	switch prefix + "." {
	case prefixWorkspace:
		return decodeInto(&c.Workspaces, value)
	case prefixModel:
		return decodeInto(&c.Models, value)
	case prefixService:
		return decodeInto(&c.Services, value)
	case prefixObjective:
		return decodeInto(&c.Objectives, value)
	case prefixDefault:
		return decodeInto(&c.Defaults, value)
	case prefixException:
		return decodeInto(&c.Exceptions, value)
	case prefixDrain:
		return decodeInto(&c.Drains, value)
	case prefixStandby:
		return decodeInto(&c.Standbys, value)
	}
	return errors.New("unknown name prefix")
}

func decodeInto[T any](list *[]T, value []byte) error {
	var item T
	if err := json.Unmarshal(value, &item); err != nil {
		return err
	}
	*list = append(*list, item)
	return nil
}
