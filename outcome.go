package hornbeamstage

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is the result of a request as reported to the caller.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeAnswered means that the complete response was sent to the caller.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the request ran and its response is an error.
	OutcomeFailed Outcome = "failed"
)

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// The reasons. Their descriptions and HTTP status codes are in Reasons.
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
	ReasonMemory          Reason = "memory_used_up"
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
	ReasonQuarantined     Reason = "part_quarantined"
	// ReasonRequestQuarantined is about a whole request, not about a part of its prompt.
	ReasonRequestQuarantined Reason = "request_quarantined"
	ReasonNotResumable       Reason = "not_resumable"
	ReasonCanceled           Reason = "canceled"
	ReasonInternal           Reason = "internal"
)

// ReasonInfo documents one reason.
type ReasonInfo struct {
	Reason Reason
	// Status is the HTTP status code if the response to the caller has not started.
	// Package platform replaces it where it does not fit the outcome.
	Status int
	// Title is a short phrase that callers receive too. Text is a sentence for the
	// documentation for operators.
	Title, Text string
}

// Reasons is the table of all reasons. Error responses and the documentation for
// operators are generated from it.
var Reasons = []ReasonInfo{
	{ReasonBadRequest, http.StatusBadRequest, "malformed request", "The request could not be decoded; the message gives the position."},
	{ReasonHeaderTimeout, http.StatusRequestTimeout, "header late", "No complete request header arrived within listen.header_wait, or an idle connection received no further request in time; a request that was only partly received did not run."},
	{ReasonTooLarge, http.StatusRequestEntityTooLarge, "request too large", "The body exceeds the setting listen.max_body_bytes."},
	{ReasonUnauthorized, http.StatusUnauthorized, "unknown key", "The bearer key is missing or does not belong to a workspace."},
	{ReasonUnknownModel, http.StatusNotFound, "unknown model", "The model is not configured for the workspace."},
	{ReasonUnknownService, http.StatusNotFound, "unknown service", "The service is not configured."},
	{ReasonRateLimited, http.StatusTooManyRequests, "rate limit", "The workspace exceeded its rate limit; Retry-After says when the next request will be allowed."},
	{ReasonConcurrency, http.StatusTooManyRequests, "concurrency limit", "The workspace already runs its maximum number of concurrent requests."},
	{ReasonQueueFull, http.StatusServiceUnavailable, "queue full", "The bounded queue of the model is full."},
	{ReasonMemory, http.StatusServiceUnavailable, "memory used up", "The memory that the instance may hold for callers is used up, by requests that run or by bodies that arrive; see docs/operations/path.md."},
	{ReasonDeadline, http.StatusServiceUnavailable, "deadline unreachable", "The predicted wait exceeds the deadline, so the request was refused immediately."},
	{ReasonExpired, http.StatusGatewayTimeout, "deadline passed", "The deadline passed before the response was complete."},
	{ReasonNoEndpoint, http.StatusServiceUnavailable, "no endpoint", "No live endpoint serves the model or service."},
	{ReasonStopping, http.StatusServiceUnavailable, "instance stopping", "The instance is shutting down; retry at another instance."},
	{ReasonStarting, http.StatusServiceUnavailable, "instance starting", "The instance has not yet received a configuration from the platform, a peer or the fallback file (setting configuration.floor)."},
	{ReasonClaimOpen, http.StatusConflict, "key in use", "An earlier request with the same idempotency key has no recorded outcome yet."},
	{ReasonClaimMismatch, http.StatusUnprocessableEntity, "key reused", "The idempotency key was already used with a different request."},
	{ReasonAnswerNotStored, http.StatusConflict, "answer not kept", "An earlier request with the same idempotency key ran and was answered; its response was not stored because it exceeded claim.record_bytes."},
	{ReasonNoPlatform, http.StatusServiceUnavailable, "platform unavailable", "The claim (the record of the idempotency key) of a request that must run at most once could not be stored, so the request was not run."},
	{ReasonConnect, http.StatusBadGateway, "connect failed", "The connection to the endpoint could not be established."},
	{ReasonBroken, http.StatusBadGateway, "connection broken", "The connection to the endpoint was lost before the response was complete."},
	{ReasonAnswerMismatch, http.StatusBadGateway, "answer mismatch", "The response belonged to another attempt and was discarded."},
	{ReasonIncomplete, http.StatusBadGateway, "stream incomplete", "The stream ended early and could not be resumed."},
	{ReasonEndpointError, http.StatusBadGateway, "endpoint error", "The endpoint returned an error."},
	{ReasonQuarantined, http.StatusServiceUnavailable, "part quarantined", "Engines crashed on requests that have a part of the prompt in common, so requests with that part are not sent to engines for some time."},
	{ReasonRequestQuarantined, http.StatusServiceUnavailable, "request quarantined", "Engines crashed on this request, which was repeated with the same path, caller and body, so it is not sent to engines for some time."},
	{ReasonNotResumable, http.StatusServiceUnavailable, "stream not resumable", "The software version that began the stream has no endpoints left, or is not known, and no other version can go on with it. The caller has to begin anew."},
	{ReasonCanceled, 499, "canceled", "The caller disconnected before the response was complete."},
	{ReasonInternal, http.StatusInternalServerError, "internal error", "An error in the router; its log contains the cause."},
}

// Info returns the entry of r in Reasons, or one for ReasonInternal if r has none.
func (r Reason) Info() ReasonInfo {
	for _, info := range Reasons {
		if info.Reason == r {
			return info
		}
	}
	return ReasonInfo{ReasonInternal, http.StatusInternalServerError, "internal error", "The reason is not in the table."}
}

// Refusal is the error of a request that was refused or failed. Every error
// reported to a caller is a Refusal.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Detail is reported to the caller after the reason's title. It may be empty.
	Detail string
	// RetryAfter is the time after which the caller should retry, 0 if waiting does
	// not help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s", r.Outcome, r.Reason.Info().Title)
	}
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason.Info().Title, r.Detail)
}

// AsRefusal returns the Refusal in err's chain. Without one it returns a Refusal
// for an internal error with OutcomeUnknown, since the request may have run.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Outcome: OutcomeUnknown, Reason: ReasonInternal, Detail: err.Error()}
}

// BadRequest returns a Refusal of a request that can't be decoded.
func BadRequest(err error) *Refusal { return NotRun(ReasonBadRequest, err.Error(), 0) }

// NotRun returns a Refusal of a request that certainly did not run.
func NotRun(reason Reason, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}
