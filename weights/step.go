package weights

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/order"
	"github.com/hornbeamstage/hornbeamstage/permit"
)

// releaseTimeout bounds the release of a permit after the step's context has ended.
const releaseTimeout = 2 * time.Second

// step applies the next change that brings one engine closer to the desired
// state.
func (r *Rollout) step(ctx context.Context, e *hbs.Endpoint, d *Desired) {
	s, err := r.Orders.State(ctx, e)
	if err == nil {
		err = r.reconcile(ctx, e, d, &s)
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrStopping) {
		r.inc(meterFailed)
		r.Log.Info("rollout step failed", zap.String("endpoint", string(e.ID)), zap.Error(err))
	}
}

// reconcile compares the engine's state s with the desired state d and makes the
// first change that is needed.
func (r *Rollout) reconcile(ctx context.Context, e *hbs.Endpoint, d *Desired, s *order.State) error {
	standby := d.wantsStandby(e.ID)
	switch {
	case s.Weights != d.Weights || s.Loading != "":
		return r.replaceWeights(ctx, e, d, s)
	case missingAdapter(d, s) != "":
		return r.loadAdapter(ctx, e, missingAdapter(d, s))
	case standby && s.Role != order.RoleStandby:
		return r.putOnStandby(ctx, e)
	case standby:
		return r.updateStandbyRecord(ctx, e, s)
	case s.Role == order.RoleStandby:
		return r.Orders.Ensure(ctx, e, order.Order{Kind: order.KindSetRole, Role: order.RoleServe}, alwaysAllowed)
	case e.State == hbs.StateDraining || !recordMatches(e, s):
		return r.restore(ctx, e, s) // R6
	}
	return nil
}

// recordMatches reports whether the record of e, by which instances send it work,
// has the weights and adapters that the engine runs.
func recordMatches(e *hbs.Endpoint, s *order.State) bool {
	for _, a := range s.Adapters {
		if !slices.Contains(e.Adapters, a) {
			return false
		}
	}
	return e.Weights == s.Weights
}

func missingAdapter(d *Desired, s *order.State) hbs.AdapterName {
	for _, a := range d.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return a
		}
	}
	return ""
}

func alwaysAllowed() error { return nil }

// replaceWeights drains one engine, loads the desired weights and restores it
// (R2 to R5). If the engine stays drained after an error, its drain permit is
// left to expire; the next round tries again.
//
// An engine that is already on standby takes no work and needs no drain permit.
func (r *Rollout) replaceWeights(ctx context.Context, e *hbs.Endpoint, d *Desired, s *order.State) error {
	standby := d.wantsStandby(e.ID)
	if standby && s.Role == order.RoleStandby {
		return r.drainAndLoad(ctx, e, d, standby, nil)
	}
	drainPermit, err := r.acquire(ctx, r.drainPool(e.Model), e)
	if err != nil {
		return err
	}
	err = r.drainAndLoad(ctx, e, d, standby, drainPermit)
	if err != nil && !errors.Is(err, errRolledBack) {
		drainPermit.Abandon()
		return err
	}
	r.releasePermit(ctx, drainPermit)
	return err
}

// drainAndLoad drains one engine, loads the desired weights and, unless it
// should be on standby, restores it. drainPermit may be nil.
func (r *Rollout) drainAndLoad(ctx context.Context, e *hbs.Endpoint, d *Desired, standby bool, drainPermit *permit.Permit) error {
	start := time.Now()
	err := r.drain(ctx, e, always)
	if errors.Is(err, ErrBusy) || errors.Is(err, ErrStopping) {
		return r.rollBack(ctx, e, standby, err)
	}
	if err != nil {
		return err
	}
	o := order.Order{Kind: order.KindLoadWeights, Weights: d.Weights}
	err = r.loadWithPermit(ctx, e, o, drainPermit)
	if errors.Is(err, ErrStopping) {
		return r.rollBack(ctx, e, standby, err)
	}
	if err != nil {
		return err
	}
	r.inc(meterLoaded)
	r.Log.Info("weights replaced", zap.String("endpoint", string(e.ID)), zap.String("weights", string(d.Weights)), zap.Duration("out_for", time.Since(start)))
	if standby {
		return nil
	}
	return r.restoreFromState(ctx, e)
}

