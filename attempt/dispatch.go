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
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/prompt"
)

// Reasons for the router to end an attempt itself.
var (
	errLostRace = errors.New("another attempt won")
	// errCallerLeft marks errors of the sink, which mean that the caller
	// disconnected.
	errCallerLeft = errors.New("caller left")
)

// do connects, opens the gate and dispatches the request.
func (r *run) do(ctx context.Context) {
	body, err := r.requestBody()
	if err != nil {
		r.endUnsent(hbs.NotRun(hbs.ReasonBadRequest, err.Error(), 0))
		return
	}
	conn, err := r.connect(ctx)
	if err != nil {
		r.endUnsent(r.connectRefusal(ctx, err))
		return
	}
	defer func() { _ = conn.Close() }()
	if refusal := r.openGate(ctx); refusal != nil {
		r.endUnsent(refusal)
		return
	}
	r.dispatch(ctx, conn, body)
}

// requestBody returns the body to send, with the router's fields for an engine.
func (r *run) requestBody() ([]byte, error) {
	if !r.engine() || len(r.Request.Body) == 0 {
		return r.Request.Body, nil
	}
	q := r.Request
	salt := prompt.Salt{Workspace: q.Workspace, Model: q.Model, Adapter: q.Adapter, Weights: r.weights()}
	fields := routerFields{
		CacheSalt:  salt.CacheSalt(),
		PrefixTags: prefixTags(q, r.weights()),
		LoadKept:   r.Placement.LoadFromStore,
		KeepTokens: r.Placement.StoreTokens,
	}
	if r.Placement.Endpoint.Capabilities.Priority {
		fields.Priority = &r.Priority
	}
	body, usage, err := engineBody(r.Request.Body, fields, r.Request.Stream)
	r.usageRequested = usage
	return body, err
}

func (r *run) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Policy.Duration(KnobConnectTimeout, r.scope()))
	defer cancel()
	return r.Network.Dial(ctx, r.Placement.Endpoint.Address)
}

// openGate opens the gate, if there is one (rule 2). It returns the refusal if the
// attempt must not be dispatched.
func (r *run) openGate(ctx context.Context) *hbs.Refusal {
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

// endUnsent ends an attempt that sent nothing. Only a failed connection is
// evidence against the endpoint, so only that one ends as EndUnreached.
func (r *run) endUnsent(refusal *hbs.Refusal) {
	r.count("attempt_unreached")
	r.result.End = hbs.EndCanceled
	if refusal.Reason == hbs.ReasonConnect {
		r.result.End = hbs.EndUnreached
	}
	r.result.Refusal = refusal
}

// dispatch sends the request and processes the response.
func (r *run) dispatch(ctx context.Context, conn net.Conn, body []byte) {
	r.watchdog = r.watch(conn)
	defer r.watchdog.stop()
	r.count("attempt_dispatches")
	res, err := r.exchange(ctx, conn, body)
	if err != nil {
		r.endBroken(ctx, err)
		r.cancelStream(ctx)
		return
	}
	defer func() { _ = res.Body.Close() }()
	r.handleResponse(ctx, res)
	switch r.result.End {
	case hbs.EndCanceled, hbs.EndExpired, hbs.EndBroken:
		_ = conn.Close()
		r.cancelStream(ctx)
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
	return r.roundTrip(conn, q)
}

// roundTrip sends q on conn and limits the length of the response (rule 8).
func (r *run) roundTrip(conn net.Conn, q *http.Request) (*http.Response, error) {
	transport := network.NewSingleUseTransport(conn)
	transport.ReserveHeader = r.held.GrowHeader
	res, err := transport.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	network.LimitResponse(res, int64(r.Policy.Number(KnobMaxBytes, r.scope())))
	return res, nil
}

// endpointURL joins addr and path, which includes the query.
func endpointURL(addr netip.AddrPort, path string) string {
	u := url.URL{Scheme: "http", Host: addr.String()}
	return u.String() + path
}

// handleResponse checks the response and passes it on or buffers it.
func (r *run) handleResponse(ctx context.Context, res *http.Response) {
	r.result.Status = res.StatusCode
	r.result.Unframed = Unframed(res)
	if refusal := r.checkIdentity(res); refusal != nil {
		r.count("attempt_crossed")
		r.result.End = hbs.EndBroken
		r.result.Refusal = refusal
		return
	}
	switch {
	case r.streamed() && res.StatusCode < 400 && caller.IsEvents(res.Header):
		r.relayStream(ctx, res)
	case res.StatusCode >= 400 && r.buffersErrors():
		r.bufferError(ctx, res)
	default:
		r.relayPlain(ctx, res)
	}
}

// endBroken records the end of a dispatched attempt whose response is incomplete.
func (r *run) endBroken(ctx context.Context, err error) {
	r.result.End = hbs.EndBroken
	refusal := &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonBroken, Detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.result.End = hbs.EndExpired
		refusal.Reason = hbs.ReasonExpired
	case ctx.Err() != nil, errors.Is(err, errCallerLeft):
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
