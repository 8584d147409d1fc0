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

// errWithdrawn means that the change a step works on is no longer wanted.
var errWithdrawn = errors.New("change no longer wanted")

// ErrBusy means that an engine still had running streams after
// rollout.drain_patience.
var ErrBusy = errors.New("engine still has running streams")

// drain takes new work off e and waits until its streams have ended (R4). It gives
// up with errWithdrawn once wanted returns false.
func (r *Rollout) drain(ctx context.Context, e *hbs.Endpoint, wanted func() bool) error {
	drained, err := r.Drainer.Drain(ctx, e.ID)
	if err != nil {
		return err
	}
	ctx, cancel := r.withStop(ctx)
	defer cancel()
	if e.Capabilities.LoadReports {
		return r.asStopError(r.awaitIdleReport(ctx, e, wanted))
	}
	return r.asStopError(r.awaitInstanceReports(ctx, e, drained, wanted))
}

// awaitIdleReport waits until the drain is in effect on all instances and a load
// report that e took after that shows no work.
func (r *Rollout) awaitIdleReport(ctx context.Context, e *hbs.Endpoint, wanted func() bool) error {
	if err := delay.For(ctx, r.duration(KnobDrainGrace, e)); err != nil {
		return err
	}
	effective := time.Now()
	client := &http.Client{Transport: network.NewTransport(r.Network)}
	defer client.CloseIdleConnections()
	for time.Since(effective) < r.duration(KnobDrainPatience, e) {
		report, err := r.readLoadReport(ctx, client, e)
		switch {
		case !wanted():
			return errWithdrawn
		case err == nil && idleSince(&report, effective):
			return nil
		}
		if err := delay.For(ctx, r.duration(KnobDrainPoll, e)); err != nil {
			return err
		}
	}
	r.inc(meterBusy)
	return ErrBusy
}

// awaitInstanceReports waits until no instance can have attempts on e, an engine
// that reports no load (R10). drained is the revision of the record that drained
// it.
func (r *Rollout) awaitInstanceReports(ctx context.Context, e *hbs.Endpoint, drained hbs.Revision, wanted func() bool) error {
	start := time.Now()
	// instances are those still waited for. They are passed on because their
	// records may leave the roster during the wait.
	var instances []hbs.InstanceID
	for {
		status := r.Tracker.Status(e.ID, drained, instances)
		instances = slices.Concat(status.Busy, status.Unreported)
		elapsed := time.Since(start)
		switch {
		case !wanted():
			return errWithdrawn
		case status.Idle():
			return nil
		case len(status.Busy) == 0 && elapsed >= r.duration(KnobUnreportedWait, e):
			r.inc(meterUnreported)
			r.Log.Warn("giving an order to a drained engine although some instances have not reported their work there", zap.String("endpoint", string(e.ID)), zap.Any("unheard", status.Unreported))
			return nil
		case len(status.Busy) > 0 && elapsed >= r.duration(KnobDrainPatience, e):
			r.inc(meterBusy)
			return ErrBusy
		}
		if err := delay.For(ctx, r.duration(KnobDrainPoll, e)); err != nil {
			return err
		}
	}
}

// idleSince reports whether l was taken after t and shows no running or waiting
// work.
func idleSince(l *load.Report, t time.Time) bool {
	taken := time.Now().Add(-time.Duration(l.AgeSeconds * float64(time.Second)))
	return !taken.Before(t) && l.Running == 0 && l.Waiting == 0
}

func (r *Rollout) readLoadReport(ctx context.Context, client *http.Client, e *hbs.Endpoint) (load.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, r.duration(KnobReportTimeout, e))
	defer cancel()
	return load.Read(ctx, client, e)
}

// RecordDrainer is a Drainer that writes the state into the endpoint's record
// in the platform. Instances receive it like any other change of the record.
// Operators drain by the configuration instead, so that the two do not undo
// each other.
type RecordDrainer struct {
	Platform hbs.Platform
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
}

// Drain implements hornbeamstage.Drainer.
func (d *RecordDrainer) Drain(ctx context.Context, id hbs.EndpointID) (hbs.Revision, error) {
	return d.edit(ctx, id, func(old hbs.Endpoint) hbs.Endpoint {
		if old.State == hbs.StateLive {
			old.State = hbs.StateDraining
		}
		return old
	})
}

// Restore implements hornbeamstage.Drainer.
func (d *RecordDrainer) Restore(ctx context.Context, e hbs.Endpoint) error {
	_, err := d.edit(ctx, e.ID, func(old hbs.Endpoint) hbs.Endpoint {
		if old.State == hbs.StateDraining {
			old.State = hbs.StateLive
		}
		old.Weights, old.Adapters = e.Weights, e.Adapters
		return old
	})
	return err
}

// Publish implements hornbeamstage.Drainer.
func (d *RecordDrainer) Publish(ctx context.Context, e hbs.Endpoint) error {
	_, err := d.edit(ctx, e.ID, func(old hbs.Endpoint) hbs.Endpoint {
		old.Weights, old.Adapters = e.Weights, e.Adapters
		return old
	})
	return err
}

// edit applies change to a record and repeats that until the change is known to
// have taken effect. It returns the revision of the changed record.
func (d *RecordDrainer) edit(ctx context.Context, id hbs.EndpointID, change func(hbs.Endpoint) hbs.Endpoint) (_ hbs.Revision, err error) {
	defer func() { err = errors.Wrapf(err, "edit record of %s", id) }()
	w := &object.Writer{Platform: d.Platform, CallTimeout: d.CallTimeout}
	for {
		obj, err := w.GetWithRetry(ctx, hbs.ObjectEndpoint, string(id))
		if err != nil {
			return 0, err
		}
		old, err := decodeRecord(obj.Value)
		if err != nil {
			return 0, err
		}
		next := change(old)
		if sameDrainerFields(old, next) {
			return obj.Revision, nil
		}
		if obj.Value, err = withDrainerFields(obj.Value, next); err != nil {
			return 0, err
		}
		stored, err := w.Put(ctx, obj, func(stored json.RawMessage) bool {
			e, err := decodeRecord(stored)
			return err == nil && sameDrainerFields(e, next)
		})
		if !object.Is(err, hbs.ErrConflict) {
			return stored.Revision, err
		}
	}
}

func decodeRecord(record json.RawMessage) (e hbs.Endpoint, err error) {
	return e, json.Unmarshal(record, &e)
}

// sameDrainerFields reports whether a and b are equal in the fields that a Drainer
// changes.
func sameDrainerFields(a, b hbs.Endpoint) bool {
	return a.State == b.State && a.Weights == b.Weights && slices.Equal(a.Adapters, b.Adapters)
}

// withDrainerFields returns record with the fields that a Drainer changes taken
// from e. All other fields are preserved, also those that this version does not
// know.
func withDrainerFields(record json.RawMessage, e hbs.Endpoint) (json.RawMessage, error) {
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