// rollBack restores an engine whose weights were not replaced, unless it should be
// on standby. The error that it returns is cause marked with errRolledBack, or that
// of the failed restore.
func (r *Rollout) rollBack(ctx context.Context, e *hbs.Endpoint, standby bool, cause error) error {
	if standby {
		return errors.Mark(cause, errRolledBack)
	}
	if err := r.restoreFromState(ctx, e); err != nil {
		return errors.CombineErrors(err, cause)
	}
	return errors.Mark(cause, errRolledBack)
}

// loadWithPermit sends a load order under a load permit (R3). After an error the
// engine may still be loading, so the permit is left to expire.
func (r *Rollout) loadWithPermit(ctx context.Context, e *hbs.Endpoint, o order.Order, drainPermit *permit.Permit) error {
	loadPermit, err := r.acquire(ctx, r.loadPool, e)
	if err != nil {
		return err
	}
	if err := r.orderLoad(ctx, e, o, drainPermit, loadPermit); err != nil {
		loadPermit.Abandon()
		return err
	}
	r.releasePermit(ctx, loadPermit)
	return nil
}

// orderLoad sends a load order and waits for its end. The permits are checked
// before each order; drainPermit may be nil.
func (r *Rollout) orderLoad(ctx context.Context, e *hbs.Endpoint, o order.Order, drainPermit, loadPermit *permit.Permit) error {
	ctx, cancel := context.WithTimeout(ctx, r.duration(KnobLoadPatience, e))
	defer cancel()
	return r.Orders.Ensure(ctx, e, o, func() error {
		if drainPermit != nil && drainPermit.Check() != nil {
			return permit.ErrExpired
		}
		return loadPermit.Check()
	})
}

func (r *Rollout) loadAdapter(ctx context.Context, e *hbs.Endpoint, a hbs.AdapterName) error {
	return r.loadWithPermit(ctx, e, order.Order{Kind: order.KindLoadAdapter, Adapter: a}, nil)
}

// putOnStandby drains e and orders it to the standby role. If standby is no longer
// wanted before the order, it returns nil, and the next round restores the engine
// (R6).
func (r *Rollout) putOnStandby(ctx context.Context, e *hbs.Endpoint) error {
	wanted := func() bool { return r.standbyWanted(e) }
	err := r.drain(ctx, e, wanted)
	if err == nil {
		err = r.Orders.Ensure(ctx, e, order.Order{Kind: order.KindSetRole, Role: order.RoleStandby}, func() error {
			if !wanted() {
				return errWithdrawn
			}
			return nil
		})
	}
	if errors.Is(err, errWithdrawn) {
		return nil
	}
	return err
}

func (r *Rollout) standbyWanted(e *hbs.Endpoint) bool {
	return findDesired(r.Desired(), e.Model).wantsStandby(e.ID)
}

// updateStandbyRecord corrects the record of an engine on standby: its state,
// weights and adapters.
func (r *Rollout) updateStandbyRecord(ctx context.Context, e *hbs.Endpoint, s *order.State) error {
	if e.State == hbs.StateLive {
		_, err := r.Drainer.Drain(ctx, e.ID)
		return err
	}
	if recordMatches(e, s) {
		return nil
	}
	updated := *e
	updated.Weights, updated.Adapters = s.Weights, s.Adapters
	return r.Drainer.Publish(ctx, updated)
}

func always() bool { return true }

// restore lets e take work again and publishes the weights and adapters in s.
func (r *Rollout) restore(ctx context.Context, e *hbs.Endpoint, s *order.State) error {
	updated := *e
	updated.Weights, updated.Adapters = s.Weights, s.Adapters
	return r.Drainer.Restore(ctx, updated)
}

// restoreFromState reads the engine's state and restores the engine with it.
func (r *Rollout) restoreFromState(ctx context.Context, e *hbs.Endpoint) error {
	s, err := r.Orders.State(ctx, e)
	if err != nil {
		return err
	}
	return r.restore(ctx, e, &s)
}

// releasePermit releases p, also after ctx was canceled.
func (r *Rollout) releasePermit(ctx context.Context, p *permit.Permit) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	p.Release(ctx)
}

func (r *Rollout) duration(key hbs.KnobKey, e *hbs.Endpoint) time.Duration {
	return r.Policy.Duration(key, hbs.Scope{Domain: e.Domain, Model: e.Model})
}
