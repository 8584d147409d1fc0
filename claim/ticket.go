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

// ticketState is the life of a ticket inside its process.
type ticketState string

const (
	// ticketHeld: Open was not called.
	ticketHeld ticketState = "held"
	// ticketOpened: Open permitted the dispatch.
	ticketOpened ticketState = "opened"
	// ticketClosed: no dispatch is permitted any more.
	ticketClosed ticketState = "closed"
)

// Ticket is one attempt's hold on a claim. It is a hornbeamstage.Gate.
type Ticket struct {
	store *Store

	// mu guards state and is never held during a call to the platform.
	mu    sync.Mutex
	state ticketState

	// The rest belongs to whoever closed the ticket last, and to the duty that
	// settles it afterwards.

	// object carries the revision that the attempt last knew as its own.
	object hbs.Object
	claim  Claim
	// record is the outcome to settle; nil when the claim is to be freed.
	record *Record
	// giveUp ends the settling in the background.
	giveUp time.Time
}

// Attempt names the attempt; endpoints echo it.
func (t *Ticket) Attempt() hbs.AttemptID { return t.claim.Attempt }

// Open implements hornbeamstage.Gate by rule C4. It permits one dispatch, once.
func (t *Ticket) Open(ctx context.Context) (err error) {
	if !t.move(ticketClosed, ticketHeld) {
		return hbs.NotRun(hbs.ReasonInternal, "the claim was opened before", 0)
	}
	ctx, cancel := t.store.bound(ctx, time.Time{})
	defer cancel()
	sent := time.Now()
	retention := t.store.duration(KnobRetention)
	t.claim.Removable = sent.Add(retention)
	err = t.write(ctx, PhaseStarted, true)
	if err == nil && time.Since(sent) > retention/2 {
		err = errors.New("the claim took too long to open")
	}
	if err == nil {
		t.move(ticketOpened, ticketClosed)
		return nil
	}
	return t.refuse(err)
}

// move sets the state to next if it is one of from, and reports whether it did.
func (t *Ticket) move(next ticketState, from ...ticketState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Contains(from, t.state) {
		return false
	}
	t.state = next
	return true
}

// refuse ends a ticket whose Open did not succeed (C7).
func (t *Ticket) refuse(err error) error {
	if object.Is(err, hbs.ErrConflict) {
		t.store.inc(meterLost)
		return hbs.NotRun(hbs.ReasonClaimOpen, "another attempt took the claim over", retryFloor)
	}
	t.store.inc(meterRefused)
	t.store.settleLater(t)
	return hbs.NotRun(hbs.ReasonNoPlatform, "", retryFloor)
}

// Finish records the outcome of a dispatched request. When the platform does not
// answer in time it is settled in the background; the error then says so.
func (t *Ticket) Finish(ctx context.Context, r Record) (err error) {
	if !t.move(ticketClosed, ticketOpened) {
		return errors.New("finish of a claim that is not open")
	}
	r = r.bounded(int(t.store.Policy.Number(KnobRecordBytes, t.store.scope())))
	r.Attempt = t.claim.Attempt
	r.Finished = time.Now()
	t.record = &r
	return t.settleNow(ctx)
}

// Abandon frees the claim of a request that was not dispatched and never will
// be. After Open it may be called only if no byte can have reached an endpoint.
func (t *Ticket) Abandon(ctx context.Context) (err error) {
	if !t.move(ticketClosed, ticketHeld, ticketOpened) {
		return nil
	}
	return t.settleNow(ctx)
}

func (t *Ticket) settleNow(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "settle claim") }()
	ctx, cancel := t.store.bound(ctx, time.Time{})
	defer cancel()
	err = t.settle(ctx, true)
	if err != nil {
		t.store.settleLater(t)
	}
	return err
}

// settle brings the claim to its last phase: done with a record (C6), or free
// from whatever phase this attempt left it in (C7).
func (t *Ticket) settle(ctx context.Context, impatient bool) error {
	if t.record != nil {
		t.claim.Record = t.record
		return t.write(ctx, PhaseDone, impatient)
	}
	t.claim.Lapses = time.Now()
	for {
		if t.object.Revision != 0 {
			err := t.write(ctx, PhaseFree, impatient)
			if !object.Is(err, hbs.ErrConflict) {
				return err
			}
		}
		more, err := t.refresh(ctx, impatient)
		if !more {
			return err
		}
	}
}

// refresh finds the revision that a late write of this attempt left. It reports
// whether there is something to free.
func (t *Ticket) refresh(ctx context.Context, impatient bool) (bool, error) {
	stored, err := t.store.writer(impatient).Read(ctx, t.object.Kind, t.object.Name)
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
	if !c.is(t.claim.Attempt, PhaseHeld) && !c.is(t.claim.Attempt, PhaseStarted) {
		return false, nil
	}
	t.object.Revision = stored.Revision
	return true, nil
}

// hold creates the claim or takes it over (C3, C5). With a conflict it returns
// the object that is in the way.
func (t *Ticket) hold(ctx context.Context) (hbs.Object, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = ticketHeld
	return t.put(ctx, PhaseHeld, true)
}

// write brings the claim to phase on the revision of t.object (C2).
func (t *Ticket) write(ctx context.Context, phase Phase, impatient bool) error {
	_, err := t.put(ctx, phase, impatient)
	return err
}

func (t *Ticket) put(ctx context.Context, phase Phase, impatient bool) (hbs.Object, error) {
	c := t.claim
	c.Phase = phase
	value, err := encode(&c)
	if err != nil {
		return hbs.Object{}, err
	}
	obj := t.object
	obj.Value = value
	mine := func(value json.RawMessage) bool {
		stored, err := decode(value)
		return err == nil && stored.is(c.Attempt, phase)
	}
	stored, err := t.store.writer(impatient).Put(ctx, obj, mine)
	if err == nil {
		t.object.Revision = stored.Revision
	}
	return stored, err
}
