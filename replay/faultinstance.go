package replay

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// restart kills or stops instances and starts each again.
func (r *Replay) restart(ctx context.Context, f Fault) error {
	struck := targets(f, r.fleet.instances, (*instance).name)
	if len(struck) == 0 {
		return errNoTarget
	}
	var wg conc.WaitGroup
	for _, in := range struck {
		wg.Go(func() {
			end := in.kill
			if f.Kind == FaultInstanceStop {
				end = in.stop
			}
			l := end()
			<-l.ended
			_ = delay.For(ctx, f.duration())
			in.startAfter(ctx, l)
		})
	}
	wg.Wait()
	return nil
}

func (in *instance) name() string { return string(in.id) }

func (r *Replay) cut(ctx context.Context, f Fault) error {
	d := hbs.DomainName(f.Target)
	others := []hbs.DomainName{domainPlatform}
	if f.Kind == FaultDomainCut {
		others = append(others, r.fleet.shape.Domains...)
	}
	for _, o := range others {
		if o != d && !r.fleet.net.cut(d, o) {
			return errors.New("needs the virtual clock")
		}
	}
	_ = delay.For(ctx, f.duration())
	for _, o := range others {
		r.fleet.net.heal(d, o)
	}
	return nil
}
