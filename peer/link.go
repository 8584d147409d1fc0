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

// reopenDelay is the delay before a broken stream is reopened.
const reopenDelay = 200 * time.Millisecond

// deniedDelay is the delay after the peer rejected this instance's certificate.
// The connection is closed as well, since a new certificate is only presented in
// a handshake.
const deniedDelay = time.Second

// summaryEvery is the interval, in heartbeats of one stream, at which summaries
// are sent even if they did not change or are not urgent.
const summaryEvery = 4

// link sends heartbeats to one instance over one stream at a time.
type link struct {
	server *Server
	addr   netip.AddrPort
	// to is empty for a seed whose instance is not known yet.
	to     hbs.InstanceID
	region hbs.RegionName
	remote bool
	// pending holds only the latest heartbeat; a slow peer misses older ones.
	pending chan Heartbeat
	cancel  context.CancelFunc
	// lastCode is the status code with which the last stream ended.
	lastCode codes.Code
}

func (b *broadcaster) openLink(ctx context.Context, addr netip.AddrPort, t target) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		server:  b.Server,
		addr:    addr,
		to:      t.ID,
		region:  t.Region,
		remote:  t.remote,
		pending: make(chan Heartbeat, 1),
		cancel:  cancel,
	}
	b.wg.Go(func() { l.run(ctx) })
	return l
}

func (l *link) close() { l.cancel() }

// offer replaces the pending heartbeat by h without blocking.
func (l *link) offer(h Heartbeat) {
	for {
		select {
		case l.pending <- h:
			return
		default:
		}
		select {
		case <-l.pending:
		default:
		}
	}
}

// run keeps a stream open until ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.stream(ctx)
		if ctx.Err() != nil {
			break
		}
		_ = delay.For(ctx, l.handleFailure(err))
	}
	l.server.conns.drop(l.addr)
}

// handleFailure counts the failure of a stream, logs a rejection by the peer if
// the status code changed, and returns the delay before the next stream.
func (l *link) handleFailure(err error) (pause time.Duration) {
	l.server.counter(meterLinkFailures).Inc(1)
	l.server.members.recordSendFailure(l.to)
	code := status.Code(errors.UnwrapAll(err))
	if code == codes.FailedPrecondition {
		l.server.counter(meterVersionsRefused).Inc(1)
	}
	if code != l.lastCode {
		l.lastCode = code
		l.logRefusal(err)
	}
	if code != codes.PermissionDenied {
		return reopenDelay
	}
	l.server.conns.drop(l.addr)
	return deniedDelay
}

func (l *link) logRefusal(err error) {
	switch l.lastCode {
	case codes.FailedPrecondition:
		l.server.Log.Warn("peer refuses this protocol version", zap.Stringer("address", l.addr), zap.Error(err))
	case codes.PermissionDenied:
		l.server.Log.Warn("peer refuses this instance's certificate", zap.Stringer("address", l.addr), zap.Error(err))
	}
}

// stream sends heartbeats until the stream breaks or no heartbeat has arrived
// from the peer for too long. In the latter case it also drops the connection,
// because a network failure may leave a dead connection open without an error.
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
	var lastSelf *hbs.Instance
	var lastSummaries []mirror.Summary
	sentCount := 0
	for {
		select {
		case h := <-l.pending:
			self := l.server.Self()
			if lastSelf == nil || *lastSelf != self {
				h.From = &self
				lastSelf = &self
			}
			if sentCount%summaryEvery != 0 && (!h.urgentSummaries || slices.Equal(h.Summaries, lastSummaries)) {
				h.Summaries = nil
			} else {
				lastSummaries = h.Summaries
			}
			sentCount++
			if err := stream.SendMsg(&h); err != nil {
				return receiveError(stream, err)
			}
			if l.peerTimedOut(opened, h.Interval) {
				l.server.conns.drop(l.addr)
				return errors.New("no heartbeats received from the peer")
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// peerTimedOut reports whether the peer should have sent a heartbeat since this
// stream was opened and did not. Representatives of other domains need not send
// any back, so they never time out.
func (l *link) peerTimedOut(opened time.Time, interval time.Duration) bool {
	timeout := 2 * max(l.server.members.heartbeatTimeout(), timeoutIntervals*interval)
	if l.remote || l.to == "" || time.Since(opened) < timeout {
		return false
	}
	return !l.server.members.heartbeatWithin(l.to, timeout)
}

// receiveError returns the status with which the peer ended the stream, since
// the error of a failed send does not contain it.
func receiveError(stream interface{ RecvMsg(any) error }, err error) error {
	var ack Ack
	if cause := stream.RecvMsg(&ack); cause != nil {
		return cause
	}
	return err
}
