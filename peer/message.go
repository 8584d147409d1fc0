package peer

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// Limits of one message.
const (
	maxMessageBytes = 4 << 20
	maxSections     = 64
	maxRelayed      = 1024
	maxInstances    = 4096
	maxGroup        = 4096
	// pullResponseBytes is the approximate size at which the response to a pull
	// is cut; the rest is requested with another pull.
	pullResponseBytes = 1 << 20
)

// Heartbeat reports that an instance is alive, and its latest state.
type Heartbeat struct {
	// From is set in the first heartbeat of a stream and whenever it changes.
	From *hbs.Instance `cbor:"1,keyasint,omitempty"`
	// Interval is the time until the next heartbeat; positive.
	Interval time.Duration `cbor:"2,keyasint"`
	// Summaries describe the sender's mirrored objects, one per kind, so that
	// the receiver finds out what it lacks (rule 5). Most heartbeats omit them
	// while they do not change.
	Summaries []mirror.Summary `cbor:"3,keyasint,omitempty"`
	Sections  []SectionData    `cbor:"4,keyasint,omitempty"`
	// Relayed are sections of instances that have no link to the receiver.
	Relayed []Relayed `cbor:"5,keyasint,omitempty"`
	// Unlisted are live instances of the domain that the platform does not list.
	Unlisted []hbs.Instance `cbor:"6,keyasint,omitempty"`
	// urgentSummaries is set if changed summaries are to be sent in this heartbeat
	// rather than in the next summaryEvery-th. It is not encoded.
	urgentSummaries bool
}

// SectionData is the digest of one section.
type SectionData struct {
	Name string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Relayed is a section that representatives relay between domains.
type Relayed struct {
	// SectionData is embedded and encoded with the keys 1 and 2.
	SectionData
	From  hbs.Instance `cbor:"3,keyasint"`
	Reach hbs.Reach    `cbor:"4,keyasint"`
}

// Push sends updates to an instance, which forwards them to Group.
type Push struct {
	Updates []mirror.Update `cbor:"1,keyasint"`
	// Group are the instances to which the receiver forwards the updates.
	Group []hbs.InstanceID `cbor:"2,keyasint,omitempty"`
}

// Pull requests updates of one kind.
type Pull struct {
	Kind hbs.ObjectKind `cbor:"1,keyasint"`
	// Since requests updates with a higher revision. It is ignored if Full is set.
	Since hbs.Revision `cbor:"2,keyasint,omitempty"`
	// Full requests all updates that are not in Held or supersede one in it.
	Full bool                    `cbor:"3,keyasint,omitempty"`
	Held []mirror.ObjectRevision `cbor:"4,keyasint,omitempty"`
}

// Updates is the response to a Pull.
type Updates struct {
	Updates []mirror.Update `cbor:"1,keyasint,omitempty"`
	// More reports that the response was cut and another pull is needed.
	More bool `cbor:"2,keyasint,omitempty"`
}

// Ask is a request from one component of an instance to the same component of
// another. This package does not interpret Data.
type Ask struct {
	From hbs.InstanceID `cbor:"1,keyasint"`
	Data []byte         `cbor:"2,keyasint"`
}

// Answer is the response to an Ask.
type Answer struct {
	Data []byte `cbor:"1,keyasint"`
}

// Ack is the response to a Push and to a stream of heartbeats.
type Ack struct{}

// Validate returns an error if h is invalid.
func (h *Heartbeat) Validate() (err error) {
	defer func() { err = errors.Wrap(err, "heartbeat") }()
	switch {
	case h.Interval <= 0:
		return errors.New("interval is not positive")
	case len(h.Sections) > maxSections, len(h.Relayed) > maxRelayed, len(h.Unlisted) > maxInstances:
		return errors.New("too many sections, relayed sections or unlisted instances")
	}
	if h.From != nil {
		if err := h.From.Validate(); err != nil {
			return err
		}
	}
	for i := range h.Unlisted {
		if err := h.Unlisted[i].Validate(); err != nil {
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

// Validate returns an error if p is invalid.
func (p *Push) Validate() (err error) {
	defer func() { err = errors.Wrap(err, "push") }()
	if len(p.Group) > maxGroup {
		return errors.New("group is too large")
	}
	return validateUpdates(p.Updates)
}

// Validate returns an error if q is invalid.
func (q *Ask) Validate() error {
	if q.From == "" {
		return errors.New("ask: sender is empty")
	}
	return nil
}

// Validate returns an error if u is invalid.
func (u *Updates) Validate() (err error) {
	defer func() { err = errors.Wrap(err, "updates") }()
	return validateUpdates(u.Updates)
}

// Validate returns an error if p is invalid.
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
