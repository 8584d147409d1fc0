package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/belief"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/load"
	"github.com/hornbeamstage/hornbeamstage/straggler"
)

// Pauses after failures of an endpoint.
const (
	minPause     = 250 * time.Millisecond
	maxPause     = 5 * time.Second
	refusalPause = 200 * time.Millisecond
	// brokenLimit is the number of failures in a row that pause an endpoint
	// which can be reached.
	brokenLimit = 3
)

// member is what is known of one endpoint.
type member struct {
	rec hbs.Endpoint
	// hash stands for the endpoint's id in rendezvous hashing and digests.
	hash uint64
	// rosterInc and rosterWeights are the roster's last word, to tell its news.
	rosterInc     hbs.Incarnation
	rosterWeights hbs.WeightsVersion

	identity belief.Identity
	life     belief.Life
	age      belief.Age
	// heard is when the endpoint's cache events were last known to be read up to
	// date by TakeHeard.
	heard  time.Time
	ledger load.Ledger
	score  straggler.Score
	// lastGap is that of any own stream on the endpoint.
	lastGap lastGap
	group   *group
	domain  *domain

	// failures counts failures in a row; no new work goes here before paused.
	balance  balance
	failures int
	paused   time.Time

	// The rest belongs to one decision; seen tells which.
	seen uint64

	// cached is the number of prompt tokens expected to be cached, found the
	// probability of the deepest level found so far.
	cached, found float64
	// believed is cached without the credit for what peers sent to its home.
	believed float64
	// held is the number of prompt tokens believed cached before anything is loaded.
	held float64
	// kept is how many tokens more the store of kept KV cache is expected to hold.
	kept float64
	// home is the length of the prefix whose set the endpoint is in.
	home int
	// ring tells how far outside the set the endpoint is; 0 is inside.
	ring int
	// weight is the rendezvous weight for the level being looked at.
	weight float64
	wait   float64
	// imported is the number of tokens that would be imported, importTime how
	// long that takes in seconds.
	imported, importTime float64
	first                float64
	cost                 float64
	full                 bool
}

// domain is what is known of one failure domain.
type domain struct {
	name hbs.DomainName
	hash uint64
	// lastUnreached and unreachedAt are the newest endpoint that could not be
	// reached and the time of it.
	lastUnreached *member
	unreachedAt   time.Time
	// paused is the time until which the domain counts as cut off.
	paused time.Time
	// staffed domains have a live instance.
	staffed bool
}

const (
	// cutWindow is the time within which two unreached endpoints of another
	// domain mean that it is cut off.
	cutWindow = 3 * time.Second
	// cutPause is how long a domain that is cut off is left alone.
	cutPause = 2 * time.Second
)

// heardTTL is how long beliefs need not fade after the events were read.
const heardTTL = 4 * time.Second

// chance returns the probability that a prefix unused for idle is still cached.
func (m *member) chance(idle time.Duration, now time.Time) float64 {
	if now.Sub(m.heard) < heardTTL {
		idle = 0
	}
	return m.age.Chance(idle, now)
}

func hashID[T ~string](id T) uint64 { return xxhash.Sum64String(string(id)) }

// succeeded tells that the endpoint answered.
func (m *member) succeeded() {
	m.failures = 0
	m.paused = time.Time{}
	m.domain.paused = time.Time{}
	m.domain.lastUnreached = nil
}

// unreached tells that no connection could be made.
func (m *member) unreached(now time.Time) {
	m.failures++
	m.paused = now.Add(delay.Doubled(minPause, maxPause, m.failures-1))
	d := m.domain
	if d.lastUnreached != nil && d.lastUnreached != m && now.Sub(d.unreachedAt) < cutWindow {
		d.paused = now.Add(cutPause)
	}
	d.lastUnreached, d.unreachedAt = m, now
}

// broke tells that an attempt failed after it was sent.
func (m *member) broke(now time.Time) {
	m.failures++
	if m.failures >= brokenLimit {
		m.paused = now.Add(delay.Doubled(minPause, maxPause, m.failures-brokenLimit))
	}
}

// refused tells that the endpoint did not want an attempt.
func (m *member) refused(now time.Time) {
	m.paused = now.Add(refusalPause)
}
