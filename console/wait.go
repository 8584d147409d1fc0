package console

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/router"
)

// waitPause is the time between two looks at what is in force.
const waitPause = 200 * time.Millisecond

// waitInForce waits until every instance that answers holds the platform's
// items. Instances that don't answer are named and count as not waited for.
func (c *Command) waitInForce(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		behind, err := c.behind()
		if err != nil {
			return err
		}
		if len(behind) == 0 {
			fmt.Fprintln(c.Stderr, "in force on all instances")
			return nil
		}
		if time.Now().After(deadline) {
			return failed(ExitWaited, "not in force after %s on %v", limit, behind)
		}
		if err := delay.For(c.ctx, waitPause); err != nil {
			return err
		}
	}
}

// behind returns the instances that do not hold the platform's items now, or
// do not answer.
func (c *Command) behind() ([]hbs.InstanceID, error) {
	st, err := c.readState()
	if err != nil {
		return nil, err
	}
	var set mirror.Set
	set.Replace(hbs.ObjectConfiguration, st.items, st.revision)
	want := set.Summary(hbs.ObjectConfiguration).Digest
	instances, err := c.instances()
	if err != nil {
		return nil, err
	}
	missing, _ := c.ask(instances, "/status", func(_ hbs.Instance, body []byte) error {
		var s router.Status
		if err := json.Unmarshal(body, &s); err != nil {
			return err
		}
		if s.Configuration.Digest != want {
			return errors.New("behind")
		}
		return nil
	})
	return missing, nil
}
