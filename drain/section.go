package drain

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/digest"
)

const (
	// maxLeft is the longest time until a deadline; above what callers may state.
	maxLeft = 25 * time.Hour
	// endTime is how long an attempt may take to end after its deadline.
	endTime = 5 * time.Second
	// maxEntries bounds one digest.
	maxEntries = 256
	// maxAttempts bounds the attempts that a peer may tell of.
	maxAttempts = 1 << 24
	// maxIDBytes bounds an engine's id; a longer one is not told.
	maxIDBytes = 256
)

// entry is what an instance has on one draining engine.
type entry struct {
	_ struct{} `cbor:",toarray"`

	Endpoint hbs.EndpointID
	// Revision is that of the engine's record.
	Revision hbs.Revision
	Attempts int
	// Left is the time until the last deadline of the attempts.
	Left time.Duration
}

// Validate reports the first value that makes no sense.
func (e entry) Validate() error {
	switch {
	case e.Endpoint == "" || len(e.Endpoint) > maxIDBytes:
		return errors.Newf("endpoint id of %d bytes", len(e.Endpoint))
	case e.Attempts < 0 || e.Attempts > maxAttempts:
		return errors.Newf("%d attempts", e.Attempts)
	case e.Left < 0 || e.Left > maxLeft:
		return errors.Newf("deadline in %v", e.Left)
	}
	return nil
}

var decoding = digest.Mode(maxEntries)

// Name implements hornbeamstage.Section.
func (w *Work) Name() string { return "drain_work" }

// Reach implements hornbeamstage.Section. An engine may get work from every
// instance of the fleet.
func (w *Work) Reach() hbs.Reach { return hbs.ReachFleet }

// Digest implements hornbeamstage.Section.
func (w *Work) Digest(budget int) []byte {
	list := w.look(time.Now())
	return digest.Fit(list[:min(len(list), maxEntries)], budget)
}

// Absorb implements hornbeamstage.Section.
func (w *Work) Absorb(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "work of %s on draining engines", from.ID) }()
	list, err := digest.Decode[entry](decoding, data)
	if err != nil {
		return err
	}
	silent := silentDrains(w.Directory.Roster())
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range list {
		if names(silent, e.Endpoint) {
			w.take(from.ID, e, time.Now())
		}
	}
	return nil
}
