package attempt

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/relay"
)

// Backoff between attempts to resume a stream.
const (
	resumePause    = 20 * time.Millisecond
	resumePauseMax = 500 * time.Millisecond
)

// cancelTimeout bounds the request that cancels a stream on an engine.
const cancelTimeout = time.Second

// errStreamUnavailable means that the engine no longer has the stream or has
// restarted under another incarnation.
var errStreamUnavailable = errors.New("stream is gone")

// relayStream passes the events on, and resumes the stream on new connections as
// often as necessary (rule 5).
func (r *run) relayStream(ctx context.Context, res *http.Response) {
	r.result.EventStream = true
	rel := &relay.Relay{
		Numbered:  r.resumable(),
		HideUsage: !r.usageRequested,
	}
	rel.OnEvent = func() error {
		r.watchdog.reset()
		return r.onEvent(res)
	}
	rel.Write = r.write
	err := rel.Copy(res.Body)
	for err != nil && r.mayResume(ctx, err) {
		_ = res.Body.Close()
		r.minGap = minGap{}
		err = r.resume(ctx, rel)
	}
	r.recordUsage(rel.Usage(), rel.Events())
	r.endStream(ctx, rel, err)
}

// onEvent is called for each event that arrives. The first one claims the request
// and starts the response to the caller.
func (r *run) onEvent(res *http.Response) error {
	r.firstToken(-1)
	r.trackMinGap()
	if r.result.Started {
		return nil
	}
	if !r.win() {
		return errLostRace
	}
	r.result.Started = true
	h := responseHeader(res.Header)
	h.Del("Content-Length")
	return r.start(res.StatusCode, h)
}

func (r *run) write(p []byte) error {
	if err := r.Sink.Write(p); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	return nil
}

func (r *run) start(status int, h http.Header) error {
	if err := r.Sink.Start(status, h); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	return nil
}

func (r *run) recordUsage(u relay.Usage, events int) {
	r.result.CachedTokens = u.CachedTokens
	r.result.OutputTokens = events
	if u.OutputTokens >= 0 {
		r.result.OutputTokens = u.OutputTokens
	}
}

func (r *run) endStream(ctx context.Context, rel *relay.Relay, err error) {
	switch {
	case err == nil:
		r.result.End = hbs.EndComplete
	case errors.Is(err, errLostRace):
		r.result.End = hbs.EndCanceled
		r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCanceled}
	case errors.Is(err, relay.ErrEngine):
		r.result.Fail(rel.ErrorData())
	default:
		r.endBroken(ctx, err)
		r.markIncomplete()
	}
}

// markIncomplete changes the reason of a response that broke after it had started
// to ReasonIncomplete.
func (r *run) markIncomplete() {
	if r.result.Started && r.result.Refusal.Reason == hbs.ReasonBroken {
		r.result.Refusal.Reason = hbs.ReasonIncomplete
	}
}

// mayResume reports whether the stream may be resumed after err. A stall is
// resumable, since the connection may be half-open.
func (r *run) mayResume(ctx context.Context, err error) bool {
	if !r.resumable() || r.streamUnavailable {
		return false
	}
	for _, final := range []error{errLostRace, errStreamUnavailable, errCallerLeft, relay.ErrEngine, network.ErrTooLong} {
		if errors.Is(err, final) {
			return false
		}
	}
	return ctx.Err() == nil
}

// resume continues the stream at the next sequence number. It retries with
// backoff for as long as the engine retains the stream.
func (r *run) resume(ctx context.Context, rel *relay.Relay) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = resumePause
	wait.MaxInterval = resumePauseMax
	window := r.Policy.Duration(KnobResumeWindow, r.scope())
	before := rel.Next()
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := r.resumeOnce(ctx, rel)
		if err != nil && (rel.Next() > before || !r.mayResume(ctx, err)) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(window))
	if err != nil && rel.Next() == before {
		r.streamUnavailable = true
	}
	return err
}

func (r *run) resumeOnce(ctx context.Context, rel *relay.Relay) error {
	res, done, err := r.streamRequest(ctx, http.MethodGet, "?from="+strconv.Itoa(rel.Next()))
	if err != nil {
		return err
	}
	defer done()
	if res.StatusCode != http.StatusOK || !r.isThisAttempt(res.Header) || hbs.Incarnation(res.Header.Get(headerIncarnation)) != r.result.Incarnation {
		return errors.Wrapf(errStreamUnavailable, "status %d, attempt %q", res.StatusCode, res.Header.Get(headerAttempt))
	}
	r.count("attempt_resumes")
	return rel.Copy(res.Body)
}

// streamRequest sends a request to the engine's resource for this stream, on a new
// connection. The caller calls done to release the response and the connection.
func (r *run) streamRequest(ctx context.Context, method, query string) (res *http.Response, done func(), err error) {
	defer func() { err = errors.Wrapf(err, "%s stream", method) }()
	conn, err := r.connect(ctx)
	if err != nil {
		return nil, nil, err
	}
	r.watchdog.switchTo(conn)
	url := endpointURL(r.Placement.Endpoint.Address, "/v1/streams/"+string(r.Placement.Attempt)+query)
	q, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	q.Header.Set(headerAttempt, string(r.Placement.Attempt))
	res, err = r.roundTrip(conn, q)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return res, func() {
		_ = res.Body.Close()
		_ = conn.Close()
	}, nil
}

// cancelStream requests that the engine stop generating (rule 6). Engines that
// retain streams for resuming would go on after the connection is closed.
func (r *run) cancelStream(ctx context.Context) {
	if !r.resumable() || r.streamUnavailable {
		return
	}
	r.count("attempt_cancels")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	res, done, err := r.streamRequest(ctx, http.MethodDelete, "")
	if err != nil {
		r.count("attempt_cancel_failures")
		return
	}
	defer done()
	if res.StatusCode >= 300 && res.StatusCode != http.StatusNotFound {
		r.count("attempt_cancel_failures")
	}
}
