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

// releaseTime bounds the freeing of a permit after the context of a step ended.
const releaseTime = 2 * time.Second

// step brings one engine one change nearer to what is wanted.
func (r *Rollout) step(ctx context.Context, e *hbs.Endpoint, w *Wanted) {
	s, err := r.Orders.State(ctx, e)
	if err != nil {
		return
	}
	err = r.change(ctx, e, w, &s)
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrStopping) {
		r.inc(meterFailed)
		r.Log.Info("rollout step failed", zap.String("endpoint", string(e.ID)), zap.Error(err))
	}
}

func (r *Rollout) change(ctx context.Context, e *hbs.Endpoint, w *Wanted, s *order.State) error {
	standby := w.standsBy(e.ID)
	switch {
	case s.Weights != w.Weights || s.Loading != "":
		return r.replaceWeights(ctx, e, w, s)
	case missing(w, s) != "":
		return r.loadAdapter(ctx, e, missing(w, s))
	case standby && s.Role != order.RoleStandby:
		return r.standBy(ctx, e)
	case standby:
		return r.keepOut(ctx, e, s)
	case s.Role == order.RoleStandby:
		return r.Orders.Ensure(ctx, e, order.Order{Kind: order.KindSetRole, Role: order.RoleServe}, allowed)
	case e.State == hbs.StateDraining || !told(e, s):
		return r.restore(ctx, e, s) // R6
	}
	return nil
}

// told reports whether the instances know what e runs.
func told(e *hbs.Endpoint, s *order.State) bool {
	for _, a := range s.Adapters {
		if !slices.Contains(e.Adapters, a) {
			return false
		}
	}
	return e.Weights == s.Weights
}

func missing(w *Wanted, s *order.State) hbs.AdapterName {
	for _, a := range w.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return a
		}
	}
	return ""
}

func allowed() error { return nil }

// replaceWeights drains, loads and restores one engine (R2 to R5). An
// engine that stays drained keeps its out permit until that lapses; the next
// round tries again.
//
// An engine that stands by needs no out permit, for it takes no work anyway.
func (r *Rollout) replaceWeights(ctx context.Context, e *hbs.Endpoint, w *Wanted, s *order.State) error {
	standby := w.standsBy(e.ID)
	if standby && s.Role == order.RoleStandby {
		return r.replaceUnder(ctx, e, w, standby, nil)
	}
	out, err := r.acquire(ctx, r.out(e.Model), e)
	if err != nil {
		return err
	}
	err = r.replaceUnder(ctx, e, w, standby, out)
	if err != nil && !errors.Is(err, errPutBack) {
		out.Forget()
		return err
	}
	r.free(ctx, out)
	return err
}

func (r *Rollout) replaceUnder(ctx context.Context, e *hbs.Endpoint, w *Wanted, standby bool, out *permit.Permit) error {
	begun := time.Now()
	err := r.drain(ctx, e, always)
	if errors.Is(err, ErrBusy) || errors.Is(err, ErrStopping) {
		return r.putBack(ctx, e, standby, err)
	}
	if err != nil {
		return err
	}
	o := order.Order{Kind: order.KindLoadWeights, Weights: w.Weights}
	err = r.load(ctx, e, o, out)
	if errors.Is(err, ErrStopping) {
		return r.putBack(ctx, e, standby, err)
	}
	if err != nil {
		return err
	}
	r.inc(meterLoaded)
	r.Log.Info("weights replaced", zap.String("endpoint", string(e.ID)), zap.String("weights", string(w.Weights)), zap.Duration("out_for", time.Since(begun)))
	if standby {
		return nil
	}
	return r.restoreAsIs(ctx, e)
}

// putBack restores an engine that runs on with what it had, unless it shall stand
// by. The error that comes back says so by errPutBack, and why by cause.
func (r *Rollout) putBack(ctx context.Context, e *hbs.Endpoint, standby bool, cause error) error {
	if standby {
		return errors.Mark(cause, errPutBack)
	}
	if err := r.restoreAsIs(ctx, e); err != nil {
		return errors.CombineErrors(err, cause)
	}
	return errors.Mark(cause, errPutBack)
}

// load gives a load order under a load permit (R3). When the end of the load is
// not known the permit is left to lapse, for the engine may still be loading.
func (r *Rollout) load(ctx context.Context, e *hbs.Endpoint, o order.Order, out *permit.Permit) error {
	loading, err := r.acquire(ctx, r.loads, e)
	if err != nil {
		return err
	}
	if err := r.loadUnder(ctx, e, o, out, loading); err != nil {
		loading.Forget()
		return err
	}
	r.free(ctx, loading)
	return nil
}

func (r *Rollout) loadUnder(ctx context.Context, e *hbs.Endpoint, o order.Order, out, loading *permit.Permit) error {
	ctx, cancel := context.WithTimeout(ctx, r.duration(KnobLoadPatience, e))
	defer cancel()
	return r.Orders.Ensure(ctx, e, o, func() error {
		if out != nil && out.Check() != nil {
			return permit.ErrLapsed
		}
		return loading.Check()
	})
}

func (r *Rollout) loadAdapter(ctx context.Context, e *hbs.Endpoint, a hbs.AdapterName) error {
	return r.load(ctx, e, order.Order{Kind: order.KindLoadAdapter, Adapter: a}, nil)
}

// standBy drains e and makes it stand by, unless that is withdrawn meanwhile: the
// next round gives it back then (R6).
func (r *Rollout) standBy(ctx context.Context, e *hbs.Endpoint) error {
	wanted := func() bool { return r.standbyWanted(e) }
	err := r.drain(ctx, e, wanted)
	if err == nil {
		err = r.Orders.Ensure(ctx, e, order.Order{Kind: order.KindSetRole, Role: order.RoleStandby}, func() error {
			if !wanted() {
				return errUnwanted
			}
			return nil
		})
	}
	if errors.Is(err, errUnwanted) {
		return nil
	}
	return err
}

func (r *Rollout) standbyWanted(e *hbs.Endpoint) bool {
	return find(r.Wanted(), e.Model).standsBy(e.ID)
}

// keepOut repairs the record of an engine that stands by.
func (r *Rollout) keepOut(ctx context.Context, e *hbs.Endpoint, s *order.State) error {
	if e.State == hbs.StateLive {
		_, err := r.Drainer.Drain(ctx, e.ID)
		return err
	}
	if told(e, s) {
		return nil
	}
	now := *e
	now.Weights, now.Adapters = s.Weights, s.Adapters
	return r.Drainer.Tell(ctx, now)
}

func always() bool { return true }

// restore gives e back with what it runs by s.
func (r *Rollout) restore(ctx context.Context, e *hbs.Endpoint, s *order.State) error {
	now := *e
	now.Weights, now.Adapters = s.Weights, s.Adapters
	return r.Drainer.Restore(ctx, now)
}

func (r *Rollout) restoreAsIs(ctx context.Context, e *hbs.Endpoint) error {
	s, err := r.Orders.State(ctx, e)
	if err != nil {
		return err
	}
	return r.restore(ctx, e, &s)
}

// free releases a permit also after the step was canceled.
func (r *Rollout) free(ctx context.Context, p *permit.Permit) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer cancel()
	p.Release(ctx)
}

func (r *Rollout) duration(key hbs.KnobKey, e *hbs.Endpoint) time.Duration {
	return r.Policy.Duration(key, hbs.Scope{Domain: e.Domain, Model: e.Model})
}
