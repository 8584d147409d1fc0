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

// pollInterval is the pause between two queries for the configuration in force.
const pollInterval = 200 * time.Millisecond

// waitInForce waits until the configuration in force on every instance is that of
// the platform. An instance that does not answer counts as outdated: if it stays
// so, the wait ends at limit with ExitWaited and the error names it.
func (c *Command) waitInForce(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		outdated, err := c.outdated()
		if err != nil {
			return err
		}
		if len(outdated) == 0 {
			fmt.Fprintln(c.Stderr, "configuration is in force on all instances")
			return nil
		}
		if time.Now().After(deadline) {
			return exitErrorf(ExitWaitTimeout, "configuration is not in force after %s on %v", limit, outdated)
		}
		if err := delay.For(c.ctx, pollInterval); err != nil {
			return err
		}
	}
}

// outdated returns the instances whose configuration differs from the platform's,
// or that do not answer.
func (c *Command) outdated() ([]hbs.InstanceID, error) {
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
	missing, _ := c.query(instances, "/status", func(_ hbs.Instance, body []byte) error {
		var s router.Status
		if err := json.Unmarshal(body, &s); err != nil {
			return err
		}
		if s.Configuration.Digest != want {
			return errors.New("configuration is outdated")
		}
		return nil
	})
	return missing, nil
}
