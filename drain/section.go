package drain

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/digest"
)

const (
	// maxRemaining bounds the time until a deadline. It is longer than any deadline
	// that callers may set, and stands for attempts without a deadline.
	maxRemaining = 25 * time.Hour
	// endGrace is the time that an attempt may take to end after its deadline.
	endGrace = 5 * time.Second
	// maxEntries bounds the number of reports in one digest.
	maxEntries = 256
	// maxAttempts bounds the number of attempts in a report from a peer.
	maxAttempts = 1 << 24
	// maxIDBytes bounds the ID of an engine; engines with longer IDs are not reported.
	maxIDBytes = 256
)

// workReport is an instance's report of its attempts at one draining engine. It is
// encoded as an array, so the order of the fields is part of the format.
type workReport struct {
	_ struct{} `cbor:",toarray"`

	Endpoint hbs.EndpointID
	// Revision is the revision of the engine's record in the instance's roster.
	Revision hbs.Revision
	Attempts int
	// Remaining is the time until the latest deadline of the attempts.
	Remaining time.Duration
}

// Validate returns an error if a value is out of range.
func (r workReport) Validate() error {
	switch {
	case r.Endpoint == "" || len(r.Endpoint) > maxIDBytes:
		return errors.Newf("invalid length of endpoint ID: %d bytes", len(r.Endpoint))
	case r.Attempts < 0 || r.Attempts > maxAttempts:
		return errors.Newf("invalid number of attempts: %d", r.Attempts)
	case r.Remaining < 0 || r.Remaining > maxRemaining:
		return errors.Newf("invalid time until the deadline: %v", r.Remaining)
	}
	return nil
}

// decoding is the CBOR mode for digests from peers.
var decoding = digest.NewDecMode(maxEntries)

// Name implements hornbeamstage.Section.
func (t *Tracker) Name() string { return "drain_work" }

// Reach implements hornbeamstage.Section. It is the fleet, since any instance may
// send requests to an engine.
func (t *Tracker) Reach() hbs.Reach { return hbs.ReachFleet }

// Digest implements hornbeamstage.Section.
func (t *Tracker) Digest(budget int) []byte {
	list := t.refreshLocal(time.Now())
	return digest.EncodeWithin(list[:min(len(list), maxEntries)], budget)
}

// Merge implements hornbeamstage.Section.
func (t *Tracker) Merge(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "report of %s on draining engines", from.ID) }()
	list, err := digest.Decode[workReport](decoding, data)
	if err != nil {
		return err
	}
	draining := drainingWithoutLoadReports(t.Directory.Roster())
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		if contains(draining, r.Endpoint) {
			t.store(from.ID, r, time.Now())
		}
	}
	return nil
}
