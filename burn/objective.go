// Package burn measures how fast the error budget of each service-level
// objective is used up.
//
// The burn rate over a window is the share of bad requests in it divided by
// the share that the objective allows: at 1 the budget lasts exactly its
// period. Two windows together tell a lasting problem from a passing one
// (Beyer et al., The Site Reliability Workbook, chapter 5): an alarm needs a
// high rate over the long window and over the short one.
package burn

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// ObjectiveKind is what an objective measures.
type ObjectiveKind string

// The kinds of objective.
const (
	// FirstToken: the first token within Threshold.
	FirstToken ObjectiveKind = "first_token"
	// InterToken: the mean time between tokens within Threshold.
	InterToken ObjectiveKind = "inter_token"
	// Availability: not refused for a reason on the router's side.
	Availability ObjectiveKind = "availability"
	// WholeAnswers: an answer that began was delivered whole.
	WholeAnswers ObjectiveKind = "whole_answers"
)

// Objective is one service-level objective.
type Objective struct {
	Kind ObjectiveKind `json:"kind" toml:"kind"`
	// Workspace and Model select requests; empty selects all.
	Workspace hbs.WorkspaceID `json:"workspace,omitempty" toml:"workspace"`
	Model     hbs.ModelName   `json:"model,omitempty" toml:"model"`
	// Threshold is positive for FirstToken and InterToken, 0 for the others.
	Threshold time.Duration `json:"threshold,omitempty" toml:"threshold"`
	// Target is the share of good requests, between 0 and 1 exclusive.
	Target float64 `json:"target" toml:"target"`
}

// Validate reports the first invariant that o breaks.
func (o *Objective) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "objective %q", o.Kind) }()
	inside := o.Target > 0 && o.Target < 1
	if !inside {
		return errors.Newf("target is %g, want between 0 and 1", o.Target)
	}
	switch o.Kind {
	case FirstToken, InterToken:
		if o.Threshold <= 0 {
			return errors.New("threshold is not positive")
		}
	case Availability, WholeAnswers:
		if o.Threshold != 0 {
			return errors.New("threshold has no meaning here")
		}
	default:
		return errors.New("kind is not known")
	}
	return nil
}

// Selects reports whether o covers requests of workspace for model.
func (o *Objective) Selects(workspace hbs.WorkspaceID, model hbs.ModelName) bool {
	if o.Workspace != "" && o.Workspace != workspace {
		return false
	}
	return o.Model == "" || o.Model == model
}

// Sample is what one finished request contributes.
type Sample struct {
	Workspace hbs.WorkspaceID
	Model     hbs.ModelName
	Outcome   hbs.Outcome
	// Reason is empty for answered requests.
	Reason hbs.Reason
	// FirstToken is 0 when no token came, InterToken 0 with fewer than two.
	FirstToken, InterToken time.Duration
	// Began tells that a part of the answer reached the caller.
	Began bool
}

// judge tells whether s counts under o and, if so, whether it is good.
func (o *Objective) judge(s *Sample) (counts, good bool) {
	switch o.Kind {
	case FirstToken:
		return s.FirstToken > 0, s.FirstToken <= o.Threshold
	case InterToken:
		return s.InterToken > 0, s.InterToken <= o.Threshold
	case Availability:
		return !callersOwn[s.Reason], s.Outcome == hbs.OutcomeAnswered
	case WholeAnswers:
		counts = s.Began && s.Reason != hbs.ReasonCanceled
		return counts, s.Outcome == hbs.OutcomeAnswered
	}
	return false, false
}

// callersOwn are the reasons that the caller itself causes.
var callersOwn = map[hbs.Reason]bool{
	hbs.ReasonBadRequest:     true,
	hbs.ReasonHeaderTimeout:  true,
	hbs.ReasonTooLarge:       true,
	hbs.ReasonUnauthorized:   true,
	hbs.ReasonUnknownModel:   true,
	hbs.ReasonUnknownService: true,
	hbs.ReasonRateLimited:    true,
	hbs.ReasonConcurrency:    true,
	hbs.ReasonClaimOpen:      true,
	hbs.ReasonClaimMismatch:  true,
	hbs.ReasonNotKept:        true,
	hbs.ReasonCanceled:       true,
}
