package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The headers of callers' requests and answers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Deadline"
	HeaderPriority       = "X-Priority"
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "X-Outcome"
	HeaderReason         = "X-Reason"
)

// MaxKeyBytes is the longest idempotency key, in bytes.
const MaxKeyBytes = 255

// MaxDeadline is the longest deadline that a caller may state.
const MaxDeadline = 24 * time.Hour

// Terms are what a request's headers ask for.
type Terms struct {
	// IdempotencyKey is at most MaxKeyBytes long; empty when none was sent.
	IdempotencyKey string
	// Deadline counts from the request's arrival; 0 when none was sent.
	Deadline time.Duration
	Priority hbs.Priority
}

// DecodeTerms reads the terms in h.
func DecodeTerms(h http.Header) (t Terms, err error) {
	defer func() { err = errors.Wrap(err, "request header") }()
	t = Terms{IdempotencyKey: h.Get(HeaderIdempotencyKey), Priority: hbs.PriorityNormal}
	if len(t.IdempotencyKey) > MaxKeyBytes {
		return Terms{}, errors.Newf("%s has %d bytes, want at most %d", HeaderIdempotencyKey, len(t.IdempotencyKey), MaxKeyBytes)
	}
	if t.Deadline, err = deadline(h.Get(HeaderDeadline)); err != nil {
		return Terms{}, err
	}
	switch p := hbs.Priority(h.Get(HeaderPriority)); p {
	case "":
	case hbs.PriorityHigh, hbs.PriorityNormal, hbs.PriorityLow:
		t.Priority = p
	default:
		return Terms{}, errors.Newf("%s is %q, want high, normal or low", HeaderPriority, p)
	}
	return t, nil
}

func deadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > MaxDeadline {
		return 0, errors.Newf("%s is %q, want a duration such as 2s up to %s", HeaderDeadline, text, MaxDeadline)
	}
	return d, nil
}

// BearerKey returns the key in the Authorization header, empty without one.
func BearerKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// hopHeaders are meant for one connection only (RFC 9110, section 7.6.1).
// Expect is among them: the router has the whole body already.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ownHeaders are meant for the router.
var ownHeaders = []string{
	"Authorization", "Accept-Encoding", "Content-Length", "Host",
	HeaderIdempotencyKey, HeaderDeadline, HeaderPriority, HeaderRequestID,
}

// EndToEnd returns a copy of h without the headers of one connection.
func EndToEnd(h http.Header) http.Header {
	kept := h.Clone()
	if kept == nil {
		kept = http.Header{}
	}
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// ForwardedHeader returns the headers of a request that an endpoint gets.
func ForwardedHeader(h http.Header) http.Header {
	kept := EndToEnd(h)
	for _, name := range ownHeaders {
		kept.Del(name)
	}
	return kept
}
