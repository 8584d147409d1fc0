package console

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
)

// checkEndpoints checks the endpoints that a file names against the platform's
// records. An endpoint without a record is a warning, as it may be added later; a
// setting that can't have an effect on its endpoint is an error.
func (c *Command) checkEndpoints(file string, data []byte, cfg *config.Config) error {
	if c.platform == nil {
		return c.uncheckedEndpoints(cfg)
	}
	records := map[hbs.EndpointID]*hbs.Endpoint{}
	for _, id := range cfg.NamedEndpoints() {
		e, err := c.endpoint(id)
		if err != nil {
			return err
		}
		records[id] = e
	}
	warnings, err := cfg.CheckEndpoints(file, data, records)
	for _, w := range warnings {
		fmt.Fprintf(c.Stderr, "%s:%d: warning: %s\n", file, w.Line, w.Text)
	}
	return err
}

// uncheckedEndpoints warns that the endpoints of cfg can't be checked without the
// platform.
func (c *Command) uncheckedEndpoints(cfg *config.Config) error {
	if n := len(cfg.NamedEndpoints()); n > 0 {
		fmt.Fprintf(c.Stderr, "without --platform the names of %d endpoints are not checked\n", n)
	}
	return nil
}

// endpoint reads an endpoint's record. It returns nil if the platform has none.
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
		// The endpoint exists even if its record can't be decoded.
		return &hbs.Endpoint{ID: id}, nil
	}
	return e, nil
}
