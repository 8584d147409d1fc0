package console

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
)

// checkEndpoints judges the endpoints that a file names by the platform's list.
// One that may come later is a warning; what can't have an effect is an error.
func (c *Command) checkEndpoints(file string, data []byte, cfg *config.Config) error {
	if c.platform == nil {
		return c.uncheckedEndpoints(cfg)
	}
	listed := map[hbs.EndpointID]*hbs.Endpoint{}
	for _, id := range cfg.NamedEndpoints() {
		e, err := c.endpoint(id)
		if err != nil {
			return err
		}
		listed[id] = e
	}
	warnings, faults := cfg.CheckEndpoints(file, data, listed)
	for _, w := range warnings {
		fmt.Fprintf(c.Stderr, "%s:%d: warning: %s\n", file, w.Line, w.Text)
	}
	return faults
}

func (c *Command) uncheckedEndpoints(cfg *config.Config) error {
	if n := len(cfg.NamedEndpoints()); n > 0 {
		fmt.Fprintf(c.Stderr, "without --platform the names of %d endpoints are not checked\n", n)
	}
	return nil
}

// endpoint reads an endpoint's record; nil when the platform has none.
func (c *Command) endpoint(id hbs.EndpointID) (*hbs.Endpoint, error) {
	obj, err := c.read(hbs.ObjectEndpoint, string(id))
	if errors.Is(err, hbs.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	e := &hbs.Endpoint{}
	if json.Unmarshal(obj.Value, e) != nil {
		// A record that is not understood is one all the same.
		return &hbs.Endpoint{ID: id}, nil
	}
	return e, nil
}
