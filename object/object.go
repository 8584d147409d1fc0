// Package object sends conditional writes to the platform and determines whether
// they took effect.
//
// The response to a write can be lost after the write took effect, and a write
// whose response was lost may take effect later. Writer resolves these cases as
// far as possible and reports the others as ErrUncertain, by these rules:
//
//	W1. Every write is conditional: a create requires that no object has the
//	    name, an update that the object still has the revision that was read.
//	W2. The value identifies the writer and the step that it performs, which
//	    distinguishes the effect of this write from that of any other.
//	W3. After a lost response the same write is sent again, unchanged. All
//	    copies have the same condition, so at most one of them takes effect.
//	W4. After a conflict the object is read. If it has the value of this write,
//	    an earlier copy took effect: success. Any other value means that the
//	    write is not in effect and, because the revision has changed, can no
//	    longer take effect.
//	W5. A write that was certainly not applied is sent again after a backoff.
//	W6. If the context ends first, the error is ErrUncertain if any copy may
//	    still take effect, else ErrNotApplied.
//
// A create has one exception to W4: a delayed copy can still take effect after
// the object of that name was deleted. Whatever a created value permits must
// therefore be harmless or be confirmed by a later update.
package object

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// Backoff between attempts. It grows from InitialBackoff to MaxBackoffFailFast
// for writers with FailFast, and to MaxBackoff for the others, which keep trying
// during outages.
const (
	InitialBackoff     = 10 * time.Millisecond
	MaxBackoffFailFast = 200 * time.Millisecond
	MaxBackoff         = 2 * time.Second
)

// Writer sends conditional writes to Platform until their effect is known.
type Writer struct {
	Platform hbs.Platform
	// CallTimeout is the timeout of each call; positive.
	CallTimeout time.Duration
	// Health records the result of each call; nil disables outage detection.
	Health *Health
	// FailFast makes the writer give up as soon as Health assumes an outage.
	FailFast bool
	// Writes and Reads count the calls sent; a nil counter is skipped.
	Writes, Reads metrics.Counter
}

// Put creates obj if its revision is zero, else updates it, and returns the stored
// object once the write is known to have taken effect. isSameWrite reports whether
// a stored value is the effect of this write.
//
// The error matches ErrConflict if the write is not in effect and never will be,
// also if it was in effect and has been overwritten; ErrNotApplied if it never took
// and never will take effect; ErrUncertain otherwise. With ErrConflict, Put returns
// the conflicting object, whose revision is zero if no object exists.
func (w *Writer) Put(ctx context.Context, obj hbs.Object, isSameWrite func(json.RawMessage) bool) (_ hbs.Object, err error) {
	defer func() { err = errors.Wrapf(err, "write %s", obj.Kind) }()
	b := w.newBackoff()
	uncertain := false
	for {
		stored, err := w.send(ctx, obj)
		switch {
		case err == nil:
			return stored, nil
		case Is(err, hbs.ErrConflict) || Is(err, hbs.ErrNotFound):
			stored, err = w.readBack(ctx, obj, isSameWrite)
			if err == nil || Is(err, hbs.ErrConflict) {
				return stored, err
			}
		case !Is(err, hbs.ErrNotApplied):
			uncertain = true
		}
		if w.shouldGiveUp() || delay.For(ctx, b.NextBackOff()) != nil {
			return hbs.Object{}, unsettledError(uncertain)
		}
	}
}

// GetWithRetry reads an object and retries until the platform returns it or
// reports that it does not exist.
func (w *Writer) GetWithRetry(ctx context.Context, kind hbs.ObjectKind, name string) (_ hbs.Object, err error) {
	defer func() { err = errors.Wrapf(err, "read %s", kind) }()
	b := w.newBackoff()
	for {
		stored, err := w.Get(ctx, kind, name)
		if err == nil || Is(err, hbs.ErrNotFound) {
			return stored, err
		}
		if w.shouldGiveUp() || delay.For(ctx, b.NextBackOff()) != nil {
			return hbs.Object{}, err
		}
	}
}

// readBack applies rule W4. If the object can't be read, the error is neither nil
// nor ErrConflict, and the effect of the write remains unknown.
func (w *Writer) readBack(ctx context.Context, obj hbs.Object, isSameWrite func(json.RawMessage) bool) (hbs.Object, error) {
	stored, err := w.Get(ctx, obj.Kind, obj.Name)
	switch {
	case err == nil && isSameWrite(stored.Value):
		return stored, nil
	case err == nil, Is(err, hbs.ErrNotFound):
		return stored, hbs.ErrConflict
	}
	return hbs.Object{}, err
}

// Get reads an object, without retries.
func (w *Writer) Get(ctx context.Context, kind hbs.ObjectKind, name string) (hbs.Object, error) {
	return w.read(ctx, w.Platform.Get, kind, name)
}

// GetStale reads an object, without retries. If the platform has cheaper stale
// reads, the object may be out of date.
func (w *Writer) GetStale(ctx context.Context, kind hbs.ObjectKind, name string) (hbs.Object, error) {
	stale, ok := w.Platform.(hbs.StaleReader)
	if !ok {
		return w.Get(ctx, kind, name)
	}
	return w.read(ctx, stale.GetStale, kind, name)
}

// read calls get once, with the timeout, and records the result.
func (w *Writer) read(ctx context.Context, get func(context.Context, hbs.ObjectKind, string) (hbs.Object, error), kind hbs.ObjectKind, name string) (hbs.Object, error) {
	count(w.Reads)
	ctx, cancel := context.WithTimeout(ctx, w.CallTimeout)
	defer cancel()
	stored, err := get(ctx, kind, name)
	w.Health.observe(err)
	return stored, err
}

// Delete removes an object if it still has the revision of obj, without retries.
func (w *Writer) Delete(ctx context.Context, obj hbs.Object) error {
	count(w.Writes)
	ctx, cancel := context.WithTimeout(ctx, w.CallTimeout)
	defer cancel()
	err := w.Platform.Delete(ctx, obj.Kind, obj.Name, obj.Revision)
	w.Health.observe(err)
	return err
}

// send sends one copy of a create or update.
func (w *Writer) send(ctx context.Context, obj hbs.Object) (hbs.Object, error) {
	if ctx.Err() != nil {
		return hbs.Object{}, hbs.ErrNotApplied
	}
	count(w.Writes)
	ctx, cancel := context.WithTimeout(ctx, w.CallTimeout)
	defer cancel()
	put := w.Platform.Update
	if obj.Revision == 0 {
		put = w.Platform.Create
	}
	stored, err := put(ctx, obj)
	w.Health.observe(err)
	return stored, err
}

// shouldGiveUp reports whether to stop retrying because of an outage.
func (w *Writer) shouldGiveUp() bool { return w.FailFast && w.Health.down() }

// unsettledError applies rule W6.
func unsettledError(uncertain bool) error {
	if uncertain {
		return hbs.ErrUncertain
	}
	return hbs.ErrNotApplied
}

// newBackoff returns the delays between the attempts of one operation.
func (w *Writer) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = InitialBackoff
	b.MaxInterval = MaxBackoff
	if w.FailFast {
		b.MaxInterval = MaxBackoffFailFast
	}
	return b
}

func count(c metrics.Counter) {
	if c != nil {
		c.Inc(1)
	}
}

// Is reports whether err is or wraps target. It compares identities only. Is of
// package cockroachdb/errors also compares messages, which is meant for errors
// received over a network and costs a regular expression for each mismatch.
func Is(err, target error) bool { return stderrors.Is(err, target) }
