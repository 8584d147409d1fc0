package replay

import (
	"cmp"
	"slices"
)

// phaseKind is the state of the fleet in a phase.
type phaseKind string

const (
	// phaseWhole: no domain is cut off and the balancer's distribution is steady.
	phaseWhole phaseKind = "whole"
	// phaseCut: a domain is cut off.
	phaseCut phaseKind = "cut"
	// phaseRecovering: the time of recoveryGrace after a cut was healed or the
	// balancer's distribution changed.
	phaseRecovering phaseKind = "recovering"
)

// recoveryGrace is the length of a recovering phase, in seconds.
const recoveryGrace = 10.0

// phase is a part of the time in which a limit is set, in seconds from the start of
// the trace.
type phase struct {
	kind     phaseKind
	from, to float64
}

func (p phase) seconds() float64 { return p.to - p.from }

// contains reports whether the time at lies in the phase.
func (p phase) contains(at float64) bool { return at >= p.from && at < p.to }

// phases splits the time of a limit into phases, beginning when the limit must be
// in force at all instances.
func (r *Replay) phases(w workspaceLimit) (out []phase) {
	at := w.from + maxConfigDelay.Seconds()
	for _, p := range r.disturbances() {
		p.from, p.to = max(p.from, at), min(p.to, w.to)
		if p.to <= p.from {
			continue
		}
		if p.from > at {
			out = append(out, phase{phaseWhole, at, p.from})
		}
		out = append(out, p)
		at = p.to
	}
	if at < w.to {
		out = append(out, phase{phaseWhole, at, w.to})
	}
	return out
}

// disturbances returns the phases that are not whole, by start.
func (r *Replay) disturbances() (out []phase) {
	for _, f := range r.Faults {
		from, to := f.span(r.Trace.Header.Seconds)
		switch f.Kind {
		case FaultDomainCut:
			out = append(out, phase{phaseCut, from, to}, phase{phaseRecovering, to, to + recoveryGrace})
		case FaultEntryLopsided:
			out = append(out, phase{phaseRecovering, from, from + recoveryGrace}, phase{phaseRecovering, to, to + recoveryGrace})
		}
	}
	slices.SortStableFunc(out, func(a, b phase) int { return cmp.Compare(a.from, b.from) })
	return out
}
