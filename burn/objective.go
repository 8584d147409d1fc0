// Package burn measures how fast the error budget of each service-level objective
// (SLO) is consumed.
//
// The burn rate over a window is the share of bad requests in it divided by the
// share that the objective allows: at 1 the budget lasts exactly its period. An
// alarm requires a high burn rate over a long and a short window, which
// distinguishes an ongoing problem from one that is over (Beyer et al., The Site
// Reliability Workbook, chapter 5).
package burn

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// ObjectiveKind is the property of a request that an objective measures.
type ObjectiveKind string

// The kinds of objective.
const (
	// FirstToken: the time to the first token is at most Threshold.
	FirstToken ObjectiveKind = "first_token"
	// InterToken: the mean time between tokens is at most Threshold.
	InterToken ObjectiveKind = "inter_token"
	// Availability: the request was answered. Requests that failed because of the
	// caller are not counted.
	Availability ObjectiveKind = "availability"
	// CompleteAnswers: an answer of which a part was sent was completed.
	CompleteAnswers ObjectiveKind = "whole_answers"
)

// Objective is a service-level objective.
type Objective struct {
	Kind ObjectiveKind `json:"kind" toml:"kind"`
	// Workspace and Model select the requests to which the objective applies; empty
	// selects all.
	Workspace hbs.WorkspaceID `json:"workspace,omitempty" toml:"workspace"`
	Model     hbs.ModelName   `json:"model,omitempty" toml:"model"`
	// Threshold is positive for FirstToken and InterToken, 0 for the others.
	Threshold time.Duration `json:"threshold,omitempty" toml:"threshold"`
	// Target is the required share of good requests, between 0 and 1 exclusive.
	Target float64 `json:"target" toml:"target"`
}

// Validate returns an error for the first invalid field of o.
func (o *Objective) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "objective %q", o.Kind) }()
	inRange := o.Target > 0 && o.Target < 1
	if !inRange {
		return errors.Newf("target is %g, want between 0 and 1", o.Target)
	}
	switch o.Kind {
	case FirstToken, InterToken:
		if o.Threshold <= 0 {
			return errors.New("threshold is not positive")
		}
	case Availability, CompleteAnswers:
		if o.Threshold != 0 {
			return errors.New("threshold must be 0 for this kind")
		}
	default:
		return errors.New("unknown kind")
	}
	return nil
}

// Selects reports whether o applies to requests of workspace for model.
func (o *Objective) Selects(workspace hbs.WorkspaceID, model hbs.ModelName) bool {
	if o.Workspace != "" && o.Workspace != workspace {
		return false
	}
	return o.Model == "" || o.Model == model
}

// Sample is the outcome of one finished request, as far as objectives measure it.
type Sample struct {
	Workspace hbs.WorkspaceID
	Model     hbs.ModelName
	Outcome   hbs.Outcome
	// Reason is empty for answered requests.
	Reason hbs.Reason
	// FirstToken is the time to the first token, 0 without tokens. InterToken is the
	// mean time between tokens, 0 with fewer than two.
	FirstToken, InterToken time.Duration
	// Began reports whether a part of the answer was sent to the caller.
	Began bool
}

// classify reports whether o counts s and, if so, whether s is good.
func (o *Objective) classify(s *Sample) (counts, good bool) {
	switch o.Kind {
	case FirstToken:
		return s.FirstToken > 0, s.FirstToken <= o.Threshold
	case InterToken:
		return s.InterToken > 0, s.InterToken <= o.Threshold
	case Availability:
		return !callerFaults[s.Reason], s.Outcome == hbs.OutcomeAnswered
	case CompleteAnswers:
		counts = s.Began && s.Reason != hbs.ReasonCanceled
		return counts, s.Outcome == hbs.OutcomeAnswered
	}
	return false, false
}

// callerFaults are the refusal reasons that the caller is responsible for.
var callerFaults = map[hbs.Reason]bool{
	hbs.ReasonBadRequest:      true,
	hbs.ReasonHeaderTimeout:   true,
	hbs.ReasonTooLarge:        true,
	hbs.ReasonUnauthorized:    true,
	hbs.ReasonUnknownModel:    true,
	hbs.ReasonUnknownService:  true,
	hbs.ReasonRateLimited:     true,
	hbs.ReasonConcurrency:     true,
	hbs.ReasonClaimOpen:       true,
	hbs.ReasonClaimMismatch:   true,
	hbs.ReasonAnswerNotStored: true,
	hbs.ReasonCanceled:        true,
}
