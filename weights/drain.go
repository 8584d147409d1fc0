package weights

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/load"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// errUnwanted says that what a step works for is not wanted any more.
var errUnwanted = errors.New("not wanted any more")

// ErrBusy says that an engine's streams outlived the patience of a rollout.
var ErrBusy = errors.New("engine still has work")

// drain takes new work off e and waits for its streams to end (R4), for as long as
// wanted returns true.
func (r *Rollout) drain(ctx context.Context, e *hbs.Endpoint, wanted func() bool) error {
	drained, err := r.Drainer.Drain(ctx, e.ID)
	if err != nil {
		return err
	}
	ctx, cancel := r.untilStop(ctx)
	defer cancel()
	if e.Capabilities.LoadReports {
		return r.stopped(r.awaitIdle(ctx, e, wanted))
	}
	return r.stopped(r.awaitTold(ctx, e, drained, wanted))
}

// awaitIdle waits until the drain is in force everywhere and e reports no work.
func (r *Rollout) awaitIdle(ctx context.Context, e *hbs.Endpoint, wanted func() bool) error {
	if err := delay.For(ctx, r.duration(KnobDrainGrace, e)); err != nil {
		return err
	}
	inForce := time.Now()
	client := &http.Client{Transport: network.Transport(r.Network)}
	defer client.CloseIdleConnections()
	for time.Since(inForce) < r.duration(KnobDrainPatience, e) {
		report, err := r.report(ctx, client, e)
		switch {
		case !wanted():
			return errUnwanted
		case err == nil && idleSince(&report, inForce):
			return nil
		}
		if err := delay.For(ctx, r.duration(KnobDrainPoll, e)); err != nil {
			return err
		}
	}
	r.inc(meterBusy)
	return ErrBusy
}

// awaitTold waits until no instance can have work on e, which reports no load
// (R10). Its record says that it is drained since the given revision.
func (r *Rollout) awaitTold(ctx context.Context, e *hbs.Endpoint, drained hbs.Revision, wanted func() bool) error {
	begun := time.Now()
	var instances []hbs.InstanceID
	for {
		work := r.Work.Standing(e.ID, drained, instances)
		instances = slices.Concat(work.Busy, work.Unheard)
		passed := time.Since(begun)
		switch {
		case !wanted():
			return errUnwanted
		case work.Idle():
			return nil
		case len(work.Busy) == 0 && passed >= r.duration(KnobUnheardWait, e):
			r.inc(meterUnheard)
			r.Log.Warn("engine ordered without word of some instances", zap.String("endpoint", string(e.ID)), zap.Any("unheard", work.Unheard))
			return nil
		case len(work.Busy) > 0 && passed >= r.duration(KnobDrainPatience, e):
			r.inc(meterBusy)
			return ErrBusy
		}
		if err := delay.For(ctx, r.duration(KnobDrainPoll, e)); err != nil {
			return err
		}
	}
}

// idleSince reports whether l was taken after t and shows no work.
func idleSince(l *load.Report, t time.Time) bool {
	taken := time.Now().Add(-time.Duration(l.AgeSeconds * float64(time.Second)))
	return !taken.Before(t) && l.Running == 0 && l.Waiting == 0
}

func (r *Rollout) report(ctx context.Context, client *http.Client, e *hbs.Endpoint) (load.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, r.duration(KnobReportTimeout, e))
	defer cancel()
	return load.Read(ctx, client, e)
}

// Records is a Drainer that writes the state into the endpoint's record in the
// platform, from where every instance learns it like any other change. Operators
// drain by the configuration instead, so that the two don't undo each other.
type Records struct {
	Platform hbs.Platform
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
}

// Drain implements hornbeamstage.Drainer.
func (d *Records) Drain(ctx context.Context, id hbs.EndpointID) (hbs.Revision, error) {
	return d.edit(ctx, id, func(old hbs.Endpoint) hbs.Endpoint {
		if old.State == hbs.StateLive {
			old.State = hbs.StateDraining
		}
		return old
	})
}

// Restore implements hornbeamstage.Drainer.
func (d *Records) Restore(ctx context.Context, e hbs.Endpoint) error {
	_, err := d.edit(ctx, e.ID, func(old hbs.Endpoint) hbs.Endpoint {
		if old.State == hbs.StateDraining {
			old.State = hbs.StateLive
		}
		old.Weights, old.Adapters = e.Weights, e.Adapters
		return old
	})
	return err
}

// Tell implements hornbeamstage.Drainer.
func (d *Records) Tell(ctx context.Context, e hbs.Endpoint) error {
	_, err := d.edit(ctx, e.ID, func(old hbs.Endpoint) hbs.Endpoint {
		old.Weights, old.Adapters = e.Weights, e.Adapters
		return old
	})
	return err
}

// edit changes a record until the change is known to have taken effect. It returns
// the revision of the record that is so.
func (d *Records) edit(ctx context.Context, id hbs.EndpointID, change func(hbs.Endpoint) hbs.Endpoint) (_ hbs.Revision, err error) {
	defer func() { err = errors.Wrapf(err, "edit record of %s", id) }()
	w := &object.Writer{Platform: d.Platform, CallTimeout: d.CallTimeout}
	for {
		obj, err := w.Read(ctx, hbs.ObjectEndpoint, string(id))
		if err != nil {
			return 0, err
		}
		old, err := decodeRecord(obj.Value)
		if err != nil {
			return 0, err
		}
		next := change(old)
		if sameRecord(old, next) {
			return obj.Revision, nil
		}
		if obj.Value, err = withFields(obj.Value, next); err != nil {
			return 0, err
		}
		stored, err := w.Put(ctx, obj, func(stored json.RawMessage) bool {
			e, err := decodeRecord(stored)
			return err == nil && sameRecord(e, next)
		})
		if !object.Is(err, hbs.ErrConflict) {
			return stored.Revision, err
		}
	}
}

func decodeRecord(record json.RawMessage) (e hbs.Endpoint, err error) {
	return e, json.Unmarshal(record, &e)
}

// sameRecord compares what a Drainer changes.
func sameRecord(a, b hbs.Endpoint) bool {
	return a.State == b.State && a.Weights == b.Weights && slices.Equal(a.Adapters, b.Adapters)
}

// withFields writes what a Drainer changes into a record and keeps all other
// fields, known or not.
func withFields(record json.RawMessage, e hbs.Endpoint) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(record, &fields); err != nil {
		return nil, err
	}
	for name, v := range map[string]any{"state": e.State, "weights": e.Weights, "adapters": e.Adapters} {
		value, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		fields[name] = value
	}
	return json.Marshal(fields)
}
