// Package object settles conditional writes to the platform.
//
// An answer of the platform can be lost after the change has taken effect, and
// a write whose answer was lost may take effect later. Writer hides neither; it
// settles what can be settled, by these rules:
//
//	W1. Every write is conditional: a create on the name being free, an update
//	    on the revision that was read.
//	W2. The value names the writer and its step, so that the write's own effect
//	    is told from that of any other write.
//	W3. After a lost answer the same write is sent again, unchanged. Both copies
//	    share one condition, so at most one of them takes effect.
//	W4. A conflict is read back. The writer's own value there means that an
//	    earlier copy took effect: success. Any other value means that the write
//	    did not and, the revision having moved on, can no longer take effect.
//	W5. A write that was certainly not applied is sent again after a pause.
//	W6. When the context ends first, the error tells the two cases apart:
//	    ErrUncertain if any copy may still take effect, else ErrNotApplied.
//
// A create has one exception to W4: a late copy can still take effect after the
// name was freed again. What a created value permits must therefore be harmless
// or be confirmed by a later update.
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

// Pauses between two copies of one write. They grow from FirstPause to LastPause,
// or to PatientPause for writers that outlive outages.
const (
	FirstPause   = 10 * time.Millisecond
	LastPause    = 200 * time.Millisecond
	PatientPause = 2 * time.Second
)

// Writer sends conditional writes until their effect is known.
type Writer struct {
	Platform hbs.Platform
	// CallTimeout bounds one call; positive.
	CallTimeout time.Duration
	// Health, when set, is told the result of each call.
	Health *Health
	// Impatient writers stop as soon as Health believes in an outage.
	Impatient bool
	// Writes and Reads count the calls sent. Nil counters are not kept.
	Writes, Reads metrics.Counter
}

// Put creates obj, when its revision is zero, or updates it. It returns the
// stored object once it is known to have taken effect. Mine reports whether a
// stored value is the effect of this very write. Errors match ErrConflict
// (not in effect any more or never), ErrNotApplied (never) or ErrUncertain. With
// ErrConflict comes the object that is in the way, its revision zero if there is
// none.
func (w *Writer) Put(ctx context.Context, obj hbs.Object, mine func(json.RawMessage) bool) (_ hbs.Object, err error) {
	defer func() { err = errors.Wrapf(err, "write %s", obj.Kind) }()
	pause := w.newPause()
	doubt := false
	for {
		stored, err := w.send(ctx, obj)
		switch {
		case err == nil:
			return stored, nil
		case Is(err, hbs.ErrConflict) || Is(err, hbs.ErrNotFound):
			stored, err = w.readBack(ctx, obj, mine)
			if err == nil || Is(err, hbs.ErrConflict) {
				return stored, err
			}
		case !Is(err, hbs.ErrNotApplied):
			doubt = true
		}
		if w.hopeless() || delay.For(ctx, pause.NextBackOff()) != nil {
			return hbs.Object{}, giveUp(doubt)
		}
	}
}

// Read reads one object, again and again until an answer comes.
func (w *Writer) Read(ctx context.Context, kind hbs.ObjectKind, name string) (_ hbs.Object, err error) {
	defer func() { err = errors.Wrapf(err, "read %s", kind) }()
	pause := w.newPause()
	for {
		stored, err := w.Get(ctx, kind, name)
		if err == nil || Is(err, hbs.ErrNotFound) {
			return stored, err
		}
		if w.hopeless() || delay.For(ctx, pause.NextBackOff()) != nil {
			return hbs.Object{}, err
		}
	}
}

// readBack applies W4. A conflict that can't be read back is no verdict.
func (w *Writer) readBack(ctx context.Context, obj hbs.Object, mine func(json.RawMessage) bool) (hbs.Object, error) {
	stored, err := w.Get(ctx, obj.Kind, obj.Name)
	switch {
	case err == nil && mine(stored.Value):
		return stored, nil
	case err == nil, Is(err, hbs.ErrNotFound):
		return stored, hbs.ErrConflict
	}
	return hbs.Object{}, err
}

// Get reads one object, once.
func (w *Writer) Get(ctx context.Context, kind hbs.ObjectKind, name string) (hbs.Object, error) {
	return w.read(ctx, w.Platform.Get, kind, name)
}

// GetStale reads one object, once, as it may have been a while ago where that is
// cheaper.
func (w *Writer) GetStale(ctx context.Context, kind hbs.ObjectKind, name string) (hbs.Object, error) {
	stale, ok := w.Platform.(hbs.StaleReader)
	if !ok {
		return w.Get(ctx, kind, name)
	}
	return w.read(ctx, stale.GetStale, kind, name)
}

// read calls get once.
func (w *Writer) read(ctx context.Context, get func(context.Context, hbs.ObjectKind, string) (hbs.Object, error), kind hbs.ObjectKind, name string) (hbs.Object, error) {
	count(w.Reads)
	ctx, cancel := context.WithTimeout(ctx, w.CallTimeout)
	defer cancel()
	stored, err := get(ctx, kind, name)
	w.Health.observe(err)
	return stored, err
}

// Delete removes one object, once.
func (w *Writer) Delete(ctx context.Context, obj hbs.Object) error {
	count(w.Writes)
	ctx, cancel := context.WithTimeout(ctx, w.CallTimeout)
	defer cancel()
	err := w.Platform.Delete(ctx, obj.Kind, obj.Name, obj.Revision)
	w.Health.observe(err)
	return err
}

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

func (w *Writer) hopeless() bool { return w.Impatient && w.Health.down() }

func giveUp(doubt bool) error {
	if doubt {
		return hbs.ErrUncertain
	}
	return hbs.ErrNotApplied
}

func (w *Writer) newPause() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = FirstPause
	b.MaxInterval = PatientPause
	if w.Impatient {
		b.MaxInterval = LastPause
	}
	return b
}

// sleep reports whether d passed before ctx ended.

func count(c metrics.Counter) {
	if c != nil {
		c.Inc(1)
	}
}

// Is reports whether err is or wraps target. It compares identities only; the Is
// of the errors library goes on to compare messages, which costs a regular
// expression for each miss and is meant for errors that came over a network.
func Is(err, target error) bool { return stderrors.Is(err, target) }
