package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/backpressure"
	"github.com/hornbeamstage/hornbeamstage/belief"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/load"
	"github.com/hornbeamstage/hornbeamstage/straggler"
)

// Pauses of an endpoint. The one after failed attempts doubles from minPause to
// maxPause.
const (
	minPause     = 250 * time.Millisecond
	maxPause     = 5 * time.Second
	refusalPause = 200 * time.Millisecond
	// failureLimit is the number of consecutive failed attempts after which a
	// reachable endpoint is paused.
	failureLimit = 3
)

// member holds the state of one endpoint.
type member struct {
	rec hbs.Endpoint
	// hash is the hash of the endpoint's ID, for rendezvous hashing and
	// digests.
	hash uint64
	// rosterIncarnation and rosterWeights are the values in the last roster. Only
	// values that changed since are passed to observe.
	rosterIncarnation hbs.Incarnation
	rosterWeights     hbs.WeightsVersion

	identity belief.Identity
	// generation numbers the current contents of the endpoint's cache (rule 3
	// of Placer). A restart, new weights and a cleared cache start a new one.
	generation belief.Generation
	// age estimates how long an unused prefix stays cached.
	age belief.EvictionAge
	// eventsRead is the time of the last call of MarkEventsRead.
	eventsRead time.Time
	ledger     load.Ledger
	score      straggler.Score
	// lastGap is the latest of all this instance's streams on the endpoint.
	lastGap lastGap
	group   *group
	domain  *domain

	balance balance
	// failures counts consecutive failures.
	failures int
	// paused is the time until which the endpoint gets no attempts.
	paused time.Time
	// pressure is what the endpoint's incarnation in rec asked for.
	pressure backpressure.State

	// The fields below are the state of one decision; decision is its number.
	decision uint64

	// believed is the number of prompt tokens expected in the endpoint's cache by
	// beliefs alone. probability is that of the longest level with a belief so far.
	believed, probability float64
	// cached is believed with what peers are likely to have cached there
	// (homeCredit) and what the endpoint would load. computeCost sets it.
	cached float64
	// inCache is believed where engines load from each other, else 0.
	inCache float64
	// fromStore is the number of further tokens that the shared KV cache store
	// is expected to have.
	fromStore float64
	// homeTokens is the length of the longest prefix whose home set contains
	// the endpoint.
	homeTokens int
	// tier is 0 in the home set of the whole prompt and grows with the distance
	// from it, up to outerTiers.
	tier int
	// rank is the rendezvous rank for the level that is being narrowed.
	rank float64
	// wait is the predicted time in seconds until the engine starts the prompt.
	wait float64
	// imported is the number of tokens expected to be loaded from the store or
	// another engine, importTime the time for it in seconds.
	imported, importTime float64
	// firstToken is the predicted time to the first token in seconds, cost the
	// cost of rule 4 of Placer, full whether the endpoint is at a limit.
	firstToken float64
	cost       float64
	full       bool
}

// domain holds the state of one failure domain.
type domain struct {
	name hbs.DomainName
	hash uint64
	// lastUnreachable is the endpoint that most recently could not be reached,
	// at the time unreachableAt.
	lastUnreachable *member
	unreachableAt   time.Time
	// paused is the time until which the domain is treated as partitioned off.
	paused time.Time
	// hasInstances reports whether a live instance is in the domain.
	hasInstances bool
	// own is set for the domain of this instance, which no partition separates it
	// from.
	own bool
}

const (
	// partitionWindow is the time within which two unreachable endpoints of a
	// domain mean that the domain is partitioned off.
	partitionWindow = 3 * time.Second
	// partitionPause is how long a domain that is partitioned off gets no
	// attempts.
	partitionPause = 2 * time.Second
)

// eventsReadTTL is how long after MarkEventsRead beliefs count as just used.
const eventsReadTTL = 4 * time.Second

// cachedProbability returns the probability that a prefix unused for idle is
// still cached.
func (m *member) cachedProbability(idle time.Duration, now time.Time) float64 {
	if now.Sub(m.eventsRead) < eventsReadTTL {
		idle = 0
	}
	return m.age.Probability(idle, now)
}

func hashID[T ~string](id T) uint64 { return xxhash.Sum64String(string(id)) }

// recordSuccess ends the pauses of the endpoint and of its domain.
func (m *member) recordSuccess() {
	m.failures = 0
	m.paused = time.Time{}
	m.domain.paused = time.Time{}
	m.domain.lastUnreachable = nil
}

// recordUnreachable pauses the endpoint after a failed connection, and its
// domain when another endpoint there failed shortly before.
func (m *member) recordUnreachable(now time.Time) {
	m.failures++
	m.paused = now.Add(delay.Backoff(minPause, maxPause, m.failures-1))
	d := m.domain
	if !d.own && d.lastUnreachable != nil && d.lastUnreachable != m && now.Sub(d.unreachableAt) < partitionWindow {
		d.paused = now.Add(partitionPause)
	}
	d.lastUnreachable, d.unreachableAt = m, now
}

// recordFailure counts an attempt that failed after it was sent and pauses the
// endpoint after failureLimit of them.
func (m *member) recordFailure(now time.Time) {
	m.failures++
	if m.failures >= failureLimit {
		m.paused = now.Add(delay.Backoff(minPause, maxPause, m.failures-failureLimit))
	}
}

// recordSilence counts an attempt that got nothing for the given time, until its
// deadline, as failed. The pause is at least that time, as another attempt may cost
// its caller as much.
func (m *member) recordSilence(waited time.Duration, now time.Time) {
	m.recordFailure(now)
	if m.failures >= failureLimit {
		m.paused = later(m.paused, now.Add(min(waited, maxPause)))
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordRefusal pauses the endpoint for a short time after it refused an
// attempt.
func (m *member) recordRefusal(now time.Time) {
	m.paused = now.Add(refusalPause)
}
