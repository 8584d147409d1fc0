// Package claim runs a request of class once at most one time per idempotency
// key, whichever instances its duplicates and retries reach.
//
// # The protocol
//
// A claim is one object of the platform for one idempotency key. An attempt is
// the handling of one copy of the request by one instance. The phases of a claim
// are
//
//	held → started → done        an attempt that was dispatched
//	held → free                  an attempt that was not dispatched
//	started → free               the same, known only after the claim was started
//	held, free → held            a later attempt takes the claim over
//
// The rules:
//
//	C1. The name of a claim is a hash of workspace, service and key, each
//	    prefixed with its length, so no other workspace can reach it.
//	C2. Every write is conditional on the revision and contains the ID of its
//	    attempt. Whether a write whose response was lost took effect is
//	    determined by the rules of package object.
//	C3. An attempt holds a claim once its create or its takeover is known to
//	    have taken effect. Holding a claim does not permit the dispatch yet.
//	C4. An attempt dispatches only after its update from held to started, on the
//	    very revision that it holds, is known to have taken effect. Ticket.Open
//	    makes this update, and only a nil error of it permits the dispatch.
//	C5. Any attempt may take over a held or free claim. The takeover changes the
//	    revision, so Open of the earlier holder can never succeed afterwards
//	    (C4). Attempts leave a held claim alone until it expires only so that
//	    duplicates don't take it from each other; safety depends on no clock.
//	C6. A started claim is changed by its own attempt alone: to done with the
//	    outcome, or to free if the request is known not to have been dispatched.
//	C7. An attempt that can't confirm the update of its Open answers not_run and
//	    never dispatches, even if the update takes effect later. It then frees
//	    the claim, whether in phase held or started, and retries until that is
//	    confirmed or claim.settle has passed.
//	C8. A request that finds a done claim gets its record. One that finds a
//	    started claim, or a held one that has not expired, gets the outcome
//	    unknown with the reason claim_open.
//	C9. A request whose digest differs from that of the held, started or done
//	    claim of its key is refused with claim_mismatch.
//	C10. Claims are removed after claim.retention, held and free ones after they
//	    expire, always conditional on the revision that was read. An Open whose
//	    write took longer than half of the retention to confirm does not permit
//	    the dispatch. The pages of a listing for removal need not be from one
//	    consistent snapshot.
//	C11. While the platform is known to be unavailable, or this instance has used
//	    up its share of the platform's writes, Begin answers not_run at once and
//	    sends nothing to the platform.
//
// At most once follows: a dispatch needs a claim started by its own attempt (C4).
// Two attempts need two updates from held to started, so before the second one
// the claim of the first was either freed, which its attempt does only if it did
// not dispatch (C6, C7), or removed (C10).
//
// Known limits: if an instance dies after an Open that took effect, before it
// records an outcome or frees the claim, the key stays unknown until the retention
// has passed. This includes a request that was answered not_run, if the response
// to the update of its Open was lost and the instance died before it freed the
// claim (C7). And an attempt that is paused for longer than half of the retention
// between a successful Open and its dispatch can run a request a second time.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Phase is the step of the protocol that a claim has reached.
type Phase string

// The phases of a claim.
const (
	PhaseHeld    Phase = "held"
	PhaseStarted Phase = "started"
	PhaseDone    Phase = "done"
	PhaseFree    Phase = "free"
)

// Digest is a SHA-256 hash of the content of a request.
type Digest [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Newf("digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Claim is the value of a claim object.
type Claim struct {
	Phase Phase `json:"phase"`
	// Attempt is the attempt that last wrote the claim; not empty.
	Attempt hbs.AttemptID `json:"attempt"`
	// Holder is the instance that runs the attempt.
	Holder hbs.InstanceID `json:"holder"`
	// Digest is that of the request that the key was first used for.
	Digest Digest `json:"digest"`
	// ExpiresAt is when a held claim expires, by the holder's wall clock. From then
	// on another attempt may take it over.
	ExpiresAt time.Time `json:"lapses"`
	// RemovableAt is the time from which a started or done claim may be removed.
	RemovableAt time.Time `json:"removable"`
	// Record is set in phase done only.
	Record *Record `json:"record,omitempty"`
}

// Record is the stored outcome of a request, which answers retries of the
// caller.
type Record struct {
	Outcome hbs.Outcome `json:"outcome"`
	// Reason is empty for answered requests.
	Reason hbs.Reason `json:"reason,omitempty"`
	// Status, Header and Body are the response that the caller got; Status is 0
	// if there was none.
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Omitted is set if the response was larger than claim.record_bytes, so that
	// Header and Body are not stored.
	Omitted bool `json:"omitted,omitempty"`
	// Attempt is the attempt that ran the request.
	Attempt hbs.AttemptID `json:"attempt,omitempty"`
	// Finished is when the outcome became known, by the holder's wall clock.
	Finished time.Time `json:"finished"`
}

// Validate returns an error for the first invariant that c violates.
func (c *Claim) Validate() error {
	if c.Attempt == "" {
		return errors.New("claim without an attempt")
	}
	switch c.Phase {
	case PhaseHeld, PhaseStarted, PhaseFree:
		return nil
	case PhaseDone:
		if c.Record == nil {
			return errors.New("done claim without a record")
		}
		return nil
	}
	return errors.Newf("unknown claim phase %q", c.Phase)
}

// canTakeOver reports whether another attempt may take over the claim at time now
// (C5).
func (c *Claim) canTakeOver(now time.Time) bool {
	return c.Phase == PhaseFree || c.Phase == PhaseHeld && !now.Before(c.ExpiresAt)
}

// canRemove reports whether the claim may be removed at time now (C10).
func (c *Claim) canRemove(now time.Time) bool {
	switch c.Phase {
	case PhaseHeld, PhaseFree:
		return now.After(c.ExpiresAt.Add(removalGrace))
	}
	return now.After(c.RemovableAt)
}

// writtenBy reports whether c was written by attempt, with the given phase.
func (c *Claim) writtenBy(attempt hbs.AttemptID, phase Phase) bool {
	return c.Attempt == attempt && c.Phase == phase
}

// omitLargeResponse returns r, without header and body if these are larger than
// limit bytes or r has only a part of them.
func (r Record) omitLargeResponse(limit int) Record {
	size := len(r.Body)
	for name, values := range r.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	if size <= limit && !r.Omitted {
		return r
	}
	r.Header, r.Body, r.Omitted = nil, nil, true
	return r
}

// Name returns the name of the claim object of a key (C1).
func Name(workspace hbs.WorkspaceID, service hbs.ServiceName, key string) string {
	h := sha256.New()
	for _, part := range []string{string(workspace), string(service), key} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil))
}

func decode(value json.RawMessage) (c *Claim, err error) {
	defer func() { err = errors.Wrap(err, "decode claim") }()
	c = new(Claim)
	if err := json.Unmarshal(value, c); err != nil {
		return nil, err
	}
	return c, c.Validate()
}

func encode(c *Claim) (json.RawMessage, error) {
	return json.Marshal(c)
}
