// Package belief estimates which prompt prefixes are cached on which endpoints.
//
// An entry, called a belief, states that the prefix with some key was last used
// on one generation of an endpoint's cache (rule 4) at some time. Beliefs are
// hints: a wrong one costs a recomputation, but never a wrong response, since
// engines check the cache salt themselves.
//
// The table follows these rules.
//
//  1. It is a set-associative cache of fixed size: 8 bytes per entry, in sets of
//     32, so that the most popular prefix can be recorded for 32 endpoints. All
//     memory is allocated when the table is created, and contains no pointers for
//     the garbage collector to scan.
//  2. An entry holds a 30-bit fingerprint of the key (the bits that don't
//     select the set), the generation and the time of last use. Keys that agree
//     in the set and the fingerprint are confused with each other; with a
//     million entries that happens in one lookup in thirty million.
//  3. A new belief replaces the entry of the same key and generation. If there
//     is none, it takes an empty entry, or else the least recently used one of
//     the set.
//  4. A generation is one incarnation of an endpoint with one version of
//     weights, until its cache is cleared. A restart, new weights or a cleared
//     cache begin a new generation with another number, so that no entry of the
//     previous one is found again. The number of an ended generation is reused
//     only after a sweep has removed all entries with that number.
package belief

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Generation numbers the generations of endpoints in a table (rule 4). 0 means
// none.
type Generation uint16

// Tick is the time since the creation of a table, in units of TickLength.
type Tick uint32

// TickLength is the resolution of the time of last use.
const TickLength = 125 * time.Millisecond

// EntryBytes is the size of one entry.
const EntryBytes = 8

const (
	// ways is the number of entries of a set.
	ways = 32
	// An entry consists of the fingerprint, the generation and the tick, from the
	// highest bit to the lowest.
	generationBits = 14
	tickBits       = 20
	generationMask = 1<<generationBits - 1
	tickMask       = 1<<tickBits - 1
	// maxIdle is the idle time above which a sweep removes an entry. It is far
	// below the 36 hours after which ticks wrap around.
	maxIdle = Tick(time.Hour / TickLength)
)

// MaxGenerations is the number of generations that a table can distinguish.
const MaxGenerations = generationMask

// Entry is a generation that is believed to have a prefix cached.
type Entry struct {
	Generation Generation
	// Idle is the time since the last use.
	Idle time.Duration
}

// Table is a set-associative table of beliefs. It is not safe for concurrent use.
type Table struct {
	entries []uint64
	// mask is the number of sets, a power of two, minus one.
	mask  uint64
	start time.Time
}

// NewTable returns a table with a capacity of at least n entries.
func NewTable(n int, now time.Time) *Table {
	sets := uint64(1)
	for sets*ways < uint64(n) {
		sets *= 2
	}
	return &Table{entries: make([]uint64, sets*ways), mask: sets - 1, start: now}
}

// Bytes returns the size of all entries.
func (t *Table) Bytes() int { return len(t.entries) * EntryBytes }

// Put records that key was used on generation at the given time (rule 3). It does
// nothing for generation 0.
func (t *Table) Put(key hbs.LevelKey, generation Generation, at time.Time) {
	if generation == 0 {
		return
	}
	set, fingerprint := t.locate(key)
	tick := t.tick(at)
	victim, worst := 0, Tick(0)
	for i, e := range set {
		if e>>tickBits == fingerprint<<generationBits|uint64(generation) {
			set[i] = pack(fingerprint, generation, tick)
			return
		}
		if idle := idleTicks(e, tick); idle > worst {
			victim, worst = i, idle
		}
	}
	set[victim] = pack(fingerprint, generation, tick)
}

// Drop deletes the entry for key on generation.
func (t *Table) Drop(key hbs.LevelKey, generation Generation) {
	set, fingerprint := t.locate(key)
	for i, e := range set {
		if e>>tickBits == fingerprint<<generationBits|uint64(generation) {
			set[i] = 0
		}
	}
}

// Find appends the generations that have an entry for key to found.
func (t *Table) Find(key hbs.LevelKey, now time.Time, found []Entry) []Entry {
	set, fingerprint := t.locate(key)
	tick := t.tick(now)
	for _, e := range set {
		if e == 0 || e>>(tickBits+generationBits) != fingerprint {
			continue
		}
		idle := time.Duration((tick-Tick(e))&tickMask) * TickLength
		found = append(found, Entry{Generation: Generation(e >> tickBits & generationMask), Idle: idle})
	}
	return found
}

// Sweep removes the entries of generations for which ended returns true and the
// entries unused for more than an hour. It returns the number of remaining
// entries.
func (t *Table) Sweep(now time.Time, ended func(Generation) bool) (remaining int) {
	tick := t.tick(now)
	for i, e := range t.entries {
		if e == 0 {
			continue
		}
		if idleTicks(e, tick) > maxIdle || ended(Generation(e>>tickBits&generationMask)) {
			t.entries[i] = 0
			continue
		}
		remaining++
	}
	return remaining
}

// locate returns the set and the fingerprint of key.
func (t *Table) locate(key hbs.LevelKey) (set []uint64, fingerprint uint64) {
	i := uint64(key) & t.mask * ways
	return t.entries[i : i+ways : i+ways], uint64(key) >> (generationBits + tickBits)
}

// tick converts at to ticks, which wrap around.
func (t *Table) tick(at time.Time) Tick {
	return Tick(max(0, at.Sub(t.start))/TickLength) & tickMask
}

// pack returns the encoded entry.
func pack(fingerprint uint64, generation Generation, tick Tick) uint64 {
	return fingerprint<<(generationBits+tickBits) | uint64(generation)<<tickBits | uint64(tick)
}

// idleTicks returns the idle time of entry e, by which entries are replaced. For
// an empty entry it is larger than any other.
func idleTicks(e uint64, now Tick) Tick {
	if e == 0 {
		return tickMask + 1
	}
	return (now - Tick(e)) & tickMask
}
