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

// handler answers the calls of other instances.
type handler struct {
	*Server
}

func (h *handler) heartbeats(stream grpc.ServerStream) error {
	var from *hbs.Instance
	for {
		var beat Heartbeat
		err := stream.RecvMsg(&beat)
		if errors.Is(err, io.EOF) {
			return stream.SendMsg(&Ack{})
		}
		if err != nil {
			return err
		}
		if beat.From != nil {
			if err := h.checkSender(stream.Context(), beat.From.ID); err != nil {
				return err
			}
			from = beat.From
		}
		if from == nil {
			return status.Error(codes.InvalidArgument, "the first heartbeat does not say who sends it")
		}
		h.receive(*from, &beat)
	}
}

func (h *handler) receive(from hbs.Instance, beat *Heartbeat) {
	h.counter(meterHeartbeats).Inc(1)
	h.members.hear(from, beat)
	for _, d := range beat.Sections {
		h.absorb(from, d)
	}
	for _, r := range beat.Relayed {
		h.absorb(r.From, r.SectionData)
	}
	outward := h.members.relays(from.ID, h.representatives())
	h.relays.take(h.Self(), from, beat, outward, h.reachOf)
	h.noteRegion(beat.Summaries)
	h.compare(from, beat.Summaries)
}

// noteRegion notes that a peer keeps the kinds of this instance's region.
func (h *handler) noteRegion(theirs []mirror.Summary) {
	for _, t := range theirs {
		if t.Kind == mirror.RegionKind(h.Objects.Region) {
			h.asked.Store(true)
		}
	}
}

func (h *handler) absorb(from hbs.Instance, d SectionData) {
	for _, section := range h.Sections {
		if section.Name() != d.Name {
			continue
		}
		if err := section.Absorb(from, d.Data); err != nil {
			h.counter(meterDigestErrors).Inc(1)
		}
	}
}

func (s *Server) reachOf(name string) hbs.Reach {
	for _, section := range s.Sections {
		if section.Name() == name {
			return section.Reach()
		}
	}
	return hbs.ReachDomain
}

func (h *handler) push(_ context.Context, p *Push) (*Ack, error) {
	adopted := h.Objects.Adopt(p.Updates)
	h.counter(meterUpdatesPeers).Inc(int64(len(adopted)))
	if len(adopted) == 0 && len(p.Group) == 0 {
		return &Ack{}, nil
	}
	select {
	case h.forwards <- *p:
	default:
		h.counter(meterSpreadDropped).Inc(1)
	}
	return &Ack{}, nil
}

func (h *handler) pull(_ context.Context, p *Pull) (*Updates, error) {
	if p.Kind == mirror.RegionKind(h.Objects.Region) {
		h.asked.Store(true)
	}
	updates := h.Objects.Newer(p.Kind, p.Since)
	if p.Full {
		updates = h.Objects.Missing(p.Kind, p.Held)
	}
	size := 0
	for i := range updates {
		size += len(updates[i].Value) + len(updates[i].Name)
		if size > pullBytes && i > 0 {
			return &Updates{Updates: updates[:i], More: true}, nil
		}
	}
	return &Updates{Updates: updates}, nil
}
