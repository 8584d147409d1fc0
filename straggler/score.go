// Package straggler detects endpoints that are slower than predicted.
//
// The rules:
//
//  1. An observation is the ratio of a measured time to the time predicted for the
//     same request, so a long prompt doesn't count as slowness. A constant is
//     added to both times, since short times are dominated by noise.
//  2. An attempt whose first token is overdue counts as evidence before it ends,
//     with the time elapsed so far. Instances exchange their evidence, because
//     with many endpoints a single instance sends each of them too few requests
//     to detect slowness in time.
//  3. An endpoint is compared with the median of the model's endpoints. If all
//     are slow, none is a straggler.
//  4. The predicted times of a slow endpoint are multiplied by its slowness, so it
//     gets less work. From EjectRatio on it is ejected: it gets only one probe
//     request at a time. At most a third of the endpoints are ejected, the slowest
//     first.
//  5. Evidence decays, so that an endpoint without work is tried again.
//  6. The token rate of running streams is evidence too. It reflects a change of
//     the endpoint immediately, in both directions, so each such observation
//     replaces part of the earlier evidence.
package straggler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EjectRatio is the slowness from which an endpoint is ejected (rule 4).
const EjectRatio = 3

const (
	// ratioOffset is added to both times of an observation (rule 1).
	ratioOffset = 150 * time.Millisecond
	// priorWeight is the weight, in observations, of the prior assumption that an
	// endpoint is as fast as predicted.
	priorWeight = 4
	// overdueWeight is the weight, in observations, of an overdue attempt in the
	// evidence for peers.
	overdueWeight = 2
	// streamShare is the share of the evidence that one observation of a stream
	// replaces. streamWeight is the weight, in observations, to which the evidence
	// converges when such observations repeat.
	streamShare  = 0.5
	streamWeight = 6
	// evidenceHalfLife is the half-life of evidence (rule 5).
	evidenceHalfLife = 3 * time.Second
	// maxRatio and its inverse bound one observation.
	maxRatio = 10
	// noiseThreshold is the slowness below which a difference is ignored as noise.
	noiseThreshold = 1.4
	// At most one in ejectDivisor endpoints is ejected.
	ejectDivisor = 3
)

// Evidence is a weighted sum of observations. Evidence of several instances can be
// added.
type Evidence struct {
	// Sum is the weighted sum of the logarithms of the ratios, Weight the sum of
	// the weights. Both decay.
	Sum, Weight float64
}

// add adds an observation of the given weight.
func (e *Evidence) add(ratio, weight float64) {
	e.Sum += math.Log(ratio) * weight
	e.Weight += weight
}

// Score is the evidence about one endpoint and its current assessment. The zero
// value is for an endpoint that is as fast as predicted.
type Score struct {
	// local is the evidence of this instance, decayed up to updatedAt. peers is the
	// sum of the latest evidence reported by all peers.
	local, peers Evidence
	updatedAt    time.Time
	// overdue is the ratio of the most overdue attempt, or 0 if none is overdue.
	overdue float64

	// slowness and ejected are set by Evaluate.
	slowness float64
	ejected  bool
}

// Slowness returns how many times slower than predicted the endpoint is, relative
// to the other endpoints of the model and at least 1.
func (s *Score) Slowness() float64 { return max(1, s.slowness) }

// Ejected reports whether the endpoint gets only probes (rule 4).
func (s *Score) Ejected() bool { return s.ejected }

// Ratio returns the ratio of a measured to a predicted time, with the constant of
// rule 1 added to both.
func Ratio(measured, predicted time.Duration) float64 {
	r := float64(measured+ratioOffset) / float64(max(0, predicted)+ratioOffset)
	return min(max(r, 1.0/maxRatio), maxRatio)
}

// Observe records the ratio of an attempt's measured to its predicted time.
func (s *Score) Observe(ratio float64, now time.Time) {
	s.decay(now)
	s.local.add(ratio, 1)
}

// ObserveStream records the ratio of the measured to the predicted time of a
// part of a running stream (rule 6). It replaces half of the earlier evidence.
func (s *Score) ObserveStream(ratio float64, now time.Time) {
	s.decay(now)
	ratio = min(max(ratio, 1.0/maxRatio), maxRatio)
	s.local.Sum *= 1 - streamShare
	s.local.Weight *= 1 - streamShare
	s.local.add(ratio, streamShare*streamWeight)
}

// Local returns the evidence of this instance, to be sent to peers (rule 2).
func (s *Score) Local(now time.Time) Evidence {
	s.decay(now)
	e := s.local
	if s.overdue > 0 {
		e.add(s.overdue, overdueWeight)
	}
	return e
}

// SetPeers sets the sum of the peers' evidence (rule 2).
func (s *Score) SetPeers(e Evidence) { s.peers = e }

// SetOverdue sets the ratio of the most overdue attempt, or 0 if none is overdue
// (rule 2).
func (s *Score) SetOverdue(ratio float64) { s.overdue = ratio }

// decay applies the decay of the local evidence up to now (rule 5).
func (s *Score) decay(now time.Time) {
	if d := now.Sub(s.updatedAt); d > 0 {
		factor := math.Exp2(-d.Seconds() / evidenceHalfLife.Seconds())
		s.local.Sum *= factor
		s.local.Weight *= factor
		s.updatedAt = now
	}
}

// ratio returns the weighted geometric mean of the observations, including the
// prior, or the ratio of the most overdue attempt if that is higher.
func (s *Score) ratio(now time.Time) float64 {
	s.decay(now)
	log := (s.local.Sum + s.peers.Sum) / (s.local.Weight + s.peers.Weight + priorWeight)
	return max(math.Exp(log), s.overdue)
}

// Evaluate recomputes the slowness of all endpoints of one model and which of
// them are ejected (rules 3 and 4).
func Evaluate(scores []*Score, now time.Time) {
	ratios := make([]float64, len(scores))
	for i, s := range scores {
		ratios[i] = s.ratio(now)
	}
	baseline := max(1, median(ratios))
	for i, s := range scores {
		s.slowness = ratios[i] / baseline
		if s.slowness < noiseThreshold {
			s.slowness = 1
		}
		s.ejected = false
	}
	slowest := slices.SortedFunc(slices.Values(scores), func(a, b *Score) int {
		return cmp.Compare(b.slowness, a.slowness)
	})
	for _, s := range slowest[:len(scores)/ejectDivisor] {
		s.ejected = s.slowness >= EjectRatio
	}
}

// median returns the lower median, or 1 if there are no values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
