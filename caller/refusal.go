package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// errorBody is OpenAI's error form with the outcome added.
type errorBody struct {
	Error errorMember `json:"error"`
}

type errorMember struct {
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
	kind := "server_error"
	if info.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	data, err := json.Marshal(errorBody{errorMember{message, kind, r.Reason, r.Outcome}})
	if err != nil {
		return []byte(`{"error": {"message": "internal error", "code": "internal", "outcome": "unknown"}}`)
	}
	return data
}

// WriteRefusal writes r as the whole answer. An error of w is of no use to
// anyone: the caller is gone then.
func WriteRefusal(w http.ResponseWriter, r *hbs.Refusal) {
	_ = WriteRefusalAs(w, r, r.Reason.Info().Status, retrySeconds(r.RetryAfter))
}

// WriteRefusalAs writes r as the whole answer with a status and, unless
// RetryAfter is zero, a text for Retry-After.
func WriteRefusalAs(w http.ResponseWriter, r *hbs.Refusal, status int, retryAfter string) error {
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

// retrySeconds rounds up, since coming back early is refused again.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
