package entry

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/claim"
)

// HeaderReplayed marks an answer that comes from an earlier run with the same
// idempotency key.
const HeaderReplayed = "X-Replayed"

// serviceExchange decodes a request for a plain service.
func serviceExchange(x *exchange) error {
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

// servicePath returns the escaped path below /services/{name} with the query.
func servicePath(r *http.Request) string {
	path := r.URL.EscapedPath()
	for range 2 {
		path = afterSlash(path)
	}
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// afterSlash returns path from its second slash on.
func afterSlash(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[i:]
		}
	}
	return "/"
}

// serveOnce runs a once request under a claim. The caller's leaving does not
// stop it: the outcome is recorded for the caller's retry.
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
		return x.replay(record)
	}
	ctx, cancel := detach(x.r.Context())
	defer cancel()
	limit := int(x.h.Config.Number(claim.KnobRecordBytes, x.scope()))
	kept := &recordSink{Sink: x.sink, limit: limit}
	outcome, err := x.dispatch(ctx, ticket, kept)
	x.settle(ctx, ticket, kept, outcome, err)
	return outcome, err
}

// settle tells the claim what became of the request. The claim's store goes on
// in the background when the platform does not answer.
func (x *exchange) settle(ctx context.Context, t *claim.Ticket, kept *recordSink, outcome hbs.Outcome, err error) {
	if outcome == hbs.OutcomeNotRun {
		x.countUnsettled(t.Abandon(ctx))
		return
	}
	record := claim.Record{Outcome: outcome}
	if err != nil {
		record.Reason = hbs.AsRefusal(err).Reason
	}
	if kept.complete(outcome) {
		record.Status = kept.status
		record.Header = kept.header
		record.Body = kept.body.Bytes()
		record.Omitted = kept.over
	}
	x.countUnsettled(t.Finish(ctx, record))
}

func (x *exchange) countUnsettled(err error) {
	if err != nil {
		x.h.count(MeterUnsettled)
	}
}

// replay answers from the record of an earlier run.
func (x *exchange) replay(r *claim.Record) (hbs.Outcome, error) {
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

func (x *exchange) recordedRefusal(r *claim.Record) *hbs.Refusal {
	if r.Reason == "" {
		return &hbs.Refusal{Outcome: r.Outcome, Reason: hbs.ReasonNotKept}
	}
	return &hbs.Refusal{Outcome: r.Outcome, Reason: r.Reason, Detail: "recorded outcome of an earlier request"}
}

func canceled(err error) *hbs.Refusal {
	return &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCanceled, Detail: err.Error()}
}

// digest identifies the content of the request, so that a key that is reused
// for another one is noticed.
func (x *exchange) digest() claim.Digest {
	h := sha256.New()
	// A hash never returns an error.
	_, _ = io.WriteString(h, x.req.Method+" "+x.req.Path+"\n")
	_, _ = h.Write(x.req.Body)
	return claim.Digest(h.Sum(nil))
}
