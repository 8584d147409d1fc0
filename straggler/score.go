// Package straggler finds endpoints that are slower than they should be.
//
// The rules:
//
//  1. An observation is the ratio of a measured time to the time predicted for
//     that very request, so a long prompt is no sign of slowness. A constant is
//     added to both, since short times are mostly noise.
//  2. An attempt whose first token is overdue is evidence before it ends: it
//     counts with the time that has passed. Peers tell each other their
//     evidence, for one instance alone meets each of many endpoints too seldom to
//     judge it in time.
//  3. An endpoint is judged against the median of the model's endpoints. When
//     all are slow, none is a straggler.
//  4. A slow endpoint's predicted times are multiplied by its ratio, which
//     gives it less work. Beyond EjectRatio it gets one probe at a time only;
//     at most a third of the endpoints at once, the slowest first.
//  5. Evidence fades, so that an endpoint without work is tried again.
//  6. The pace of running streams is evidence too. It changes as soon as the
//     endpoint does, both ways, so it replaces what was seen before.
package straggler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EjectRatio is the slowness beyond which an endpoint gets only probes.
const EjectRatio = 3

const (
	// slack is added to both times of an observation.
	slack = 150 * time.Millisecond
	// prior is the weight of the assumption that an endpoint is as fast as
	// predicted, in observations.
	prior = 4
	// overdueWeight is what an overdue attempt counts for with peers, in
	// observations.
	overdueWeight = 2
	// paceShare is the part of the evidence that one observation of the pace
	// replaces, paceWeight what it counts for when repeated, in observations.
	paceShare  = 0.5
	paceWeight = 6
	// fadeHalfLife is how fast evidence fades.
	fadeHalfLife = 3 * time.Second
	// maxRatio bounds one observation.
	maxRatio = 10
	// tolerance is the slowness below which differences are taken for noise.
	tolerance = 1.4
	// ejectShare is the largest share of endpoints that are ejected.
	ejectShare = 3
)

// Evidence is a number of observations. That of several instances adds up.
type Evidence struct {
	// Sum is that of the logarithms of the ratios, Weight the number; both fade.
	Sum, Weight float64
}

func (e *Evidence) add(ratio, weight float64) {
	e.Sum += math.Log(ratio) * weight
	e.Weight += weight
}

// Score is the evidence on one endpoint. The zero value is that of an endpoint
// as fast as predicted.
type Score struct {
	// own is as of the time at, peers the last word of all peers together.
	own, peers Evidence
	at         time.Time
	// overdue is the ratio of the worst overdue attempt, 0 when there is none.
	overdue float64

	// slowness and ejected are the last judgement.
	slowness float64
	ejected  bool
}

// Slowness is how many times slower than predicted the endpoint is, at least 1.
func (s *Score) Slowness() float64 { return max(1, s.slowness) }

// Ejected tells whether the endpoint gets only probes.
func (s *Score) Ejected() bool { return s.ejected }

// Ratio compares a measured with a predicted time (rule 1).
func Ratio(measured, predicted time.Duration) float64 {
	r := float64(measured+slack) / float64(max(0, predicted)+slack)
	return min(max(r, 1.0/maxRatio), maxRatio)
}

// Observe takes the ratio of an attempt's time to the predicted one.
func (s *Score) Observe(ratio float64, now time.Time) {
	s.fade(now)
	s.own.add(ratio, 1)
}

// Pace takes the ratio of the time of a part of a running stream to the
// predicted one (rule 6). It replaces half of what was seen before.
func (s *Score) Pace(ratio float64, now time.Time) {
	s.fade(now)
	ratio = min(max(ratio, 1.0/maxRatio), maxRatio)
	s.own.Sum *= 1 - paceShare
	s.own.Weight *= 1 - paceShare
	s.own.add(ratio, paceShare*paceWeight)
}

// Own returns the own evidence, for peers (rule 2).
func (s *Score) Own(now time.Time) Evidence {
	s.fade(now)
	e := s.own
	if s.overdue > 0 {
		e.add(s.overdue, overdueWeight)
	}
	return e
}

// Peers sets the peers' evidence (rule 2).
func (s *Score) Peers(e Evidence) { s.peers = e }

// Overdue tells the ratio of the attempt that is overdue the most, 0 when none
// is (rule 2).
func (s *Score) Overdue(ratio float64) { s.overdue = ratio }

func (s *Score) fade(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		keep := math.Exp2(-d.Seconds() / fadeHalfLife.Seconds())
		s.own.Sum *= keep
		s.own.Weight *= keep
		s.at = now
	}
}

func (s *Score) ratio(now time.Time) float64 {
	s.fade(now)
	log := (s.own.Sum + s.peers.Sum) / (s.own.Weight + s.peers.Weight + prior)
	return max(math.Exp(log), s.overdue)
}

// Judge sets the judgement of all scores of one model's endpoints (rules 3 and
// 4).
func Judge(scores []*Score, now time.Time) {
	ratios := make([]float64, len(scores))
	for i, s := range scores {
		ratios[i] = s.ratio(now)
	}
	middle := max(1, median(ratios))
	for i, s := range scores {
		s.slowness = ratios[i] / middle
		if s.slowness < tolerance {
			s.slowness = 1
		}
		s.ejected = false
	}
	slowest := slices.SortedFunc(slices.Values(scores), func(a, b *Score) int {
		return cmp.Compare(b.slowness, a.slowness)
	})
	for _, s := range slowest[:len(scores)/ejectShare] {
		s.ejected = s.slowness >= EjectRatio
	}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
