// Package claim makes a keyed once request run at most one time, whatever
// instance its copies and retries reach.
//
// # The protocol
//
// A claim is one object of the platform. Its phases are
//
//	held → started → done        an attempt that was dispatched
//	held → free                  an attempt that was not
//	started → free               likewise, found out after the claim was started
//	held, free → held            a later attempt takes the claim over
//
// The rules:
//
//	C1. The name of a claim is a hash of workspace, service and key, each with
//	    its length. No other workspace can reach it.
//	C2. Every write is conditional and names its attempt; lost answers are
//	    settled by the rules of package object.
//	C3. An attempt holds a claim after its create, or its takeover, is known to
//	    have taken effect. A held claim permits nothing yet.
//	C4. An attempt dispatches only after its update from held to started, on the
//	    very revision that it holds, is known to have taken effect. Open is that
//	    update, and only a nil error of Open permits the dispatch.
//	C5. A held or free claim may be taken over by anyone: the takeover changes
//	    the revision, so the earlier holder's Open fails for ever (C4). The lapse
//	    of a held claim is a courtesy, so that duplicates don't take the claim
//	    from each other; safety does not rest on any clock.
//	C6. A started claim is changed by its own attempt alone: to done with the
//	    outcome, or to free when the attempt knows that it was not dispatched.
//	C7. An attempt whose Open was not settled answers not_run and never
//	    dispatches, whatever becomes of the update. It then frees the claim,
//	    whether it finds it held or started, until that is settled or given up.
//	C8. A caller that finds a done claim gets its record. One that finds a
//	    started claim, or a held one that has not lapsed, gets unknown with
//	    claim_open.
//	C9. A key that comes with another digest than a held, started or done claim
//	    is refused with claim_mismatch.
//	C10. Claims are removed after Retention, held and free ones after their lapse,
//	    always on the revision that was read. An Open whose write took longer than half
//	    of Retention to settle does not permit the dispatch. Listings for removal
//	    come in pages and need not show one moment.
//	C11. When the platform is known to be out, or this instance's share of its
//	    writes is used up, Begin answers not_run at once and sends nothing.
//
// At most once follows: a run needs a started claim of its own attempt (C4); two
// attempts need two updates from held to started, the second of them after the
// first claim was freed, which its attempt does only when it was not dispatched
// (C6, C7), or removed (C10).
//
// What remains: an instance that dies after an Open that took effect, and before
// it could record an outcome or free the claim, leaves the key unknown until
// Retention has passed. This holds for a request that was answered not_run too, if
// the answer to its Open was lost and the instance died before C7 was done. And a
// holder that is paused for longer than half of Retention between a successful
// Open and its dispatch could run a request that was run again since.
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

// Phase is the step that a claim has reached.
type Phase string

// The phases of a claim.
const (
	PhaseHeld    Phase = "held"
	PhaseStarted Phase = "started"
	PhaseDone    Phase = "done"
	PhaseFree    Phase = "free"
)

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Newf("digest has %d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Claim is the value of a claim object.
type Claim struct {
	Phase Phase `json:"phase"`
	// Attempt names the attempt that wrote the claim last; not empty.
	Attempt hbs.AttemptID `json:"attempt"`
	// Holder is the instance of the attempt.
	Holder hbs.InstanceID `json:"holder"`
	// Digest is the content that the key was first used with.
	Digest Digest `json:"digest"`
	// Lapses is when a held claim may be taken over, by the holder's wall clock.
	Lapses time.Time `json:"lapses"`
	// Removable is when a started or done claim may be removed.
	Removable time.Time `json:"removable"`
	// Record is set in phase done only.
	Record *Record `json:"record,omitempty"`
}

// Record is the outcome of a request, kept for the caller's retries.
type Record struct {
	Outcome hbs.Outcome `json:"outcome"`
	// Reason is empty for answered requests.
	Reason hbs.Reason `json:"reason,omitempty"`
	// Status, Header and Body are the answer as the caller got it; Status is 0
	// when there was none.
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Omitted tells that the answer was larger than the bound of records, so
	// that Header and Body are not kept.
	Omitted bool `json:"omitted,omitempty"`
	// Attempt names the attempt that ran.
	Attempt hbs.AttemptID `json:"attempt,omitempty"`
	// Finished is when the outcome was known, by the holder's wall clock.
	Finished time.Time `json:"finished"`
}

// Validate reports the first invariant that c breaks.
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
	return errors.Newf("claim phase %q is not known", c.Phase)
}

// takeable reports whether rule C5 lets another attempt take the claim now.
func (c *Claim) takeable(now time.Time) bool {
	return c.Phase == PhaseFree || c.Phase == PhaseHeld && !now.Before(c.Lapses)
}

// removable reports whether rule C10 lets the claim be removed now.
func (c *Claim) removable(now time.Time) bool {
	switch c.Phase {
	case PhaseHeld, PhaseFree:
		return now.After(c.Lapses.Add(removeAfterLapse))
	}
	return now.After(c.Removable)
}

// is reports whether c is the effect of a write of attempt in phase.
func (c *Claim) is(attempt hbs.AttemptID, phase Phase) bool {
	return c.Attempt == attempt && c.Phase == phase
}

// bounded returns r without its answer when that is larger than limit bytes.
func (r Record) bounded(limit int) Record {
	size := len(r.Body)
	for name, values := range r.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	if size <= limit {
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
