// Package heat follows the demand for prompt prefixes and sizes their sets of
// endpoints.
//
// The rules:
//
//  1. The demand for a level is the engine time that its requests need each
//     second: 2.0 keeps two engines busy. It is the own demand plus what peers
//     tell of theirs; a peer that falls silent is forgotten.
//  2. What a request computes of levels that were seen before is not counted. It
//     would make a prefix that is computed often look hot and spread it further.
//  3. Levels along which no prompts part have the same demand and form a run.
//     A run has one size, that of its first level. Otherwise the noise of the
//     demand would make sets narrow now at one level of the run, now at another,
//     and every prefix below would move.
//  4. The size of a set is the power of two that keeps the demand below FullLoad
//     for each endpoint. A set shrinks only when half of it would be loaded
//     below ShrinkLoad, so that it does not flap.
//  5. A level that was never seen has size 1, unless only peers have told of the
//     level above: then it is taken as a part of that run, since where the run
//     ends is not known here.
package heat

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The thresholds of rule 4, in engine time for each endpoint of a set.
const (
	FullLoad   = 1.2
	ShrinkLoad = 0.8
)

const (
	// halfLife is how fast demand is forgotten.
	halfLife = 5 * time.Second
	// peerTTL is how long a peer's word counts.
	peerTTL = 5 * time.Second
	// cold is the demand below which a level is forgotten.
	cold = 0.002
	// told is the own demand from which peers are told of it.
	told = 0.01
	// runShare is the share of a run's demand that a level of it has at least
	// (rule 3).
	runShare = 0.8
	// maxLoad bounds the demand that a peer may tell, in thousandths.
	maxLoad = 10_000_000
)

// MaxKeys bounds the followed levels.
const MaxKeys = 32768

// Demand is one level as peers tell it.
type Demand struct {
	Key hbs.LevelKey `cbor:"1,keyasint"`
	// Load is the own demand in thousandths of an engine.
	Load uint32 `cbor:"2,keyasint"`
}

// Validate reports a demand that no instance can have.
func (d Demand) Validate() error {
	if d.Load > maxLoad {
		return errors.Newf("demand for %x is out of range", d.Key)
	}
	return nil
}

type cell struct {
	// own is the demand at the time at.
	own float64
	at  time.Time
	// peers is the sum of the peers' demand in thousandths; not negative.
	peers int64
	// size is the present size of the set; a power of two.
	size int
	// first marks the first level of a run.
	first bool
}

// Map follows the demand of one instance and its peers. It is not safe for
// concurrent use.
type Map struct {
	// Full replaces FullLoad, and a share of it ShrinkLoad, where prefixes are
	// cheap to copy and waiting costs more; 0 leaves both.
	Full float64

	cells map[hbs.LevelKey]*cell
	told  map[hbs.InstanceID]word
}

type word struct {
	at     time.Time
	demand []Demand
}

// NewMap returns an empty map.
func NewMap() *Map {
	return &Map{cells: map[hbs.LevelKey]*cell{}, told: map[hbs.InstanceID]word{}}
}

// Work is the engine time that a request needs.
type Work struct {
	// Decode is its share of the batch while it decodes.
	Decode time.Duration
	// PerToken is the time to compute one token of the prompt, Prompt its length.
	PerToken time.Duration
	Prompt   int
}

// Use counts a request against the levels of its prompt (rules 1 and 2). It
// returns the engine time counted, in seconds.
func (m *Map) Use(levels []hbs.Level, w Work, now time.Time) float64 {
	rest := w.Prompt
	if n := m.Known(levels); n > 0 {
		rest -= levels[n-1].Tokens
	}
	work := w.Decode + time.Duration(max(0, rest))*w.PerToken
	m.count(levels, work.Seconds(), now)
	return work.Seconds()
}

