// Package heat measures the demand for prompt prefixes and sizes the set of
// endpoints that serves each of them.
//
// A prompt is divided into levels, nested prefixes of growing length; see
// hbs.Level. The rules:
//
//  1. The demand for a level is the engine time that its requests need per
//     second: 2.0 keeps two engines busy. It is the sum of the local demand and the
//     demand that peers report; a peer's report expires if it is not renewed.
//  2. The computation of levels that were seen before is not counted. Otherwise a
//     prefix that is often recomputed would look hot and be spread over even more
//     endpoints.
//  3. Consecutive levels at which no prompts diverge have the same demand and form
//     a run. All levels of a run have the size of its first level. With a size for
//     each level, the noise of the demand would shrink the set now at one level of
//     the run, now at another, and every longer prefix would move to other
//     endpoints.
//  4. The size of a set is a power of two. It doubles until the demand for each
//     endpoint is at most GrowDemand. It is halved only when the demand for each
//     endpoint of the smaller set is below ShrinkDemand; the distance of the two
//     thresholds prevents flapping.
//  5. A level that was never seen has size 1. If the level above, the next shorter
//     prefix, is known only from peers, it is taken as part of that level's run
//     instead, since peers report only the first level of a run and not where it
//     ends.
package heat

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The thresholds of rule 4, in engines of demand for each endpoint of a set.
const (
	GrowDemand   = 1.2
	ShrinkDemand = 0.8
)

const (
	// halfLife is the half-life of the local demand.
	halfLife = 5 * time.Second
	// peerTTL is the age at which a peer's report expires.
	peerTTL = 5 * time.Second
	// minTracked is the local demand, in engines, below which a level without demand
	// from peers is removed.
	minTracked = 0.002
	// minReported is the smallest local demand, in engines, that is reported to peers.
	minReported = 0.01
	// minRunShare is the smallest share of the demand for the first level of a run
	// that its other levels have (rule 3).
	minRunShare = 0.8
	// maxPeerDemand limits the demand that a peer may report for one level, in
	// thousandths of an engine.
	maxPeerDemand = 10_000_000
)

// MaxKeys limits the number of tracked levels.
const MaxKeys = 32768

// Demand is one peer's demand for one level, as sent in its digest.
type Demand struct {
	Key hbs.LevelKey `cbor:"1,keyasint"`
	// Load is the sender's local demand in thousandths of an engine.
	Load uint32 `cbor:"2,keyasint"`
}

// Validate returns an error if d is more than an instance can have.
func (d Demand) Validate() error {
	if d.Load > maxPeerDemand {
		return errors.Newf("demand for %x is out of range", d.Key)
	}
	return nil
}

// levelState is the demand for one level and the size of its set.
type levelState struct {
	// local is this instance's demand at the time at, in engines.
	local float64
	at    time.Time
	// peerDemand is the demand that peers report, in thousandths of an engine; not
	// negative.
	peerDemand int64
	// size is the current size of the set; a power of two.
	size int
	// first marks the first level of a run.
	first bool
}

// Tracker tracks the demand of one instance and its peers, by level. It is not
// safe for concurrent use.
type Tracker struct {
	// GrowDemand replaces the constant GrowDemand and scales ShrinkDemand in proportion.
	// A lower value suits deployments where a copy of a prefix costs less than
	// waiting. 0 keeps the defaults.
	GrowDemand float64

	levels map[hbs.LevelKey]*levelState
	peers  map[hbs.InstanceID]peerDigest
}

// peerDigest is the latest digest of a peer.
type peerDigest struct {
	at     time.Time
	demand []Demand
}

// NewTracker returns a tracker without demand.
func NewTracker() *Tracker {
	return &Tracker{levels: map[hbs.LevelKey]*levelState{}, peers: map[hbs.InstanceID]peerDigest{}}
}

// Work is the engine time that a request needs.
type Work struct {
	// Decode is the time to decode the output, divided by the number of requests
	// that the engine decodes in one batch.
	Decode time.Duration
	// PerToken is the time to compute one prompt token, Prompt the number of prompt
	// tokens.
	PerToken time.Duration
	Prompt   int
}

// Record adds a request's engine time to the demand for each level of its prompt
// (rules 1 and 2). It returns that engine time in seconds.
func (t *Tracker) Record(levels []hbs.Level, w Work, now time.Time) float64 {
	unseen := w.Prompt
	if n := t.KnownLevels(levels); n > 0 {
		unseen -= levels[n-1].Tokens
	}
	work := w.Decode + time.Duration(max(0, unseen))*w.PerToken
	t.addDemand(levels, work.Seconds(), now)
	return work.Seconds()
}

