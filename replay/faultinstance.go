package replay

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// restart kills or stops instances and then restarts each.
func (r *Replay) restart(ctx context.Context, f Fault) error {
	affected := targets(f, r.fleet.instances, (*instance).name)
	if len(affected) == 0 {
		return errNoTarget
	}
	var wg conc.WaitGroup
	for _, in := range affected {
		wg.Go(func() {
			end := in.kill
			if f.Kind == FaultInstanceStop {
				end = in.stop
			}
			inc := end()
			<-inc.ended
			_ = delay.For(ctx, f.duration())
			in.restartAfter(ctx, inc)
		})
	}
	wg.Wait()
	return nil
}

func (in *instance) name() string { return string(in.id) }

// cutDomain cuts a domain off for the duration of the fault.
func (r *Replay) cutDomain(ctx context.Context, f Fault) error {
	d := hbs.DomainName(f.Target)
	others := []hbs.DomainName{domainPlatform}
	if f.Kind == FaultDomainCut {
		others = append(others, r.fleet.shape.Domains...)
	}
	for _, o := range others {
		if o != d && !r.fleet.net.cut(d, o) {
			return errors.New("this fault needs --clock virtual")
		}
	}
	_ = delay.For(ctx, f.duration())
	for _, o := range others {
		r.fleet.net.heal(d, o)
	}
	return nil
}
