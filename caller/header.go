package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Headers of callers' requests and of the responses to them.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Deadline"
	HeaderPriority       = "X-Priority"
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "X-Outcome"
	HeaderReason         = "X-Reason"
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// MaxDeadline is the longest deadline that a caller may set.
const MaxDeadline = 24 * time.Hour

// RequestOptions are the routing options in a request's headers.
type RequestOptions struct {
	// IdempotencyKey is at most MaxKeyBytes long; empty if none was sent.
	IdempotencyKey string
	// Deadline is relative to the request's arrival; 0 if none was sent.
	Deadline time.Duration
	Priority hbs.Priority
}

// DecodeOptions decodes and validates the request options in h.
func DecodeOptions(h http.Header) (o RequestOptions, err error) {
	defer func() { err = errors.Wrap(err, "request header") }()
	o = RequestOptions{IdempotencyKey: h.Get(HeaderIdempotencyKey), Priority: hbs.PriorityNormal}
	if len(o.IdempotencyKey) > MaxKeyBytes {
		return RequestOptions{}, errors.Newf("%s has %d bytes, want at most %d", HeaderIdempotencyKey, len(o.IdempotencyKey), MaxKeyBytes)
	}
	if o.Deadline, err = parseDeadline(h.Get(HeaderDeadline)); err != nil {
		return RequestOptions{}, err
	}
	switch p := hbs.Priority(h.Get(HeaderPriority)); p {
	case "":
	case hbs.PriorityHigh, hbs.PriorityNormal, hbs.PriorityLow:
		o.Priority = p
	default:
		return RequestOptions{}, errors.Newf("%s is %q, want high, normal or low", HeaderPriority, p)
	}
	return o, nil
}

func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > MaxDeadline {
		return 0, errors.Newf("%s is %q, want a duration such as 2s up to %s", HeaderDeadline, text, MaxDeadline)
	}
	return d, nil
}

// BearerKey returns the bearer token in the Authorization header, or "".
func BearerKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// IsEvents reports whether a response with header h is a stream of server-sent
// events.
func IsEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1). Expect is
// included because the router has already read the whole body.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// routerHeaders are consumed or set by the router and not forwarded.
var routerHeaders = []string{
	"Authorization", "Accept-Encoding", "Content-Length", "Host",
	HeaderIdempotencyKey, HeaderDeadline, HeaderPriority, HeaderRequestID,
}

// EndToEndHeader returns a copy of h without the hop-by-hop headers.
func EndToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// ForwardedHeader returns the headers of a request that are forwarded to an endpoint.
func ForwardedHeader(h http.Header) http.Header {
	out := EndToEndHeader(h)
	for _, name := range routerHeaders {
		out.Del(name)
	}
	return out
}
