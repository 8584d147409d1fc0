package gateway

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/route"
)

// exchange is one request of a caller and its response.
type exchange struct {
	h *handler
	r *http.Request
	// out is the caller's connection and sink writes the response to it.
	out  http.ResponseWriter
	sink *caller.Sink

	table *route.Table
	// tableAge is the time since table was last known to be the newest, when
	// the request arrived.
	tableAge  time.Duration
	route     *route.Route
	workspace *route.Workspace
	params    platform.CallerParams
	req       hbs.Request
	// memory is reserved until the request ends.
	memory memory.Reservation
}

// serve runs the request and returns its outcome. The error is nil only if the
// caller got an endpoint's response.
func (x *exchange) serve(ctx context.Context) (hbs.Outcome, error) {
	for _, step := range []func() error{x.readParams, x.checkOpen, x.match, x.authenticate, x.reserve, x.readBody, x.checkOpen} {
		if err := step(); err != nil {
			return hbs.OutcomeNotRun, err
		}
	}
	x.fillRequest()
	outcome, err := x.h.dispatcher.Serve(ctx, &x.req, nil, x.sink)
	if err != nil {
		return hbs.AsRefusal(err).Outcome, err
	}
	return outcome, nil
}

func (x *exchange) readParams() (err error) {
	x.params, err = platform.DecodeCallerParams(x.r.Header)
	x.req.ID = x.params.ID
	if err != nil {
		return hbs.BadRequest(err)
	}
	return nil
}

// checkOpen refuses the request if the instance takes no further ones.
func (x *exchange) checkOpen() error {
	if x.h.closed.Load() {
		return hbs.NotRun(hbs.ReasonStopping, "", stoppingRetryAfter)
	}
	return nil
}

// match finds the route. If the table may be stale, a missing route is not
// reported as such; the request is refused with ReasonStarting instead, so that
// the caller retries it.
func (x *exchange) match() error {
	if x.table == nil {
		return hbs.NotRun(hbs.ReasonStarting, "", startingRetryAfter)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = x.table.Match(x.r.Host, path)
	if x.route == nil {
		return x.refuseIfCurrent(hbs.NotRun(hbs.ReasonUnknownService, "no route", 0))
	}
	return nil
}

// refuseIfCurrent returns refusal if the table is current enough for it. If the
// table may be stale, it returns one with ReasonStarting instead, so that the
// caller retries.
func (x *exchange) refuseIfCurrent(refusal *hbs.Refusal) error {
	if d := x.h.bounds.Load().ConfigTime; d > 0 && x.tableAge > watchWait+d {
		return hbs.NotRun(hbs.ReasonStarting, "routes may be old", startingRetryAfter)
	}
	return refusal
}

// authenticate finds the workspace of the caller's key. If the table is so old
// that keys may have been revoked since, no key is accepted.
func (x *exchange) authenticate() error {
	if !x.table.RequiresKey || x.route.Public {
		return nil
	}
	if b := x.h.bounds.Load(); b.StrictRevoke && x.tableAge > b.RevokeTime {
		return hbs.NotRun(hbs.ReasonNoPlatform, "keys may be old", startingRetryAfter)
	}
	x.workspace = x.table.Workspace(x.params.Key)
	if x.workspace == nil {
		return x.refuseIfCurrent(hbs.NotRun(hbs.ReasonUnauthorized, "", 0))
	}
	return nil
}

// reserve reserves the memory of the request without its body.
func (x *exchange) reserve() error { return caller.ReserveRequest(&x.memory) }

// readBody reads the body, for no longer than the request may take.
func (x *exchange) readBody() (err error) {
	wait := bodyTimeout
	for _, d := range []time.Duration{x.params.Deadline, x.route.Timeout} {
		if d > 0 {
			wait = min(wait, d)
		}
	}
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	x.req.Body, err = x.sink.ReadBody(x.r, wait, limit, &x.memory)
	return err
}

// fillRequest sets the remaining fields of the request from its route,
// workspace and headers.
func (x *exchange) fillRequest() {
	q, p := &x.req, &x.params
	q.Class = x.route.Class
	q.Stream = x.route.Stream
	q.Attempts = x.route.Attempts
	if q.Resumable = x.route.Stream && x.route.Resumable; q.Resumable {
		q.Resumes = p.Resumes
	}
	q.Service = x.route.ChooseService(cmp.Or(q.StreamID(), q.ID), x.h.hasLiveEndpoint)
	q.Model = p.Model
	q.Host, q.Method, q.Path = x.r.Host, x.r.Method, x.r.RequestURI
	q.Header = platform.ForwardedHeader(x.r.Header)
	rank := x.route.Priority
	if w := x.workspace; w != nil {
		q.Workspace = w.ID
		if w.Isolated {
			q.CacheScope = string(w.ID)
		}
		if w.HasPriority {
			rank = w.Priority
		}
	}
	q.Priority = priorityOf(rank)
	q.Deadline = x.deadline()
	if q.Stream {
		q.FirstEventDeadline = q.Arrived.Add(x.route.EventTimeout)
	}
	if q.Model != "" {
		q.PromptTokens, q.ExpectedTokens = p.PromptTokens, max(p.OutputTokens, 1)
		q.Levels = levels(q, p.Prompt)
		q.Parts = sharedParts(p.Prompt)
	}
	q.Fingerprint = fingerprint(q)
}

// deadline returns when the request ends: at the caller's deadline or the
// route's timeout, whichever is earlier, or after defaultTimeout if there is
// neither.
func (x *exchange) deadline() time.Time {
	wait := x.params.Deadline
	if r := x.route.Timeout; r > 0 && (wait == 0 || r < wait) {
		wait = r
	}
	return x.req.Arrived.Add(cmp.Or(wait, defaultTimeout))
}

func priorityOf(rank int) hbs.Priority {
	switch {
	case rank <= 0:
		return hbs.PriorityHigh
	case rank == 1:
		return hbs.PriorityNormal
	}
	return hbs.PriorityLow
}

// levels returns the nested prefixes of a prompt, shortest first.
func levels(q *hbs.Request, parts []platform.PromptPart) []hbs.Level {
	var ls []hbs.Level
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
		ls = append(ls, hbs.Level{Key: levelKey(q.CacheScope, q.Model, p.ID), Tokens: tokens})
	}
	q.PromptTokens = max(q.PromptTokens, tokens)
	if len(ls) > 0 {
		ls[len(ls)-1].Tokens = q.PromptTokens
	}
	return ls
}

