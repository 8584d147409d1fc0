// Package belief keeps what is believed to be cached where.
//
// A belief says that the prefix with some key was last used on one life of an
// endpoint at some time. Beliefs are hints: a false one costs a recomputation,
// never a wrong answer, since engines check the cache salt themselves.
//
// The table follows these rules.
//
//  1. Its memory is fixed when it is made: 8 bytes for each entry, in sets of
//     32, so that the hottest prefix may be on 32 endpoints. Nothing is allocated later and the garbage
//     collector has nothing to scan.
//  2. An entry holds 30 bits of the key beyond those that choose its set, the
//     life and the time of last use. Two keys that agree in all of these bits
//     are taken for one another; with a million entries that is one lookup in
//     thirty million.
//  3. A new belief replaces the one of the same key and life, else an empty
//     entry, else the entry that was not used for the longest time.
//  4. A life is one incarnation of one endpoint with one version of weights. A
//     restart or new weights make a new life, so that no belief of the old one
//     is found again. Numbers of ended lives are used again only after a sweep
//     has removed every entry that names them.
package belief

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Life numbers one life of an endpoint in a table; 0 is none (rule 4).
type Life uint16

// Tick is a time since the start of a table, in units of TickLength.
type Tick uint32

// TickLength is the resolution of times of last use.
const TickLength = 125 * time.Millisecond

// EntryBytes is the memory of one entry.
const EntryBytes = 8

const (
	ways     = 32
	lifeBits = 14
	tickBits = 20
	lifeMask = 1<<lifeBits - 1
	tickMask = 1<<tickBits - 1
	// maxIdle is the age at which a sweep removes an entry; it is well below
	// the time after which ticks wrap.
	maxIdle = Tick(time.Hour / TickLength)
)

// MaxLives is the number of lives that a table tells apart.
const MaxLives = lifeMask

// Holder is one belief found for a key.
type Holder struct {
	Life Life
	// Idle is the time since the last use.
	Idle time.Duration
}

// Table is a set-associative table of beliefs. It is not safe for concurrent use.
type Table struct {
	entries []uint64
	// mask selects the set: a power of two, less one.
	mask  uint64
	start time.Time
}

// NewTable returns a table with room for at least n entries.
func NewTable(n int, now time.Time) *Table {
	sets := uint64(1)
	for sets*ways < uint64(n) {
		sets *= 2
	}
	return &Table{entries: make([]uint64, sets*ways), mask: sets - 1, start: now}
}

// Bytes returns the memory that the entries take.
func (t *Table) Bytes() int { return len(t.entries) * EntryBytes }

// Put records that key was used on life at the given time (rule 3). Nothing is
// recorded of life 0.
func (t *Table) Put(key hbs.LevelKey, life Life, at time.Time) {
	if life == 0 {
		return
	}
	set, print := t.locate(key)
	tick := t.tick(at)
	victim, worst := 0, Tick(0)
	for i, e := range set {
		if e>>tickBits == print<<lifeBits|uint64(life) {
			set[i] = pack(print, life, tick)
			return
		}
		if idle := idleness(e, tick); idle > worst {
			victim, worst = i, idle
		}
	}
	set[victim] = pack(print, life, tick)
}

// Drop forgets that key is cached on life.
func (t *Table) Drop(key hbs.LevelKey, life Life) {
	set, print := t.locate(key)
	for i, e := range set {
		if e>>tickBits == print<<lifeBits|uint64(life) {
			set[i] = 0
		}
	}
}

// Find appends the beliefs on key to found.
func (t *Table) Find(key hbs.LevelKey, now time.Time, found []Holder) []Holder {
	set, print := t.locate(key)
	tick := t.tick(now)
	for _, e := range set {
		if e == 0 || e>>(tickBits+lifeBits) != print {
			continue
		}
		idle := time.Duration((tick-Tick(e))&tickMask) * TickLength
		found = append(found, Holder{Life: Life(e >> tickBits & lifeMask), Idle: idle})
	}
	return found
}

// Sweep removes entries of lives for which ended is true and those that were
// not used for an hour. It returns the number that remain.
func (t *Table) Sweep(now time.Time, ended func(Life) bool) (kept int) {
	tick := t.tick(now)
	for i, e := range t.entries {
		if e == 0 {
			continue
		}
		if idleness(e, tick) > maxIdle || ended(Life(e>>tickBits&lifeMask)) {
			t.entries[i] = 0
			continue
		}
		kept++
	}
	return kept
}

// locate returns the set of key and the bits of key that its entries hold.
func (t *Table) locate(key hbs.LevelKey) (set []uint64, print uint64) {
	i := uint64(key) & t.mask * ways
	return t.entries[i : i+ways : i+ways], uint64(key) >> (lifeBits + tickBits)
}

func (t *Table) tick(at time.Time) Tick {
	return Tick(max(0, at.Sub(t.start))/TickLength) & tickMask
}

func pack(print uint64, life Life, tick Tick) uint64 {
	return print<<(lifeBits+tickBits) | uint64(life)<<tickBits | uint64(tick)
}

// idleness orders entries for replacement; empty ones come first.
func idleness(e uint64, now Tick) Tick {
	if e == 0 {
		return tickMask + 1
	}
	return (now - Tick(e)) & tickMask
}
