// Package config holds the fleet configuration: workspaces, models, services,
// objectives, defaults and exceptions.
//
// Operators edit it as one TOML file. In the platform each item is an object
// of its own, so that a change moves about a kilobyte however large the whole
// is, and two operators who edit different items do not collide.
package config

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
)

// Config is one state of the fleet configuration. It does not change after
// decoding. Lists are in the order of the file.
type Config struct {
	Workspaces []Workspace
	Models     []Model
	Services   []Service
	Objectives []burn.Objective
	Defaults   []Default
	Exceptions []Exception
	Drains     []Drain
	Standbys   []Standby
}

// Workspace is one customer of the deployment.
type Workspace struct {
	// ID is unique and not empty.
	ID hbs.WorkspaceID `json:"id" toml:"id"`
	// KeyHashes are the SHA-256 of the accepted bearer keys, in hexadecimal.
	// No hash belongs to two workspaces.
	KeyHashes []KeyHash `json:"key_hashes" toml:"key_hashes"`
	// Weight is the share in fair queueing; positive, 1 when not written.
	Weight float64 `json:"weight" toml:"weight"`
	Limits Limits  `json:"limits" toml:"limits,omitempty"`
	// Models are those the workspace may use; empty allows all.
	Models []hbs.ModelName `json:"models,omitempty" toml:"models,omitempty"`
}

// Limits bound one workspace over the whole fleet. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" toml:"requests_per_second,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty" toml:"concurrency,omitempty"`
}

// Model is a model and the weights that its engines should run.
type Model struct {
	// Name is unique and not empty.
	Name hbs.ModelName `json:"name" toml:"name"`
	// Weights is the wanted version; not empty.
	Weights  hbs.WeightsVersion `json:"weights" toml:"weights"`
	Adapters []hbs.AdapterName  `json:"adapters,omitempty" toml:"adapters,omitempty"`
	// LoadsAtOnce is how many engines may load weights at the same time over
	// the whole fleet; at least 1.
	LoadsAtOnce int `json:"loads_at_once" toml:"loads_at_once"`
}

// Service is a plain service and the class of each of its routes.
type Service struct {
	// Name is unique and not empty.
	Name hbs.ServiceName `json:"name" toml:"name"`
	// Routes are tried in order; the first that matches tells the class.
	Routes []Route `json:"routes,omitempty" toml:"routes,omitempty"`
}

// Route gives a class to the requests that match it.
type Route struct {
	// Method is an HTTP method, or "*" for any.
	Method string `json:"method" toml:"method"`
	// Path is a pattern of path.Match; a trailing "/**" matches all below.
	Path  string         `json:"path" toml:"path"`
	Class hbs.RouteClass `json:"class" toml:"class"`
}

// Default replaces a knob's built-in default in the whole fleet.
type Default struct {
	Knob  hbs.KnobKey `json:"knob"`
	Value float64     `json:"value"`
}

// Exception replaces a knob's value in a scope.
type Exception struct {
	// Knob is known and Value inside its range, in the knob's unit.
	Knob  hbs.KnobKey `json:"knob"`
	Value float64     `json:"value"`
	// Reason tells people why; not empty.
	Reason string `json:"reason"`
	// Expires ends the exception; the zero time never does.
	Expires time.Time `json:"expires,omitzero"`
	// Scope is empty for the whole fleet.
	Workspace hbs.WorkspaceID `json:"workspace,omitempty"`
	Model     hbs.ModelName   `json:"model,omitempty"`
	Service   hbs.ServiceName `json:"service,omitempty"`
	Domain    hbs.DomainName  `json:"domain,omitempty"`
}

// Drain keeps new work off an endpoint until it is taken back.
type Drain struct {
	Endpoint hbs.EndpointID `json:"endpoint" toml:"endpoint"`
	// Reason tells people why; not empty.
	Reason string `json:"reason" toml:"reason"`
}

// Standby makes an engine stand by: it takes no work until it is taken off the
// list, and has its model's weights meanwhile.
type Standby struct {
	Endpoint hbs.EndpointID `json:"endpoint" toml:"endpoint"`
	// Reason tells people why; not empty.
	Reason string `json:"reason" toml:"reason"`
}

// Model returns the model's record, or nil.
func (c *Config) Model(name hbs.ModelName) *Model {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

// Workspace returns the workspace's record, or nil.
func (c *Config) Workspace(id hbs.WorkspaceID) *Workspace {
	for i := range c.Workspaces {
		if c.Workspaces[i].ID == id {
			return &c.Workspaces[i]
		}
	}
	return nil
}

// Service returns the service's record, or nil.
func (c *Config) Service(name hbs.ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Drain returns the drain of the endpoint, or nil.
func (c *Config) Drain(id hbs.EndpointID) *Drain {
	for i := range c.Drains {
		if c.Drains[i].Endpoint == id {
			return &c.Drains[i]
		}
	}
	return nil
}

// Drained reports whether an operator drains the endpoint.
func (c *Config) Drained(id hbs.EndpointID) bool { return c.Drain(id) != nil }

// StandsBy returns the standby of the endpoint, or nil.
func (c *Config) StandsBy(id hbs.EndpointID) *Standby {
	for i := range c.Standbys {
		if c.Standbys[i].Endpoint == id {
			return &c.Standbys[i]
		}
	}
	return nil
}