// addDemand adds engine time, in seconds, to the demand for each level and marks
// the first levels of runs.
func (t *Tracker) addDemand(levels []hbs.Level, work float64, now time.Time) {
	// Scaled so that a steady demand converges to its engine time per second.
	increment := work * math.Ln2 / halfLife.Seconds()
	var run *levelState
	for i := range levels {
		s := t.levels[levels[i].Key]
		if s == nil {
			if len(t.levels) >= MaxKeys {
				return
			}
			s = &levelState{at: now, size: 1}
			t.levels[levels[i].Key] = s
		}
		s.decay(now)
		s.local += increment
		if s.first = !s.inRun(run); s.first {
			run = s
		}
	}
}

// KnownLevels returns the number of leading levels that are tracked.
func (t *Tracker) KnownLevels(levels []hbs.Level) int {
	for i := range levels {
		if t.levels[levels[i].Key] == nil {
			return i
		}
	}
	return len(levels)
}

// Sizes appends the size of the set of each level to sizes. The sizes never
// increase from one level to the next.
func (t *Tracker) Sizes(levels []hbs.Level, now time.Time, sizes []int) []int {
	var run *levelState
	size := math.MaxInt
	for i := range levels {
		s := t.levels[levels[i].Key]
		switch {
		case s == nil && (run == nil || run.local > 0):
			size = 1
		case s == nil:
			// Rule 5: the level gets the size of the one above.
		case !s.inRun(run):
			run = s
			size = min(size, s.resize(now, t.demandScale()))
		}
		sizes = append(sizes, size)
	}
	return sizes
}

// demandScale returns the factor by which demand is multiplied before it is
// compared with GrowDemand and ShrinkDemand; see Tracker.GrowDemand.
func (t *Tracker) demandScale() float64 {
	if t.GrowDemand > 0 {
		return GrowDemand / t.GrowDemand
	}
	return 1
}

// Load returns the demand for key in engines, including that of peers.
func (t *Tracker) Load(key hbs.LevelKey, now time.Time) float64 {
	s := t.levels[key]
	if s == nil {
		return 0
	}
	s.decay(now)
	return s.total()
}

// inRun reports whether s is part of the run that starts with first (rule 3).
func (s *levelState) inRun(first *levelState) bool {
	return first != nil && s.local >= minRunShare*first.local
}

// resize updates the size of the set by rule 4 and returns it.
func (s *levelState) resize(now time.Time, scale float64) int {
	s.decay(now)
	load := scale * s.total()
	for load > GrowDemand*float64(s.size) {
		s.size *= 2
	}
	for s.size > 1 && load < ShrinkDemand*float64(s.size)/2 {
		s.size /= 2
	}
	return s.size
}

// total returns the local and the peers' demand in engines.
func (s *levelState) total() float64 { return s.local + float64(s.peerDemand)/1000 }

// decay advances the local demand to now.
func (s *levelState) decay(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		s.local *= math.Exp2(-d.Seconds() / halfLife.Seconds())
		s.at = now
	}
}

// Digest returns the local demand for the first levels of at most n runs, the
// largest demand first.
func (t *Tracker) Digest(n int, now time.Time) []Demand {
	var list []Demand
	for key, s := range t.levels {
		if !s.first {
			continue
		}
		if s.decay(now); s.local >= minReported {
			list = append(list, Demand{Key: key, Load: uint32(s.local * 1000)})
		}
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(n, len(list))]
}

// SetPeer replaces the peer's previous digest by demand.
func (t *Tracker) SetPeer(from hbs.InstanceID, demand []Demand, now time.Time) {
	t.addPeerDemand(t.peers[from].demand, -1, now)
	t.addPeerDemand(demand, 1, now)
	t.peers[from] = peerDigest{at: now, demand: demand}
}

// Expire removes expired peer digests and levels with little demand. It is
// called about once a second.
func (t *Tracker) Expire(now time.Time) {
	for id, d := range t.peers {
		if now.Sub(d.at) > peerTTL {
			t.addPeerDemand(d.demand, -1, now)
			delete(t.peers, id)
		}
	}
	for key, s := range t.levels {
		s.decay(now)
		if s.local < minTracked && s.peerDemand == 0 {
			delete(t.levels, key)
		}
	}
}

// addPeerDemand adds the demand of a peer's digest, or subtracts it if sign is
// -1. A level that MaxKeys excluded when the digest was added may be tracked
// when it is subtracted, so the sum is kept from going negative.
func (t *Tracker) addPeerDemand(demand []Demand, sign int64, now time.Time) {
	for _, d := range demand {
		s, known := t.levels[d.Key]
		if !known {
			if sign < 0 || len(t.levels) >= MaxKeys {
				continue
			}
			s = &levelState{at: now, size: 1, first: true}
			t.levels[d.Key] = s
		}
		s.peerDemand = max(0, s.peerDemand+sign*int64(d.Load))
	}
}
