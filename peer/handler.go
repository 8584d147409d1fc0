package peer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// handler implements the service for calls from other instances.
type handler struct {
	*Server
}

// heartbeats receives a stream of heartbeats from one instance.
func (h *handler) heartbeats(stream grpc.ServerStream) error {
	var from *hbs.Instance
	for {
		var hb Heartbeat
		err := stream.RecvMsg(&hb)
		if errors.Is(err, io.EOF) {
			return stream.SendMsg(&Ack{})
		}
		if err != nil {
			return err
		}
		if hb.From != nil {
			if err := h.checkSender(stream.Context(), hb.From.ID); err != nil {
				return err
			}
			from = hb.From
		}
		if from == nil {
			return status.Error(codes.InvalidArgument, "the first heartbeat of a stream has no sender")
		}
		h.handleHeartbeat(*from, &hb)
	}
}

func (h *handler) handleHeartbeat(from hbs.Instance, hb *Heartbeat) {
	h.counter(meterHeartbeats).Inc(1)
	h.members.recordHeartbeat(from, hb)
	for _, d := range hb.Sections {
		h.merge(from, d)
	}
	for _, r := range hb.Relayed {
		h.merge(r.From, r.SectionData)
	}
	relayToRemote := h.members.relaysFor(from.ID, h.representativeCount())
	h.relays.enqueue(h.Self(), from, hb, relayToRemote, h.reachOf)
	h.noteRegionKind(hb.Summaries)
	h.schedulePulls(from, hb.Summaries)
}

// noteRegionKind records that a peer stores this instance's region as a kind.
func (h *handler) noteRegionKind(theirs []mirror.Summary) {
	for _, t := range theirs {
		if t.Kind == mirror.RegionKind(h.Objects.Region) {
			h.regionKindSeen.Store(true)
		}
	}
}

// merge passes a digest to the section of its name. Unknown sections, such as
// those of a newer release, are ignored.
func (h *handler) merge(from hbs.Instance, d SectionData) {
	for _, section := range h.Sections {
		if section.Name() != d.Name {
			continue
		}
		if err := section.Merge(from, d.Data); err != nil {
			h.counter(meterDigestErrors).Inc(1)
		}
	}
}

// reachOf returns the reach of the named section. Unknown sections are not relayed.
func (s *Server) reachOf(name string) hbs.Reach {
	for _, section := range s.Sections {
		if section.Name() == name {
			return section.Reach()
		}
	}
	return hbs.ReachDomain
}

// push adopts updates and queues the push for forwarding to its group.
func (h *handler) push(_ context.Context, p *Push) (*Ack, error) {
	adopted := h.Objects.Adopt(p.Updates)
	h.counter(meterUpdatesAdopted).Inc(int64(len(adopted)))
	if len(adopted) == 0 && len(p.Group) == 0 {
		return &Ack{}, nil
	}
	select {
	case h.forwardQueue <- *p:
	default:
		h.counter(meterBroadcastDropped).Inc(1)
	}
	return &Ack{}, nil
}

// pull returns the requested updates, at most about pullResponseBytes of them.
func (h *handler) pull(_ context.Context, p *Pull) (*Updates, error) {
	if p.Kind == mirror.RegionKind(h.Objects.Region) {
		h.regionKindSeen.Store(true)
	}
	updates := h.Objects.Newer(p.Kind, p.Since)
	if p.Full {
		updates = h.Objects.Missing(p.Kind, p.Held)
	}
	size := 0
	for i := range updates {
		size += len(updates[i].Value) + len(updates[i].Name)
		if size > pullResponseBytes && i > 0 {
			return &Updates{Updates: updates[:i], More: true}, nil
		}
	}
	return &Updates{Updates: updates}, nil
}
