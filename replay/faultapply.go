package replay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// applyFaults applies each fault at its time and waits until all have ended.
func (r *Replay) applyFaults(ctx context.Context, start time.Time) {
	var wg conc.WaitGroup
	for _, f := range r.Faults {
		wg.Go(func() {
			_ = delay.For(ctx, time.Until(start.Add(trace.Seconds(f.AtSeconds))))
			if err := r.apply(ctx, f); err != nil {
				r.addError(err)
			}
		})
	}
	wg.Wait()
}

func (r *Replay) apply(ctx context.Context, f Fault) (err error) {
	defer func() { err = errors.Wrapf(err, "fault %s %s", f.Kind, f.Target) }()
	switch f.Kind {
	case FaultPlatformOutage:
		r.fleet.platform.Outage(f.duration())
	case FaultPlatformSlow:
		r.fleet.platform.Slow(trace.Seconds(f.ExtraSeconds), f.duration())
	case FaultPlatformLostAnswers:
		r.fleet.platform.LoseAnswers(f.Share, f.duration())
	case FaultKeptStoreOutage:
		r.fleet.kvStore.Outage(f.duration())
	case FaultKeptStoreSlow:
		r.fleet.kvStore.Slow(f.Factor, f.duration())
	case FaultDomainCut, FaultPlatformCut:
		return r.cutDomain(ctx, f)
	case FaultInstanceKill, FaultInstanceStop:
		return r.restart(ctx, f)
	case FaultInstanceStall:
		return r.stall(ctx, f)
	case FaultEndpointLeaving:
		return r.leaveEndpoints(ctx, f)
	case FaultWeightsChange:
		r.changeWeights(f)
	case FaultConfigChange:
		r.changeConfig(ctx)
	case FaultWorkspaceLimit:
		return r.limitWorkspaces(ctx, f)
	case FaultWorkspaceSurge:
		return r.checkSurge(f)
	case FaultEntryLopsided:
		return r.skewEntry(ctx, f)
	default:
		return r.applyToEndpoints(f)
	}
	return nil
}
