package replay

import (
	"cmp"
	"slices"
)

// phaseKind is the state of the fleet in a part of a limit's time.
type phaseKind string

const (
	// phaseWhole: all instances hear each other and the entry is steady.
	phaseWhole phaseKind = "whole"
	// phaseCut: a domain is cut off.
	phaseCut phaseKind = "cut"
	// phaseRecovering: up to recoveryGrace after a cut healed or the entry moved.
	phaseRecovering phaseKind = "recovering"
)

// recoveryGrace is the time, in seconds, that counts as recovery.
const recoveryGrace = 10.0

// phase is a part of a limit's time, in seconds from the start of the trace.
type phase struct {
	kind     phaseKind
	from, to float64
}

func (p phase) seconds() float64 { return p.to - p.from }

// holds reports whether the time at lies in the phase.
func (p phase) holds(at float64) bool { return at >= p.from && at < p.to }

// phases splits the time of a limit from when it is in force everywhere.
func (r *Replay) phases(set limitSet) (out []phase) {
	at := set.from + inForce.Seconds()
	for _, p := range r.disturbances() {
		p.from, p.to = max(p.from, at), min(p.to, set.to)
		if p.to <= p.from {
			continue
		}
		if p.from > at {
			out = append(out, phase{phaseWhole, at, p.from})
		}
		out = append(out, p)
		at = p.to
	}
	if at < set.to {
		out = append(out, phase{phaseWhole, at, set.to})
	}
	return out
}

// disturbances are the phases that are not whole, in order.
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
