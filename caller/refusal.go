package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// errorBody is the OpenAI error format, extended by the outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string      `json:"message"`
	Type    string      `json:"type"`
	Code    hbs.Reason  `json:"code"`
	Outcome hbs.Outcome `json:"outcome"`
}

// ErrorJSON returns the error body for r.
func ErrorJSON(r *hbs.Refusal) []byte {
	info := r.Reason.Info()
	message := info.Title
	if r.Detail != "" {
		message += ": " + r.Detail
	}
	errorType := "server_error"
	if info.Status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	data, err := json.Marshal(errorBody{errorDetail{message, errorType, r.Reason, r.Outcome}})
	if err != nil {
		return []byte(`{"error": {"message": "internal error", "code": "internal", "outcome": "unknown"}}`)
	}
	return data
}

// WriteRefusal writes r as the whole response. Write errors are ignored, since they
// mean that the caller has disconnected.
func WriteRefusal(w http.ResponseWriter, r *hbs.Refusal) {
	_ = WriteRefusalStatus(w, r, r.Reason.Info().Status, retryAfterSeconds(r.RetryAfter))
}

// WriteRefusalStatus writes r as the whole response with the given status. The
// Retry-After header is set to retryAfter unless r.RetryAfter is 0.
func WriteRefusalStatus(w http.ResponseWriter, r *hbs.Refusal, status int, retryAfter string) error {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	_, err := w.Write(ErrorJSON(r))
	return err
}

// retryAfterSeconds rounds up, since a request that is retried too early is refused
// again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
