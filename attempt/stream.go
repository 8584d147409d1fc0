package attempt

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/relay"
)

// Pauses between attempts to resume a stream.
const (
	resumePause    = 20 * time.Millisecond
	resumePauseMax = 500 * time.Millisecond
)

// cancelTimeout bounds the call that cancels the work on an engine.
const cancelTimeout = time.Second

// errGone: the engine no longer has the stream, or is another life.
var errGone = errors.New("stream is gone")

// IsEvents reports whether an answer with these headers is a stream of events.
func IsEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// stream passes the events on, over as many connections as it takes (rule 5).
func (r *run) stream(ctx context.Context, res *http.Response) {
	r.result.Events = true
	rel := &relay.Relay{
		Numbered:  r.resumable(),
		HideUsage: !r.usage,
	}
	rel.Arrived = func() error {
		r.watchdog.fed()
		return r.arrived(res)
	}
	rel.Write = r.write
	err := rel.Copy(res.Body)
	for err != nil && r.mayResume(ctx, err) {
		_ = res.Body.Close()
		r.pace = pace{}
		err = r.resume(ctx, rel)
	}
	r.takeUsage(rel.Usage(), rel.Events())
	r.endStream(ctx, rel, err)
}

// arrived starts the answer at the first event.
func (r *run) arrived(res *http.Response) error {
	r.firstToken(-1)
	r.paced()
	if r.result.Sent {
		return nil
	}
	if !r.win() {
		return errLost
	}
	r.result.Sent = true
	h := answerHeader(res.Header)
	h.Del("Content-Length")
	return r.start(res.StatusCode, h)
}

func (r *run) write(p []byte) error {
	if err := r.Sink.Write(p); err != nil {
		return errors.Mark(err, errCaller)
	}
	return nil
}

func (r *run) start(status int, h http.Header) error {
	if err := r.Sink.Start(status, h); err != nil {
		return errors.Mark(err, errCaller)
	}
	return nil
}

func (r *run) takeUsage(u relay.Usage, events int) {
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
	case errors.Is(err, errLost):
		r.result.End = hbs.EndCanceled
		r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCanceled}
	case errors.Is(err, relay.ErrEngine):
		r.result.End = hbs.EndFailed
		r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeFailed, Reason: hbs.ReasonEndpointError, Detail: rel.Failure()}
	default:
		r.broken(ctx, err)
		r.incomplete()
	}
}

// incomplete names the reason of a stream that broke after it started.
func (r *run) incomplete() {
	if r.result.Sent && r.result.Refusal.Reason == hbs.ReasonBroken {
		r.result.Refusal.Reason = hbs.ReasonIncomplete
	}
}

// mayResume reports whether the rest of the stream can still be had. A stall
// is resumable: the connection may be dead on one side.
func (r *run) mayResume(ctx context.Context, err error) bool {
	if !r.resumable() || r.gone {
		return false
	}
	for _, final := range []error{errLost, errGone, errCaller, relay.ErrEngine} {
		if errors.Is(err, final) {
			return false
		}
	}
	return ctx.Err() == nil
}

// resume continues the stream at the next sequence number, with a pause
// between tries, within the window that the engine keeps it.
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
		r.gone = true
	}
	return err
}

func (r *run) resumeOnce(ctx context.Context, rel *relay.Relay) error {
	res, done, err := r.side(ctx, http.MethodGet, "?from="+strconv.Itoa(rel.Next()))
	if err != nil {
		return err
	}
	defer done()
	if res.StatusCode != http.StatusOK || !r.own(res.Header) || hbs.Incarnation(res.Header.Get(headerIncarnation)) != r.result.Incarnation {
		return errors.Wrapf(errGone, "status %d, attempt %q", res.StatusCode, res.Header.Get(headerAttempt))
	}
	r.count("attempt_resumes")
	return rel.Copy(res.Body)
}

// side makes a call about the stream on a connection of its own. done ends it.
func (r *run) side(ctx context.Context, method, query string) (res *http.Response, done func(), err error) {
	defer func() { err = errors.Wrapf(err, "%s stream", method) }()
	conn, err := r.connect(ctx)
	if err != nil {
		return nil, nil, err
	}
	r.watchdog.use(conn)
	url := endpointURL(r.Placement.Endpoint.Address, "/v1/streams/"+string(r.Placement.Attempt)+query)
	q, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	q.Header.Set(headerAttempt, string(r.Placement.Attempt))
	res, err = SingleUse(conn).RoundTrip(q)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return res, func() {
		_ = res.Body.Close()
		_ = conn.Close()
	}, nil
}

// cancelWork frees the engine at once (rule 6). Engines that keep streams for
// resuming would go on after the connection closed.
func (r *run) cancelWork(ctx context.Context) {
	if !r.resumable() || r.gone {
		return
	}
	r.count("attempt_cancels")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	res, done, err := r.side(ctx, http.MethodDelete, "")
	if err != nil {
		r.count("attempt_cancel_failures")
		return
	}
	defer done()
	if res.StatusCode >= 300 && res.StatusCode != http.StatusNotFound {
		r.count("attempt_cancel_failures")
	}
}
