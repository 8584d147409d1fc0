package dispatch

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/relay"
)

// retryAfterRefusal is told when engines refused to run a request.
const retryAfterRefusal = time.Second

// conclude gives the caller the final answer of a request.
func (s *serving) conclude(res *attempt.Result) (hbs.Outcome, error) {
	switch {
	case res.End == hbs.EndComplete:
		return hbs.OutcomeAnswered, nil
	case res.Refusal == nil:
		return hbs.OutcomeFailed, nil
	case res.Sent:
		return s.endStarted(res)
	case res.Held != nil && res.End == hbs.EndFailed:
		return s.passHeld(res.Held)
	}
	return s.refuse(s.overall(res.Refusal))
}

// overall applies rule 4 to the refusal of the last attempt.
func (s *serving) overall(r *hbs.Refusal) *hbs.Refusal {
	if r.Outcome != hbs.OutcomeNotRun {
		return r
	}
	all := *r
	if s.ran {
		all.Outcome = hbs.OutcomeUnknown
	}
	if all.Reason == hbs.ReasonNoEndpoint {
		all.RetryAfter = retryAfterRefusal
	}
	return &all
}

// endStarted applies rule 5.
func (s *serving) endStarted(res *attempt.Result) (hbs.Outcome, error) {
	r := res.Refusal
	if res.Events && r.Reason != hbs.ReasonCanceled {
		// An error of the sink means that the caller left; the refusal says
		// enough then.
		_ = s.sink.Write(relay.AppendEvent(nil, "error", string(caller.ErrorJSON(r))))
	}
	return r.Outcome, r
}

// passHeld passes an endpoint's own error answer on as it is.
func (s *serving) passHeld(h *attempt.Held) (hbs.Outcome, error) {
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