func (m *Map) count(levels []hbs.Level, work float64, now time.Time) {
	rate := work * math.Ln2 / halfLife.Seconds()
	var run *cell
	for i := range levels {
		c := m.cells[levels[i].Key]
		if c == nil {
			if len(m.cells) >= MaxKeys {
				return
			}
			c = &cell{at: now, size: 1}
			m.cells[levels[i].Key] = c
		}
		c.decay(now)
		c.own += rate
		if c.first = !c.continues(run); c.first {
			run = c
		}
	}
}

// Known returns the number of levels that were seen before.
func (m *Map) Known(levels []hbs.Level) int {
	for i := range levels {
		if m.cells[levels[i].Key] == nil {
			return i
		}
	}
	return len(levels)
}

// Sizes appends to sizes the size of the set of each level. They don't grow
// along the levels.
func (m *Map) Sizes(levels []hbs.Level, now time.Time, sizes []int) []int {
	var run *cell
	size := math.MaxInt
	for i := range levels {
		c := m.cells[levels[i].Key]
		switch {
		case c == nil && (run == nil || run.own > 0):
			size = 1
		case c == nil:
			// Rule 5.
		case !c.continues(run):
			run = c
			size = min(size, c.resize(now, m.weight()))
		}
		sizes = append(sizes, size)
	}
	return sizes
}

// weight is what demand is multiplied with before it is compared with FullLoad
// and ShrinkLoad.
func (m *Map) weight() float64 {
	if m.Full > 0 {
		return FullLoad / m.Full
	}
	return 1
}

// Load returns the demand for key.
func (m *Map) Load(key hbs.LevelKey, now time.Time) float64 {
	c := m.cells[key]
	if c == nil {
		return 0
	}
	c.decay(now)
	return c.total()
}

// continues tells whether c is part of the run (rule 3).
func (c *cell) continues(run *cell) bool {
	return run != nil && c.own >= runShare*run.own
}

// resize applies rule 4.
func (c *cell) resize(now time.Time, weight float64) int {
	c.decay(now)
	load := weight * c.total()
	for load > FullLoad*float64(c.size) {
		c.size *= 2
	}
	for c.size > 1 && load < ShrinkLoad*float64(c.size)/2 {
		c.size /= 2
	}
	return c.size
}

// total returns the demand in engines.
func (c *cell) total() float64 { return c.own + float64(c.peers)/1000 }

func (c *cell) decay(now time.Time) {
	if d := now.Sub(c.at); d > 0 {
		c.own *= math.Exp2(-d.Seconds() / halfLife.Seconds())
		c.at = now
	}
}

// Digest returns the own demand for at most n runs, the largest first.
func (m *Map) Digest(n int, now time.Time) []Demand {
	var list []Demand
	for key, c := range m.cells {
		if !c.first {
			continue
		}
		if c.decay(now); c.own >= told {
			list = append(list, Demand{Key: key, Load: uint32(c.own * 1000)})
		}
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(n, len(list))]
}

// Absorb takes a peer's digest in place of its last one.
func (m *Map) Absorb(from hbs.InstanceID, demand []Demand, now time.Time) {
	m.add(m.told[from].demand, -1, now)
	m.add(demand, 1, now)
	m.told[from] = word{at: now, demand: demand}
}

// Tidy forgets cold levels and silent peers. It is called every second or so.
func (m *Map) Tidy(now time.Time) {
	for id, w := range m.told {
		if now.Sub(w.at) > peerTTL {
			m.add(w.demand, -1, now)
			delete(m.told, id)
		}
	}
	for key, c := range m.cells {
		c.decay(now)
		if c.own < cold && c.peers == 0 {
			delete(m.cells, key)
		}
	}
}

// add counts sign times the peer's demand. A key that had no room when it was
// added is not subtracted below zero.
func (m *Map) add(demand []Demand, sign int64, now time.Time) {
	for _, d := range demand {
		c, known := m.cells[d.Key]
		if !known {
			if sign < 0 || len(m.cells) >= MaxKeys {
				continue
			}
			c = &cell{at: now, size: 1, first: true}
			m.cells[d.Key] = c
		}
		c.peers = max(0, c.peers+sign*int64(d.Load))
	}
}
