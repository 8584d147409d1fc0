package membership

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/digest"
)

// Report takes in how an attempt ended (rules 2 and 4). It does not block.
func (d *Directory) Report(id hbs.EndpointID, r hbs.AttemptResult) {
	d.init()
	switch r.End {
	case hbs.EndUnreached:
		d.doubt(id)
	case hbs.EndBroken:
		d.probeSoon(id)
	default:
		d.evidence.answered(id, r.Incarnation, r.Weights)
	}
}

// doubt makes an endpoint suspect until a probe reaches it.
func (d *Directory) doubt(id hbs.EndpointID) {
	if d.evidence.suspect(id) {
		d.counter(meterSuspected).Inc(1)
		d.Refresh()
	}
	d.probeSoon(id)
}

func (d *Directory) probeSoon(id hbs.EndpointID) {
	select {
	case d.probes <- id:
	default:
	}
}

// Suspicions is the digest section by which the instances of a domain tell
// each other which endpoints they could not reach. A peer's word only starts a
// probe: the path may be broken between that peer and the endpoint alone.
type Suspicions struct {
	Directory *Directory
}

// maxSuspicions bounds one digest.
const maxSuspicions = 256

// Name implements hornbeamstage.Section.
func (Suspicions) Name() string { return "suspicions" }

// Reach implements hornbeamstage.Section.
func (Suspicions) Reach() hbs.Reach { return hbs.ReachDomain }

// Digest implements hornbeamstage.Section.
func (s Suspicions) Digest(budget int) []byte {
	s.Directory.init()
	return digest.Fit(s.Directory.evidence.suspects(), budget)
}

// Absorb implements hornbeamstage.Section.
func (s Suspicions) Absorb(_ hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "suspicions") }()
	d := s.Directory
	d.init()
	var ids []hbs.EndpointID
	if err := cbor.Unmarshal(data, &ids); err != nil {
		return err
	}
	if len(ids) > maxSuspicions {
		return errors.Newf("%d endpoints, at most %d are taken", len(ids), maxSuspicions)
	}
	for _, id := range ids {
		if d.endpoint(id) != nil {
			d.probeSoon(id)
		}
	}
	return nil
}
