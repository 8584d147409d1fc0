package console

import (
	"encoding/json"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
)

type burnCommand struct {
	c *Command
}

// Execute implements flags.Commander.
func (x *burnCommand) Execute([]string) error {
	instances, err := x.c.instances()
	if err != nil {
		return err
	}
	merged := &burn.Report{At: time.Now()}
	missing, cause := x.c.query(instances, "/burn?format=json", func(_ hbs.Instance, body []byte) error {
		var r burn.Report
		if err := json.Unmarshal(body, &r); err != nil {
			return err
		}
		if err := r.Validate(); err != nil {
			return err
		}
		merged.Merge(&r)
		return nil
	})
	merged.Missing = append(merged.Missing, missing...)
	if err := merged.Write(x.c.Stdout, burn.Format(x.c.options.Format)); err != nil {
		return err
	}
	return partialError(missing, cause)
}
