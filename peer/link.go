package peer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// reopenAfter is the pause before a broken stream is opened again.
const reopenAfter = 200 * time.Millisecond

// deniedAfter is the pause when the peer denies this instance's certificate. The
// connection is made anew then, as a changed certificate shows in a handshake only.
const deniedAfter = time.Second

// summaryEvery is how many heartbeats pass before summaries are told that did not
// change or need not be told at once.
const summaryEvery = 4

// link sends heartbeats to one instance over one stream at a time.
type link struct {
	server *Server
	addr   netip.AddrPort
	to     hbs.InstanceID
	region hbs.RegionName
	remote bool
	// beats holds at most the newest heartbeat; a slow peer misses older ones.
	beats  chan Heartbeat
	cancel context.CancelFunc
	// refused is the code that the last stream ended with.
	refused codes.Code
}

func (b *beater) open(ctx context.Context, addr netip.AddrPort, t target) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		server: b.Server,
		addr:   addr,
		to:     t.ID,
		region: t.Region,
		remote: t.remote,
		beats:  make(chan Heartbeat, 1),
		cancel: cancel,
	}
	b.wg.Go(func() { l.run(ctx) })
	return l
}

func (l *link) close() { l.cancel() }

// offer hands h to the link without waiting.
func (l *link) offer(h Heartbeat) {
	for {
		select {
		case l.beats <- h:
			return
		default:
		}
		select {
		case <-l.beats:
		default:
		}
	}
}

// run opens the stream again whenever it breaks.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.stream(ctx)
		if ctx.Err() != nil {
			break
		}
		_ = delay.For(ctx, l.failed(err))
	}
	l.server.conns.drop(l.addr)
}

// failed counts why the stream broke, logs what the peer refuses when that is
// new, and returns the pause before the next stream.
func (l *link) failed(err error) (pause time.Duration) {
	l.server.counter(meterLinkFailures).Inc(1)
	l.server.members.fail(l.to)
	code := status.Code(errors.UnwrapAll(err))
	if code == codes.FailedPrecondition {
		l.server.counter(meterRefused).Inc(1)
	}
	if code != l.refused {
		l.refused = code
		l.logRefusal(err)
	}
	if code != codes.PermissionDenied {
		return reopenAfter
	}
	l.server.conns.drop(l.addr)
	return deniedAfter
}

func (l *link) logRefusal(err error) {
	switch l.refused {
	case codes.FailedPrecondition:
		l.server.Log.Warn("peer refuses this protocol version", zap.Stringer("address", l.addr), zap.Error(err))
	case codes.PermissionDenied:
		l.server.Log.Warn("peer refuses this instance's certificate", zap.Stringer("address", l.addr), zap.Error(err))
	}
}

// stream sends heartbeats until the stream breaks or the peer falls silent. A
// silent peer's connection is made anew, because a network that lost it may
// never say so.
func (l *link) stream(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "heartbeats to %s", l.addr) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := l.server.conns.get(l.addr)
	if err != nil {
		return err
	}
	stream, err := conn.NewStream(withVersion(ctx, Version), &heartbeatStream, methodHeartbeat)
	if err != nil {
		return err
	}
	opened := time.Now()
	var sent *hbs.Instance
	var told []mirror.Summary
	beats := 0
	for {
		select {
		case h := <-l.beats:
			self := l.server.Self()
			if sent == nil || *sent != self {
				h.From = &self
				sent = &self
			}
			if beats%summaryEvery != 0 && (!h.urgent || slices.Equal(h.Summaries, told)) {
				h.Summaries = nil
			} else {
				told = h.Summaries
			}
			beats++
			if err := stream.SendMsg(&h); err != nil {
				return receiveError(stream, err)
			}
			if l.silent(opened, h.Interval) {
				l.server.conns.drop(l.addr)
				return errors.New("peer is silent")
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// silent reports whether the peer should have been heard on this stream's
// account and was not. Instances of other domains need not answer.
func (l *link) silent(opened time.Time, interval time.Duration) bool {
	patience := 2 * max(l.server.members.silence(), silentIntervals*interval)
	if l.remote || l.to == "" || time.Since(opened) < patience {
		return false
	}
	return !l.server.members.heardWithin(l.to, patience)
}

// receiveError returns why the peer ended the stream: sending tells only that
// it did.
func receiveError(stream interface{ RecvMsg(any) error }, err error) error {
	var ack Ack
	if cause := stream.RecvMsg(&ack); cause != nil {
		return cause
	}
	return err
}
