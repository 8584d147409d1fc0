package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// askIdle is the time after which an unused connection for asks is closed.
const askIdle = time.Minute

// Ask hands data to the Answer of another instance, of any domain, and returns
// what that says. It ends with ctx; the other may have answered all the same. The
// connections are other ones than the heartbeats', which are made anew when a
// peer is silent.
func (s *Server) Ask(ctx context.Context, to hbs.Instance, data []byte) (answer []byte, err error) {
	defer func() { err = errors.Wrapf(err, "ask %q", to.ID) }()
	s.init()
	var a Answer
	if err := s.askConns.call(ctx, to.PeerAddress, methodAsk, &Ask{From: s.Self().ID, Data: data}, &a); err != nil {
		s.askConns.drop(to.PeerAddress)
		return nil, err
	}
	return a.Data, nil
}

func (h *handler) ask(ctx context.Context, q *Ask) (*Answer, error) {
	if err := h.checkSender(ctx, q.From); err != nil {
		return nil, err
	}
	if h.Answer == nil {
		return nil, status.Error(codes.Unimplemented, "this instance answers nothing")
	}
	data, err := h.Answer(q.From, q.Data)
	if err != nil {
		h.counter(meterAskErrors).Inc(1)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &Answer{Data: data}, nil
}
