package console

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/router"
)

// pollInterval is the pause between two queries for the configuration in force.
const pollInterval = 200 * time.Millisecond

// waitInForce waits until the configuration in force on every instance is that of
// the platform. An instance that does not answer may be outdated: if it stays silent,
// the wait ends at limit with ExitWaitTimeout, and the error names it apart from those
// known to be outdated.
func (c *Command) waitInForce(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		outdated, silent, err := c.notInForce()
		if err != nil {
			return err
		}
		if len(outdated)+len(silent) == 0 {
			fmt.Fprintln(c.Stderr, "configuration is in force on all instances")
			return nil
		}
		if time.Now().After(deadline) {
			return exitErrorf(ExitWaitTimeout, "configuration is not in force after %s on %v; no answer from %v", limit, outdated, silent)
		}
		if err := delay.For(c.ctx, pollInterval); err != nil {
			return err
		}
	}
}

// notInForce returns the instances whose configuration differs from the platform's,
// and those that do not answer.
func (c *Command) notInForce() (outdated, silent []hbs.InstanceID, err error) {
	st, err := c.readState()
	if err != nil {
		return nil, nil, err
	}
	var set mirror.Set
	set.Replace(hbs.ObjectConfiguration, st.items, st.revision)
	want := set.Summary(hbs.ObjectConfiguration).Digest
	instances, err := c.instances()
	if err != nil {
		return nil, nil, err
	}
	silent, _ = c.query(instances, "/status", func(i hbs.Instance, body []byte) error {
		var s router.Status
		if err := json.Unmarshal(body, &s); err != nil {
			return err
		}
		if s.Configuration.Digest != want {
			outdated = append(outdated, i.ID)
		}
		return nil
	})
	slices.Sort(outdated)
	return outdated, silent, nil
}
