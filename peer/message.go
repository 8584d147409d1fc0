package peer

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// The bounds of one message.
const (
	maxMessageBytes = 4 << 20
	maxSections     = 64
	maxRelayed      = 1024
	maxInstances    = 4096
	maxGroup        = 4096
	// pullBytes is about how much one answer to a pull carries; the rest is
	// asked for again.
	pullBytes = 1 << 20
)

// Heartbeat tells that an instance lives and what is new with it.
type Heartbeat struct {
	// From is set in the first heartbeat of a stream and whenever it changed.
	From *hbs.Instance `cbor:"1,keyasint,omitempty"`
	// Interval is the time until the next heartbeat; positive.
	Interval time.Duration `cbor:"2,keyasint"`
	// Summaries tell the mirrored objects apart (rule 5). They are left out of
	// most heartbeats while they do not change.
	Summaries []mirror.Summary `cbor:"3,keyasint,omitempty"`
	Sections  []SectionData    `cbor:"4,keyasint,omitempty"`
	// Relayed are sections of instances that the receiver has no link with.
	Relayed []Relayed `cbor:"5,keyasint,omitempty"`
	// Heard are live instances of the domain that the platform's list lacks.
	Heard []hbs.Instance `cbor:"6,keyasint,omitempty"`
	// urgent summaries are told at once if they changed. It is not sent.
	urgent bool
}

// SectionData is the digest of one section.
type SectionData struct {
	Name string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Relayed is a section that travels through representatives.
type Relayed struct {
	// SectionData is embedded and has the keys 1 and 2.
	SectionData
	From  hbs.Instance `cbor:"3,keyasint"`
	Reach hbs.Reach    `cbor:"4,keyasint"`
}

// Push hands updates to an instance and with them the duty to pass them on.
type Push struct {
	Updates []mirror.Update `cbor:"1,keyasint"`
	// Group are the instances that the receiver passes the updates on to.
	Group []hbs.InstanceID `cbor:"2,keyasint,omitempty"`
}

// Pull asks for updates of one kind.
type Pull struct {
	Kind hbs.ObjectKind `cbor:"1,keyasint"`
	// Since asks for updates above it. It is not used when Full.
	Since hbs.Revision `cbor:"2,keyasint,omitempty"`
	// Full asks for all updates that stand over those of Held.
	Full bool          `cbor:"3,keyasint,omitempty"`
	Held []mirror.Held `cbor:"4,keyasint,omitempty"`
}

// Updates answers a Pull.
type Updates struct {
	Updates []mirror.Update `cbor:"1,keyasint,omitempty"`
	// More tells that another pull has more to get.
	More bool `cbor:"2,keyasint,omitempty"`
}

// Ask carries what one part of an instance asks the same part of another.
type Ask struct {
	From hbs.InstanceID `cbor:"1,keyasint"`
	Data []byte         `cbor:"2,keyasint"`
}

// Answer answers an Ask.
type Answer struct {
	Data []byte `cbor:"1,keyasint"`
}

// Ack answers a Push and ends a stream of heartbeats.
type Ack struct{}

// Validate reports the first invariant that h breaks.
func (h *Heartbeat) Validate() (err error) {
	defer func() { err = errors.Wrap(err, "heartbeat") }()
	switch {
	case h.Interval <= 0:
		return errors.New("interval is not positive")
	case len(h.Sections) > maxSections, len(h.Relayed) > maxRelayed, len(h.Heard) > maxInstances:
		return errors.New("too many parts")
	}
	if h.From != nil {
		if err := h.From.Validate(); err != nil {
			return err
		}
	}
	for i := range h.Heard {
		if err := h.Heard[i].Validate(); err != nil {
			return err
		}
	}
	for i := range h.Relayed {
		if err := h.Relayed[i].From.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate reports the first invariant that p breaks.
func (p *Push) Validate() (err error) {
	defer func() { err = errors.Wrap(err, "push") }()
	if len(p.Group) > maxGroup {
		return errors.New("group is too large")
	}
	return validateUpdates(p.Updates)
}

// Validate reports the first invariant that q breaks.
func (q *Ask) Validate() error {
	if q.From == "" {
		return errors.New("ask: nobody asks")
	}
	return nil
}

// Validate reports the first invariant that u breaks.
func (u *Updates) Validate() (err error) {
	defer func() { err = errors.Wrap(err, "updates") }()
	return validateUpdates(u.Updates)
}

// Validate reports the first invariant that p breaks.
func (p *Pull) Validate() error {
	if mirror.Mirrored(p.Kind) {
		return nil
	}
	return errors.Newf("pull: kind %q is not mirrored", p.Kind)
}

func validateUpdates(us []mirror.Update) error {
	for i := range us {
		if err := us[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}
