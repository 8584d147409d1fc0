package membership

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/digest"
)

// Report applies the result of an attempt (rules 2 and 4). It does not block.
func (d *Directory) Report(id hbs.EndpointID, r hbs.AttemptResult) {
	d.init()
	switch {
	case r.End == hbs.EndUnreached:
		d.markUnreachable(id)
	case r.End == hbs.EndBroken, r.End == hbs.EndExpired && r.FirstToken <= 0:
		d.requestProbe(id)
	default:
		d.observations.recordAnswer(id, r.Incarnation, r.Weights)
	}
}

// markUnreachable marks an endpoint suspect until a probe reaches it.
func (d *Directory) markUnreachable(id hbs.EndpointID) {
	if d.observations.markSuspect(id) {
		d.counter(meterSuspicions).Inc(1)
		d.Refresh()
	}
	d.requestProbe(id)
}

// requestProbe schedules an immediate probe, unless the backlog is full.
func (d *Directory) requestProbe(id hbs.EndpointID) {
	select {
	case d.probeRequests <- id:
	default:
	}
}

// Suspicions is the digest section in which the instances of a domain report the
// endpoints that they could not reach. A peer's report only starts a probe, since
// only the network path between that peer and the endpoint may be broken.
type Suspicions struct {
	Directory *Directory
}

// maxSuspicions bounds the endpoints accepted from one digest.
const maxSuspicions = 256

// Name implements hornbeamstage.Section.
func (Suspicions) Name() string { return "suspicions" }

// Reach implements hornbeamstage.Section.
func (Suspicions) Reach() hbs.Reach { return hbs.ReachDomain }

// Digest implements hornbeamstage.Section.
func (s Suspicions) Digest(budget int) []byte {
	s.Directory.init()
	return digest.EncodeWithin(s.Directory.observations.suspectIDs(), budget)
}

// Merge implements hornbeamstage.Section.
func (s Suspicions) Merge(_ hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "suspicions") }()
	d := s.Directory
	d.init()
	var ids []hbs.EndpointID
	if err := cbor.Unmarshal(data, &ids); err != nil {
		return err
	}
	if len(ids) > maxSuspicions {
		return errors.Newf("%d endpoints exceed the limit of %d", len(ids), maxSuspicions)
	}
	for _, id := range ids {
		if d.endpoint(id) != nil {
			d.requestProbe(id)
		}
	}
	return nil
}
