package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// askIdleTimeout is the time after which an unused connection for Ask is closed.
const askIdleTimeout = time.Minute

// Ask sends a request to another instance, in any domain, and returns the result
// of its HandleAsk function. It returns when ctx ends, in which case the other
// instance may still have handled the request. Ask uses its own connections,
// because those for heartbeats are closed and redialed when a peer times out.
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
	if h.HandleAsk == nil {
		return nil, status.Error(codes.Unimplemented, "this instance does not handle Ask")
	}
	data, err := h.HandleAsk(q.From, q.Data)
	if err != nil {
		h.counter(meterAskErrors).Inc(1)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &Answer{Data: data}, nil
}