// maxPartID is the longest part ID that is kept as it is, in bytes.
const maxPartID = 64

// sharedParts returns the IDs of all parts but the last, which is the request's own.
// A longer ID than maxPartID is replaced by its hash.
func sharedParts(parts []platform.PromptPart) []hbs.PartID {
	var ids []hbs.PartID
	for i := range len(parts) - 1 {
		id := parts[i].ID
		if len(id) > maxPartID {
			id = strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
		ids = append(ids, hbs.PartID(id))
	}
	return ids
}

// levelKey returns the key of the prefix that ends with a part. A part ID
// occurs at only one place in prompts, so it also stands for everything before
// it; engines report only the part's ID in their cache events. Requests in
// different scopes may not share cached prefixes, so their keys differ.
func levelKey(scope string, model hbs.ModelName, part string) hbs.LevelKey {
	return hbs.LevelKey(xxhash.Sum64String(scope + "\x00" + string(model) + "\x00" + part))
}

// finish records the request's metrics and log line, and writes the refusal if
// there is one.
func (x *exchange) finish(outcome hbs.Outcome, err error) {
	h := x.h
	h.count(meterRequests)
	h.count(meterOutcomePrefix + string(outcome))
	h.recordDuration(meterDuration, time.Since(x.req.Arrived))
	if first := x.sink.TimeToFirstToken(x.req.Arrived); first > 0 {
		h.recordDuration(meterFirstWrite, first)
	}
	fields := []zap.Field{
		zap.String("request", string(x.req.ID)),
		zap.String("outcome", string(outcome)),
		zap.String("workspace", string(x.req.Workspace)),
		zap.String("service", string(x.req.Service)),
		zap.Int("prompt_tokens", x.req.PromptTokens),
		zap.Int("expected_tokens", x.req.ExpectedTokens),
		zap.Duration("took", time.Since(x.req.Arrived)),
		zap.Duration("table_age", x.tableAge),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.Int64("table", int64(x.table.Version)))
	}
	if err != nil {
		r := hbs.AsRefusal(err)
		fields = append(fields, zap.String("reason", string(r.Reason)), zap.String("detail", r.Detail), zap.Duration("retry_after", r.RetryAfter))
		x.refuse(r)
	}
	h.log.Info("request ended", fields...)
}

// refuse writes a refusal, unless the response has already started.
func (x *exchange) refuse(r *hbs.Refusal) {
	x.h.count(meterReasonPrefix + string(r.Reason))
	if x.sink.Started {
		return
	}
	if err := platform.WriteRefusal(x.out, x.req.ID, r); err != nil {
		x.h.log.Debug("refusal not written", zap.String("request", string(x.req.ID)), zap.Error(err))
	}
}
