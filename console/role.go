package console

import (
	"fmt"
	"io"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/order"
)

type roleCommand struct {
	c    *Command
	File string `long:"file" value-name:"FILE" description:"explain a file instead of the platform's configuration"`
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"yes"`
	} `positional-args:"yes"`
}

// roleReport tells the role that an engine shall have. The reasons are empty
// where nobody wrote one.
type roleReport struct {
	Endpoint      hbs.EndpointID `json:"endpoint"`
	Role          order.Role     `json:"role"`
	StandbyReason string         `json:"standby_reason,omitempty"`
	DrainReason   string         `json:"drain_reason,omitempty"`
}

// Execute implements flags.Commander.
func (x *roleCommand) Execute([]string) error {
	cfg, err := x.c.config(x.File)
	if err != nil {
		return err
	}
	r := &roleReport{Endpoint: hbs.EndpointID(x.Args.Endpoint), Role: order.RoleServe}
	if s := cfg.Standby(r.Endpoint); s != nil {
		r.Role, r.StandbyReason = order.RoleStandby, s.Reason
	}
	if d := cfg.Drain(r.Endpoint); d != nil {
		r.DrainReason = d.Reason
	}
	if err := x.c.warnUnlisted(r.Endpoint); err != nil {
		return err
	}
	return x.c.print(r)
}

// warnUnlisted tells on the error output that the platform has no such endpoint.
func (c *Command) warnUnlisted(id hbs.EndpointID) error {
	if c.platform == nil {
		return nil
	}
	e, err := c.endpoint(id)
	if err == nil && e == nil {
		fmt.Fprintf(c.Stderr, "warning: endpoint %q is not in the platform's list\n", id)
	}
	return err
}

func (r *roleReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "endpoint %s: %s\n", r.Endpoint, r.Role)
	if r.StandbyReason != "" {
		fmt.Fprintf(w, "  set by: standbys\n  reason: %s\n", r.StandbyReason)
	}
	if r.DrainReason != "" {
		fmt.Fprintf(w, "  drained too, reason: %s\n", r.DrainReason)
	}
}
