package entry

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/claim"
)

// HeaderReplayed marks an answer that was recorded for an earlier request with the
// same idempotency key.
const HeaderReplayed = "X-Replayed"

// decodeServiceRequest decodes a request for a plain service; it is a decoder.
func decodeServiceRequest(x *exchange) error {
	name := hbs.ServiceName(x.params.ByName("name"))
	service := x.h.Config.Config().Service(name)
	if service == nil {
		return hbs.NotRun(hbs.ReasonUnknownService, string(name), 0)
	}
	path := x.params.ByName("path")
	x.req.Service = name
	x.req.Class = service.Class(x.r.Method, path)
	x.req.Path = servicePath(x.r)
	x.setDefaultDeadline()
	return nil
}

// servicePath returns the escaped path after /services/{name}, with the query.
func servicePath(r *http.Request) string {
	path := r.URL.EscapedPath()
	for range 2 {
		path = trimFirstSegment(path)
	}
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// trimFirstSegment returns path from its second slash on, or "/" if it has only
// one.
func trimFirstSegment(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[i:]
		}
	}
	return "/"
}

// serveOnce runs a request of class once under a claim of its idempotency key. The
// request continues if the caller disconnects, and its outcome is recorded for the
// caller's retry.
func (x *exchange) serveOnce() (hbs.Outcome, error) {
	ticket, record, err := x.h.Claims.Begin(x.r.Context(), claim.Request{
		Workspace: x.req.Workspace,
		Service:   x.req.Service,
		Key:       x.req.IdempotencyKey,
		Digest:    x.digest(),
		Deadline:  x.req.Deadline,
	})
	if err != nil {
		return hbs.AsRefusal(err).Outcome, err
	}
	if record != nil {
		return x.replayRecord(record)
	}
	ctx, cancel := detach(x.r.Context())
	defer cancel()
	limit := int(x.h.Config.Number(claim.KnobRecordBytes, x.scope()))
	recorder := &recordingSink{Sink: x.sink, limit: limit}
	outcome, err := x.dispatch(ctx, ticket, recorder)
	x.settleClaim(ctx, ticket, recorder, outcome, err)
	return outcome, err
}

// settleClaim records the request's outcome in the claim, or abandons the claim if
// the request did not run. If the platform does not answer, the claim store retries
// in the background.
func (x *exchange) settleClaim(ctx context.Context, t *claim.Ticket, recorder *recordingSink, outcome hbs.Outcome, err error) {
	if outcome == hbs.OutcomeNotRun {
		x.countUnsettled(t.Abandon(ctx))
		return
	}
	record := claim.Record{Outcome: outcome}
	if err != nil {
		record.Reason = hbs.AsRefusal(err).Reason
	}
	if recorder.complete(outcome) {
		record.Status = recorder.status
		record.Header = recorder.header
		record.Body = recorder.body.Bytes()
		record.Omitted = recorder.overLimit
	}
	x.countUnsettled(t.Finish(ctx, record))
}

// countUnsettled counts a claim that could not be settled immediately.
func (x *exchange) countUnsettled(err error) {
	if err != nil {
		x.h.count(MeterUnsettled)
	}
}

// replayRecord answers with the recorded answer of an earlier request.
func (x *exchange) replayRecord(r *claim.Record) (hbs.Outcome, error) {
	x.h.count(MeterReplays)
	if r.Status == 0 || r.Omitted {
		return r.Outcome, x.recordedRefusal(r)
	}
	x.out.Header().Set(HeaderReplayed, "true")
	if err := x.sink.Start(r.Status, r.Header); err != nil {
		return hbs.OutcomeUnknown, canceled(err)
	}
	if err := x.sink.Write(r.Body); err != nil {
		return hbs.OutcomeUnknown, canceled(err)
	}
	return r.Outcome, nil
}

// recordedRefusal returns the refusal for a record without a complete answer.
func (x *exchange) recordedRefusal(r *claim.Record) *hbs.Refusal {
	if r.Reason == "" {
		return &hbs.Refusal{Outcome: r.Outcome, Reason: hbs.ReasonAnswerNotStored}
	}
	return &hbs.Refusal{Outcome: r.Outcome, Reason: r.Reason, Detail: "recorded outcome of an earlier request"}
}

func canceled(err error) *hbs.Refusal {
	return &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCanceled, Detail: err.Error()}
}

// digest returns a hash of the request's content. It serves to detect an
// idempotency key that is reused for a different request.
func (x *exchange) digest() claim.Digest {
	h := sha256.New()
	// Writes to a hash.Hash never return an error.
	_, _ = io.WriteString(h, x.req.Method+" "+x.req.Path+"\n")
	_, _ = h.Write(x.req.Body)
	return claim.Digest(h.Sum(nil))
}
