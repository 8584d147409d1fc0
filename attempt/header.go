package attempt

import (
	"net/http"
	"strconv"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
)

// The headers of docs/protocols.md between router and endpoints.
const (
	headerAttempt     = "X-Attempt-Id"
	headerIncarnation = "X-Incarnation"
	headerWeights     = "X-Weights-Version"
	headerResume      = "X-Resume-Window"
	headerKey         = "Idempotency-Key"
)

// requestHeader returns the headers of the request to the endpoint.
func (r *run) requestHeader() http.Header {
	h := caller.EndToEnd(r.Request.Header)
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

// answerHeader returns the headers of the answer to the caller.
func answerHeader(from http.Header) http.Header {
	h := caller.EndToEnd(from)
	for _, name := range []string{headerAttempt, headerIncarnation, headerWeights} {
		h.Del(name)
	}
	return h
}

// identify reads what the endpoint says of itself and applies rule 4.
func (r *run) identify(res *http.Response) *hbs.Refusal {
	h := res.Header
	r.result.Incarnation = hbs.Incarnation(h.Get(headerIncarnation))
	r.result.Weights = hbs.WeightsVersion(h.Get(headerWeights))
	if !r.own(h) {
		return crossed("the answer names attempt " + strconv.Quote(h.Get(headerAttempt)))
	}
	if w := r.result.Weights; r.engine() && res.StatusCode < 400 && w != "" && r.weights() != "" && w != r.weights() {
		return crossed("the answer was made with weights " + strconv.Quote(string(w)))
	}
	return nil
}

// own reports whether the answer names this attempt. An endpoint that echoes
// attempts must; any other may.
func (r *run) own(h http.Header) bool {
	id := h.Get(headerAttempt)
	if id == "" {
		return !r.Placement.Endpoint.Capabilities.EchoesAttempt
	}
	return id == string(r.Placement.Attempt)
}

func crossed(detail string) *hbs.Refusal {
	return &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCrossed, Detail: detail}
}
