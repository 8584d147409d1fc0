package hornbeamstage

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what became of a request, as the caller is told.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeAnswered: the whole answer reached the caller.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: no byte of the request can have reached an endpoint.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed: the request ran and its answer is an error.
	OutcomeFailed Outcome = "failed"
)

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// The reasons. Their texts and codes are in Reasons.
const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonHeaderTimeout   Reason = "header_timeout"
	ReasonTooLarge        Reason = "too_large"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonUnknownModel    Reason = "unknown_model"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonRateLimited     Reason = "rate_limited"
	ReasonConcurrency     Reason = "concurrency_limited"
	ReasonQueueFull       Reason = "queue_full"
	ReasonDeadline        Reason = "deadline_unreachable"
	ReasonExpired         Reason = "deadline_passed"
	ReasonNoEndpoint      Reason = "no_endpoint"
	ReasonStopping        Reason = "stopping"
	ReasonStarting        Reason = "starting"
	ReasonClaimOpen       Reason = "claim_open"
	ReasonClaimMismatch   Reason = "claim_mismatch"
	ReasonAnswerNotStored Reason = "answer_not_kept"
	ReasonNoPlatform      Reason = "platform_unavailable"
	ReasonConnect         Reason = "connect_failed"
	ReasonBroken          Reason = "connection_broken"
	ReasonAnswerMismatch  Reason = "answer_mismatch"
	ReasonIncomplete      Reason = "stream_incomplete"
	ReasonEndpointError   Reason = "endpoint_error"
	ReasonCanceled        Reason = "canceled"
	ReasonInternal        Reason = "internal"
)

// ReasonInfo documents one reason.
type ReasonInfo struct {
	Reason Reason
	// Status is the HTTP status when nothing was sent to the caller yet.
	Status int
	// Title is a short phrase, Text a sentence for the operators' page.
	Title, Text string
}

// Reasons is the table of all reasons. The error answers and the operators'
// page come from it.
var Reasons = []ReasonInfo{
	{ReasonBadRequest, http.StatusBadRequest, "malformed request", "The request could not be decoded; the message names the position."},
	{ReasonHeaderTimeout, http.StatusRequestTimeout, "header late", "No whole request header came within listen.header_wait, or none on an idle connection; a request that was under way did not run."},
	{ReasonTooLarge, http.StatusRequestEntityTooLarge, "request too large", "The body exceeds the setting listen.max_body_bytes."},
	{ReasonUnauthorized, http.StatusUnauthorized, "unknown key", "The bearer key is missing or belongs to no workspace."},
	{ReasonUnknownModel, http.StatusNotFound, "unknown model", "No such model is configured for the workspace."},
	{ReasonUnknownService, http.StatusNotFound, "unknown service", "No such service is configured."},
	{ReasonRateLimited, http.StatusTooManyRequests, "rate limit", "The workspace used up its rate; Retry-After says when the next request fits."},
	{ReasonConcurrency, http.StatusTooManyRequests, "concurrency limit", "The workspace has as many requests running as it may."},
	{ReasonQueueFull, http.StatusServiceUnavailable, "queue full", "The bounded queue of the model is full."},
	{ReasonDeadline, http.StatusServiceUnavailable, "deadline unreachable", "The predicted wait exceeds the deadline, so the request was refused at once."},
	{ReasonExpired, http.StatusGatewayTimeout, "deadline passed", "The deadline passed before the answer was complete."},
	{ReasonNoEndpoint, http.StatusServiceUnavailable, "no endpoint", "No live endpoint serves the model or service."},
	{ReasonStopping, http.StatusServiceUnavailable, "instance stopping", "The instance is shutting down; another one will answer."},
	{ReasonStarting, http.StatusServiceUnavailable, "instance starting", "The instance has no configuration yet, from neither platform, peers nor a floor file."},
	{ReasonClaimOpen, http.StatusConflict, "key in use", "An earlier request with the same idempotency key has no recorded outcome yet."},
	{ReasonClaimMismatch, http.StatusUnprocessableEntity, "key reused", "The idempotency key was used before with another request."},
	{ReasonAnswerNotStored, http.StatusConflict, "answer not kept", "An earlier request with the same idempotency key ran and was answered; its answer was larger than claim.record_bytes."},
	{ReasonNoPlatform, http.StatusServiceUnavailable, "platform unavailable", "The claim of a once request could not be recorded, so the request was not run."},
	{ReasonConnect, http.StatusBadGateway, "connect failed", "No connection to the endpoint could be made."},
	{ReasonBroken, http.StatusBadGateway, "connection broken", "The connection to the endpoint broke before the answer was complete."},
	{ReasonAnswerMismatch, http.StatusBadGateway, "answer mismatch", "The endpoint answered another attempt; the answer was dropped."},
	{ReasonIncomplete, http.StatusBadGateway, "stream incomplete", "The stream ended early and could not be resumed."},
	{ReasonEndpointError, http.StatusBadGateway, "endpoint error", "The endpoint answered with an error of its own."},
	{ReasonCanceled, 499, "canceled", "The caller left before the answer was complete."},
	{ReasonInternal, http.StatusInternalServerError, "internal error", "A fault of the router; its log has the cause."},
}

// Info returns the table row of r, or that of ReasonInternal.
func (r Reason) Info() ReasonInfo {
	for _, info := range Reasons {
		if info.Reason == r {
			return info
		}
	}
	return ReasonInfo{ReasonInternal, http.StatusInternalServerError, "internal error", "The reason is not in the table."}
}

// Refusal is the error of a request that does not get its answer. Every error
// that reaches a caller is one.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Detail is shown to the caller after the reason's title; may be empty.
	Detail string
	// RetryAfter tells the caller when to come back; 0 when waiting does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s", r.Outcome, r.Reason.Info().Title)
	}
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason.Info().Title, r.Detail)
}

// AsRefusal returns the refusal in err's chain, or one for an internal error
// after which the request may have run.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Outcome: OutcomeUnknown, Reason: ReasonInternal, Detail: err.Error()}
}

// BadRequest returns a refusal of a request that can't be read.
func BadRequest(err error) *Refusal { return NotRun(ReasonBadRequest, err.Error(), 0) }

// NotRun returns a refusal of a request that reached no endpoint.
func NotRun(reason Reason, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}
