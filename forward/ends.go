package forward

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// recordRefusal records that the endpoint did not run the attempt (rule 2).
func (r *run) recordRefusal(a *platform.ResponseInfo) {
	r.count(meterRefused)
	if a.Mismatch && r.OnMismatch != nil {
		r.OnMismatch(&r.Placement.Endpoint, a)
	}
	r.result.End = hbs.EndRefused
	r.result.Refusal = hbs.NotRun(hbs.ReasonNoEndpoint, "the endpoint refused", 0)
}

// failUnproven discards an error whose status tells callers that the request was not
// run although the endpoint doesn't say so (rule 2).
func (r *run) failUnproven(status int) {
	r.result.Fail(http.StatusText(status))
	r.result.Refusal.Outcome = hbs.OutcomeUnknown
}

// failResumption discards a response that doesn't continue the stream (rule 5).
func (r *run) failResumption(status int) {
	if status < 400 {
		r.rejectResponse("the answer doesn't continue the stream")
		return
	}
	r.result.Fail(http.StatusText(status))
}

// rejectResponse discards a response that is not the attempt's own (rule 3).
func (r *run) rejectResponse(detail string) {
	r.count(meterMismatch)
	r.result.End = hbs.EndBroken
	r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonAnswerMismatch, Detail: detail}
}

// failUnreached ends an attempt that sent nothing. Only a failed connection counts
// against the endpoint.
func (r *run) failUnreached(ctx context.Context, err error) {
	r.count(meterUnreached)
	var refusal *hbs.Refusal
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal = hbs.NotRun(hbs.ReasonExpired, "", 0)
	case ctx.Err() != nil:
		refusal = hbs.NotRun(hbs.ReasonCanceled, "", 0)
	case errors.As(err, &refusal):
	default:
		r.result.End = hbs.EndUnreached
		r.result.Refusal = hbs.NotRun(hbs.ReasonConnect, err.Error(), 0)
		return
	}
	r.result.End = hbs.EndCanceled
	r.result.Refusal = refusal
}

// failBroken ends a sent attempt whose response is incomplete.
func (r *run) failBroken(ctx context.Context, err error) {
	refusal := &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonBroken, Detail: err.Error()}
	r.result.Refusal = refusal
	r.result.End = hbs.EndCanceled
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.result.End = hbs.EndExpired
		refusal.Reason = hbs.ReasonExpired
	case startedLate(ctx):
		r.count(meterStartedLate)
		r.result.End = hbs.EndWithdrawn
		refusal.Detail = errStartedLate.Error()
	case ctx.Err() != nil, errors.Is(err, errCallerLeft), errors.Is(err, errLostRace):
		refusal.Reason = hbs.ReasonCanceled
	default:
		r.count(meterBroken)
		r.result.End = hbs.EndBroken
		if r.result.Started {
			refusal.Reason = hbs.ReasonIncomplete
		}
	}
}
