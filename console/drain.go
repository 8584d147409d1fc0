package console

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
)

type drainCommand struct {
	c      *Command
	Reason string `long:"reason" required:"yes" description:"reason for the drain, shown to other operators"`
	Args   struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"yes"`
	} `positional-args:"yes"`
}

type drainReport struct {
	Endpoint hbs.EndpointID `json:"endpoint"`
	Drained  bool           `json:"drained"`
}

// Execute implements flags.Commander.
func (x *drainCommand) Execute([]string) error {
	if err := x.c.requirePlatform(); err != nil {
		return err
	}
	id := hbs.EndpointID(x.Args.Endpoint)
	if _, err := x.c.read(hbs.ObjectEndpoint, string(id)); err != nil {
		return err
	}
	if err := x.c.drain(config.Drain{Endpoint: id, Reason: x.Reason}); err != nil {
		return err
	}
	return x.c.print(&drainReport{id, true})
}

// drain writes d to the configuration. It fails with ExitConflict if the endpoint
// is already drained.
func (c *Command) drain(d config.Drain) error {
	value, err := json.Marshal(d)
	if err != nil {
		return err
	}
	name := config.DrainName(d.Endpoint)
	_, err = c.read(hbs.ObjectConfiguration, name)
	if errors.Is(err, hbs.ErrNotFound) {
		_, err = c.applyChange(change{Kind: changeAdd, Name: name, File: value})
	} else if err == nil {
		err = hbs.ErrConflict
	}
	if errors.Is(err, hbs.ErrConflict) {
		return exitErrorf(ExitConflict, "endpoint %q is already drained", d.Endpoint)
	}
	return err
}

type undrainCommand struct {
	c    *Command
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (x *undrainCommand) Execute([]string) error {
	if err := x.c.requirePlatform(); err != nil {
		return err
	}
	id := hbs.EndpointID(x.Args.Endpoint)
	obj, err := x.c.read(hbs.ObjectConfiguration, config.DrainName(id))
	if err != nil {
		return err
	}
	if _, err := x.c.applyChange(change{Kind: changeDelete, Name: obj.Name, revision: obj.Revision}); err != nil {
		return err
	}
	return x.c.print(&drainReport{id, false})
}

func (r *drainReport) writeText(w io.Writer) {
	effect := "gets new work again"
	if r.Drained {
		effect = "gets no new work"
	}
	fmt.Fprintf(w, "endpoint %s %s\n", r.Endpoint, effect)
}
