package dispatch

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/relay"
)

// refusedRetryAfter is the time after which the caller may retry a request that
// engines refused to run.
const refusedRetryAfter = time.Second

// conclude ends the request with the last attempt's result.
func (s *requestState) conclude(res *attempt.Result) (hbs.Outcome, error) {
	switch {
	case res.End == hbs.EndComplete:
		return hbs.OutcomeAnswered, nil
	case res.Refusal == nil:
		return hbs.OutcomeFailed, nil
	case res.Started:
		return s.abortStarted(res)
	case res.BufferedError != nil && res.End == hbs.EndFailed:
		return s.forwardBufferedError(res.BufferedError)
	}
	return s.refuse(s.finalRefusal(res.Refusal))
}

// finalRefusal applies rule 4 to the refusal of the last attempt.
func (s *requestState) finalRefusal(r *hbs.Refusal) *hbs.Refusal {
	if r.Outcome != hbs.OutcomeNotRun {
		return r
	}
	all := *r
	if s.mayHaveRun {
		all.Outcome = hbs.OutcomeUnknown
	}
	if all.Reason == hbs.ReasonNoEndpoint {
		all.RetryAfter = refusedRetryAfter
	}
	return &all
}

// abortStarted ends a response that was started but not completed (rule 5).
func (s *requestState) abortStarted(res *attempt.Result) (hbs.Outcome, error) {
	r := s.finalRefusal(res.Refusal)
	if res.EventStream && r.Reason != hbs.ReasonCanceled {
		// A write error means that the caller has disconnected, and the returned
		// refusal is then sufficient.
		_ = s.sink.Write(relay.AppendEvent(nil, "error", string(caller.ErrorJSON(r))))
	}
	return r.Outcome, r
}

// forwardBufferedError passes an endpoint's error response on unchanged.
func (s *requestState) forwardBufferedError(h *attempt.ErrorResponse) (hbs.Outcome, error) {
	h.Header.Set("X-Outcome", string(hbs.OutcomeFailed))
	h.Header.Set("X-Reason", string(hbs.ReasonEndpointError))
	err := s.sink.Start(h.Status, h.Header)
	if err == nil && len(h.Body) > 0 {
		err = s.sink.Write(h.Body)
	}
	if err != nil {
		return s.refuse(&hbs.Refusal{Outcome: hbs.OutcomeFailed, Reason: hbs.ReasonCanceled})
	}
	return hbs.OutcomeFailed, nil
}
