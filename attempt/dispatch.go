package attempt

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/prompt"
)

// Causes of an attempt's own end.
var (
	errLost = errors.New("another attempt won")
	// errCaller marks errors of the sink: the caller left.
	errCaller = errors.New("caller left")
)

// do runs the attempt to its end.
func (r *run) do(ctx context.Context) {
	body, err := r.requestBody()
	if err != nil {
		r.unreached(hbs.NotRun(hbs.ReasonBadRequest, err.Error(), 0))
		return
	}
	conn, err := r.connect(ctx)
	if err != nil {
		r.unreached(r.connectRefusal(ctx, err))
		return
	}
	defer func() { _ = conn.Close() }()
	if refusal := r.open(ctx); refusal != nil {
		r.unreached(refusal)
		return
	}
	r.dispatch(ctx, conn, body)
}

// requestBody returns the body for the endpoint.
func (r *run) requestBody() ([]byte, error) {
	if !r.engine() || len(r.Request.Body) == 0 {
		return r.Request.Body, nil
	}
	q := r.Request
	salt := prompt.Salt{Workspace: q.Workspace, Model: q.Model, Adapter: q.Adapter, Weights: r.weights()}
	own := ownFields{
		CacheSalt:  salt.CacheSalt(),
		PrefixTags: prefixTags(q, r.weights()),
		LoadKept:   r.Placement.LoadKept,
		KeepTokens: r.Placement.KeepTokens,
	}
	if r.Placement.Endpoint.Capabilities.Priority {
		own.Priority = &r.Priority
	}
	body, usage, err := engineBody(r.Request.Body, own, r.Request.Stream)
	r.usage = usage
	return body, err
}

func (r *run) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Policy.Duration(KnobConnectTimeout, r.scope()))
	defer cancel()
	return r.Network.Dial(ctx, r.Placement.Endpoint.Address)
}

// open passes the gate (rule 2).
func (r *run) open(ctx context.Context) *hbs.Refusal {
	if err := ctx.Err(); err != nil {
		return r.connectRefusal(ctx, err)
	}
	if r.Gate == nil {
		return nil
	}
	err := r.Gate.Open(ctx)
	if err == nil {
		return nil
	}
	var refusal *hbs.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return hbs.NotRun(hbs.ReasonNoPlatform, err.Error(), time.Second)
}

func (r *run) connectRefusal(ctx context.Context, err error) *hbs.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return hbs.NotRun(hbs.ReasonExpired, "", time.Second)
	case ctx.Err() != nil:
		return hbs.NotRun(hbs.ReasonCanceled, "", 0)
	}
	return hbs.NotRun(hbs.ReasonConnect, err.Error(), time.Second)
}

// unreached ends an attempt that sent nothing. Only a failed connection speaks
// against the endpoint.
func (r *run) unreached(refusal *hbs.Refusal) {
	r.count("attempt_unreached")
	r.result.End = hbs.EndCanceled
	if refusal.Reason == hbs.ReasonConnect {
		r.result.End = hbs.EndUnreached
	}
	r.result.Refusal = refusal
}

// dispatch sends the request and takes the answer.
func (r *run) dispatch(ctx context.Context, conn net.Conn, body []byte) {
	r.watchdog = r.watch(conn)
	defer r.watchdog.stop()
	r.count("attempt_dispatches")
	res, err := r.exchange(ctx, conn, body)
	if err != nil {
		r.broken(ctx, err)
		r.cancelWork(ctx)
		return
	}
	defer func() { _ = res.Body.Close() }()
	r.answer(ctx, res)
	switch r.result.End {
	case hbs.EndCanceled, hbs.EndBroken:
		_ = conn.Close()
		r.cancelWork(ctx)
	}
}

func (r *run) exchange(ctx context.Context, conn net.Conn, body []byte) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, r.Request.Method, endpointURL(r.Placement.Endpoint.Address, r.Request.Path), http.NoBody)
	if err != nil {
		return nil, err
	}
	q.Header = r.requestHeader()
	if len(body) > 0 {
		q.Body = io.NopCloser(bytes.NewReader(body))
		q.ContentLength = int64(len(body))
	}
	return SingleUse(conn).RoundTrip(q)
}

// endpointURL joins address and path. Path includes the query.
func endpointURL(addr netip.AddrPort, path string) string {
	u := url.URL{Scheme: "http", Host: addr.String()}
	return u.String() + path
}

// answer checks and passes the answer on.
func (r *run) answer(ctx context.Context, res *http.Response) {
	r.result.Status = res.StatusCode
	if refusal := r.identify(res); refusal != nil {
		r.count("attempt_crossed")
		r.result.End = hbs.EndBroken
		r.result.Refusal = refusal
		return
	}
	switch {
	case r.streamed() && res.StatusCode < 400 && IsEvents(res.Header):
		r.stream(ctx, res)
	case res.StatusCode >= 400 && r.holds():
		r.hold(ctx, res)
	default:
		r.plain(ctx, res)
	}
}

// broken records the end of a dispatched attempt without a whole answer.
func (r *run) broken(ctx context.Context, err error) {
	r.result.End = hbs.EndBroken
	refusal := &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonBroken, Detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.result.End = hbs.EndCanceled
		refusal.Reason = hbs.ReasonExpired
	case ctx.Err() != nil, errors.Is(err, errCaller):
		r.result.End = hbs.EndCanceled
		refusal.Reason = hbs.ReasonCanceled
	case r.watchdog.hasStalled():
		r.count("attempt_stalls")
		refusal.Detail = "no event for too long"
	default:
		r.count("attempt_broken")
	}
	r.result.Refusal = refusal
}
