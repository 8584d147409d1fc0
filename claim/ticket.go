package claim

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// ticketState is the state of a ticket in this process.
type ticketState string

const (
	// ticketHeld: Open has not been called.
	ticketHeld ticketState = "held"
	// ticketOpened: Open permitted the dispatch.
	ticketOpened ticketState = "opened"
	// ticketClosed: no dispatch is permitted any more.
	ticketClosed ticketState = "closed"
)

// Ticket lets one attempt open, finish or abandon its claim. It implements
// hornbeamstage.Gate.
type Ticket struct {
	store *Store

	// mu guards state. Open, Finish and Abandon don't hold it during calls to
	// the platform.
	mu    sync.Mutex
	state ticketState

	// The remaining fields are used only by the call that last set state to
	// ticketClosed, and afterwards by settleLoop.

	// object has the revision of the last write of this attempt that is known to
	// have taken effect, or the one to take over.
	object hbs.Object
	claim  Claim
	// record is the outcome to store; nil if the claim is to be freed.
	record *Record
	// settleDeadline is when settling in the background gives up.
	settleDeadline time.Time
}

// Attempt returns the ID of the attempt, which endpoints echo.
func (t *Ticket) Attempt() hbs.AttemptID { return t.claim.Attempt }

// Open implements hornbeamstage.Gate by rule C4. It permits at most one
// dispatch; later calls fail.
func (t *Ticket) Open(ctx context.Context) (err error) {
	if !t.transition(ticketClosed, ticketHeld) {
		return hbs.NotRun(hbs.ReasonInternal, "the claim was opened before", 0)
	}
	ctx, cancel := t.store.withStepTimeout(ctx, time.Time{})
	defer cancel()
	sent := time.Now()
	retention := t.store.duration(KnobRetention)
	t.claim.RemovableAt = sent.Add(retention)
	err = t.write(ctx, PhaseStarted, true)
	if err == nil && time.Since(sent) > retention/2 {
		err = errors.New("opening the claim took longer than half of its retention")
	}
	if err == nil {
		t.transition(ticketOpened, ticketClosed)
		return nil
	}
	return t.openFailed(err)
}

// transition sets the state to next if it is one of from, and reports whether it
// did.
func (t *Ticket) transition(next ticketState, from ...ticketState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Contains(from, t.state) {
		return false
	}
	t.state = next
	return true
}

// openFailed returns the refusal for a failed Open. Unless another attempt took
// the claim over, it is freed in the background (C7).
func (t *Ticket) openFailed(err error) error {
	if object.Is(err, hbs.ErrConflict) {
		t.store.inc(meterLost)
		return hbs.NotRun(hbs.ReasonClaimOpen, "another attempt took the claim over", minRetryAfter)
	}
	t.store.inc(meterRefusedPlatform)
	t.store.settleInBackground(t)
	return hbs.NotRun(hbs.ReasonNoPlatform, "", minRetryAfter)
}

// Finish stores the outcome of a dispatched request. If that can't be confirmed
// in time, Finish returns an error and the claim is settled in the background.
func (t *Ticket) Finish(ctx context.Context, r Record) (err error) {
	if !t.transition(ticketClosed, ticketOpened) {
		return errors.New("finish of a claim that was not opened or is already closed")
	}
	r = r.omitLargeResponse(int(t.store.Policy.Number(KnobRecordBytes, t.store.scope())))
	r.Attempt = t.claim.Attempt
	r.Finished = time.Now()
	t.record = &r
	return t.settleOrQueue(ctx)
}

// Abandon frees the claim of a request that was not dispatched and never will
// be. After Open it may be called only if no byte can have reached an endpoint.
func (t *Ticket) Abandon(ctx context.Context) (err error) {
	if !t.transition(ticketClosed, ticketHeld, ticketOpened) {
		return nil
	}
	return t.settleOrQueue(ctx)
}

// settleOrQueue settles the claim, or queues t for the background if that fails.
func (t *Ticket) settleOrQueue(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "settle claim") }()
	ctx, cancel := t.store.withStepTimeout(ctx, time.Time{})
	defer cancel()
	err = t.settle(ctx, true)
	if err != nil {
		t.store.settleInBackground(t)
	}
	return err
}

// settle brings the claim to its final phase: done if there is a record (C6),
// else free from whatever phase this attempt left it in (C7).
func (t *Ticket) settle(ctx context.Context, failFast bool) error {
	if t.record != nil {
		t.claim.Record = t.record
		return t.write(ctx, PhaseDone, failFast)
	}
	t.claim.ExpiresAt = time.Now()
	for {
		if t.object.Revision != 0 {
			err := t.write(ctx, PhaseFree, failFast)
			if !object.Is(err, hbs.ErrConflict) {
				return err
			}
		}
		more, err := t.findOwnRevision(ctx, failFast)
		if !more {
			return err
		}
	}
}

// findOwnRevision reads the revision of a write of this attempt that took effect
// late. It reports whether there is such a claim to free.
func (t *Ticket) findOwnRevision(ctx context.Context, failFast bool) (bool, error) {
	stored, err := t.store.writer(failFast).GetWithRetry(ctx, t.object.Kind, t.object.Name)
	if object.Is(err, hbs.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	c, err := decode(stored.Value)
	if err != nil {
		return false, err
	}
	if !c.writtenBy(t.claim.Attempt, PhaseHeld) && !c.writtenBy(t.claim.Attempt, PhaseStarted) {
		return false, nil
	}
	t.object.Revision = stored.Revision
	return true, nil
}

// acquire creates the claim or takes it over (C3, C5). On a conflict it returns
// the conflicting object.
func (t *Ticket) acquire(ctx context.Context) (hbs.Object, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = ticketHeld
	return t.put(ctx, PhaseHeld, true)
}

// write sets the claim to phase, conditional on the revision of t.object (C2).
func (t *Ticket) write(ctx context.Context, phase Phase, failFast bool) error {
	_, err := t.put(ctx, phase, failFast)
	return err
}

// put is write, but also returns the stored object or, on a conflict, the
// conflicting one.
func (t *Ticket) put(ctx context.Context, phase Phase, failFast bool) (hbs.Object, error) {
	c := t.claim
	c.Phase = phase
	value, err := encode(&c)
	if err != nil {
		return hbs.Object{}, err
	}
	obj := t.object
	obj.Value = value
	isOwnWrite := func(value json.RawMessage) bool {
		stored, err := decode(value)
		return err == nil && stored.writtenBy(c.Attempt, phase)
	}
	stored, err := t.store.writer(failFast).Put(ctx, obj, isOwnWrite)
	if err == nil {
		t.object.Revision = stored.Revision
	}
	return stored, err
}
