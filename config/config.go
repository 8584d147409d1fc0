// Package config holds the fleet configuration: workspaces, models, services,
// objectives, defaults and exceptions.
//
// Operators edit it as one TOML file. The platform stores each item as a
// separate object, so that a change transfers about a kilobyte regardless of the
// size of the configuration, and edits of different items do not conflict.
package config

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
)

// Config is one version of the fleet configuration. It is immutable after
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
	// KeyHashes are the SHA-256 hashes of the accepted bearer keys, written in
	// hexadecimal. No hash belongs to two workspaces.
	KeyHashes []KeyHash `json:"key_hashes" toml:"key_hashes"`
	// Weight is the weight in fair queueing; positive, 1 when omitted from the file.
	Weight float64 `json:"weight" toml:"weight"`
	Limits Limits  `json:"limits" toml:"limits,omitempty"`
	// Models are the models that the workspace may use; empty allows all.
	Models []hbs.ModelName `json:"models,omitempty" toml:"models,omitempty"`
}

// Limits are the fleet-wide limits of one workspace. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" toml:"requests_per_second,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty" toml:"concurrency,omitempty"`
}

// Model is a model and the version of the weights that its engines should run.
type Model struct {
	// Name is unique and not empty.
	Name hbs.ModelName `json:"name" toml:"name"`
	// Weights is that version, elsewhere called the desired or target version; not
	// empty.
	Weights  hbs.WeightsVersion `json:"weights" toml:"weights"`
	Adapters []hbs.AdapterName  `json:"adapters,omitempty" toml:"adapters,omitempty"`
	// MaxConcurrentLoads is the fleet-wide maximum of engines that load weights
	// concurrently; at least 1.
	MaxConcurrentLoads int `json:"loads_at_once" toml:"loads_at_once"`
}

// Service is a plain service, one that runs no model, and the classes of its
// routes.
type Service struct {
	// Name is unique and not empty.
	Name hbs.ServiceName `json:"name" toml:"name"`
	// Routes are tried in order; the first match determines the class.
	Routes []Route `json:"routes,omitempty" toml:"routes,omitempty"`
}

// Route assigns a class to the requests that match it.
type Route struct {
	// Method is an HTTP method, or "*" for any.
	Method string `json:"method" toml:"method"`
	// Path is a pattern of path.Match. A trailing "/**" matches the path before
	// it and everything below.
	Path  string         `json:"path" toml:"path"`
	Class hbs.RouteClass `json:"class" toml:"class"`
}

// Default overrides a knob's built-in default for the whole fleet.
type Default struct {
	Knob  hbs.KnobKey `json:"knob"`
	Value float64     `json:"value"`
}

// Exception overrides a knob's value in a scope.
type Exception struct {
	// Knob must exist, and Value must be in its range. Value is in the knob's
	// unit, durations in seconds.
	Knob  hbs.KnobKey `json:"knob"`
	Value float64     `json:"value"`
	// Reason is free text for operators; not empty.
	Reason string `json:"reason"`
	// Expires is the end of the exception; zero if it never expires.
	Expires time.Time `json:"expires,omitzero"`
	// The scope: an empty field matches every value, and four empty fields match
	// the whole fleet.
	Workspace hbs.WorkspaceID `json:"workspace,omitempty"`
	Model     hbs.ModelName   `json:"model,omitempty"`
	Service   hbs.ServiceName `json:"service,omitempty"`
	Domain    hbs.DomainName  `json:"domain,omitempty"`
}

// Drain stops new requests to an endpoint until the drain is removed.
type Drain struct {
	Endpoint hbs.EndpointID `json:"endpoint" toml:"endpoint"`
	// Reason is free text for operators; not empty.
	Reason string `json:"reason" toml:"reason"`
}

// Standby puts an engine on standby: it serves no requests until the standby is
// removed, but has its model's weights loaded.
type Standby struct {
	Endpoint hbs.EndpointID `json:"endpoint" toml:"endpoint"`
	// Reason is free text for operators; not empty.
	Reason string `json:"reason" toml:"reason"`
}

// Model returns the model with the name, or nil.
func (c *Config) Model(name hbs.ModelName) *Model {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

// Workspace returns the workspace with the ID, or nil.
func (c *Config) Workspace(id hbs.WorkspaceID) *Workspace {
	for i := range c.Workspaces {
		if c.Workspaces[i].ID == id {
			return &c.Workspaces[i]
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
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

// Drained reports whether the configuration drains the endpoint.
func (c *Config) Drained(id hbs.EndpointID) bool { return c.Drain(id) != nil }

// Standby returns the standby of the endpoint, or nil.
func (c *Config) Standby(id hbs.EndpointID) *Standby {
	for i := range c.Standbys {
		if c.Standbys[i].Endpoint == id {
			return &c.Standbys[i]
		}
	}
	return nil
}
