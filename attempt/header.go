package attempt

import (
	"net/http"
	"strconv"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
)

// Headers between router and endpoints; docs/protocols.md describes them.
const (
	headerAttempt     = "X-Attempt-Id"
	headerIncarnation = "X-Incarnation"
	headerWeights     = "X-Weights-Version"
	headerResume      = "X-Resume-Window"
	headerKey         = "Idempotency-Key"
)

// requestHeader returns the header of the request to the endpoint.
func (r *run) requestHeader() http.Header {
	h := caller.EndToEndHeader(r.Request.Header)
	for _, name := range []string{"Content-Length", "Authorization", headerKey, headerWeights, headerResume, headerIncarnation} {
		h.Del(name)
	}
	h.Set(headerAttempt, string(r.Placement.Attempt))
	if r.engine() {
		r.engineHeader(h)
	}
	if r.Request.Class == hbs.ClassDeduplicated && r.Request.IdempotencyKey != "" {
		h.Set(headerKey, r.Request.IdempotencyKey)
	}
	return h
}

func (r *run) engineHeader(h http.Header) {
	h.Set("Content-Type", "application/json")
	h.Del("Accept-Encoding")
	if w := r.weights(); w != "" {
		h.Set(headerWeights, string(w))
	}
	if r.resumable() {
		window := r.Policy.Duration(KnobResumeWindow, r.scope())
		h.Set(headerResume, window.Round(time.Millisecond).String())
	}
}

// responseHeader returns the header of the response to the caller.
func responseHeader(from http.Header) http.Header {
	h := caller.EndToEndHeader(from)
	for _, name := range []string{headerAttempt, headerIncarnation, headerWeights} {
		h.Del(name)
	}
	return h
}

// checkIdentity records the incarnation and weights that the response names, and
// applies rule 4.
func (r *run) checkIdentity(res *http.Response) *hbs.Refusal {
	h := res.Header
	r.result.Incarnation = hbs.Incarnation(h.Get(headerIncarnation))
	r.result.Weights = hbs.WeightsVersion(h.Get(headerWeights))
	if !r.isThisAttempt(h) {
		return mismatch("the answer names attempt " + strconv.Quote(h.Get(headerAttempt)))
	}
	if w := r.result.Weights; r.engine() && res.StatusCode < 400 && w != "" && r.weights() != "" && w != r.weights() {
		return mismatch("the answer was made with weights " + strconv.Quote(string(w)))
	}
	return nil
}

// isThisAttempt reports whether the response names this attempt. The header may be
// missing unless the endpoint has the capability EchoesAttempt.
func (r *run) isThisAttempt(h http.Header) bool {
	id := h.Get(headerAttempt)
	if id == "" {
		return !r.Placement.Endpoint.Capabilities.EchoesAttempt
	}
	return id == string(r.Placement.Attempt)
}

func mismatch(detail string) *hbs.Refusal {
	return &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonAnswerMismatch, Detail: detail}
}
