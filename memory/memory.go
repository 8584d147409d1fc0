// Package memory bounds the memory that a process holds for its clients, so that
// clients who don't behave can't exhaust the machine.
//
//  1. Whoever holds memory for a client reserves it in the process's Budget before,
//     and releases it on every way out.
//  2. A reservation is refused if the budget is used up, or the part of it that one
//     share may take. Nothing is queued: what can't be reserved is refused at once.
//  3. Before that, clients who hold memory and have long owed the rest of a request
//     lose it, those first who have owed it longest.
//  4. A reservation that would be alone in its share is bound by the budget only, so
//     that each request within the limits is served in calm.
package memory

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// ErrUsedUp is returned if a reservation doesn't fit in the budget.
var ErrUsedUp = errors.New("memory for clients is used up")

// Share names what memory is held for.
type Share string

// The shares of a budget.
const (
	// ShareConnections is for connections of callers, ShareOperators for those of
	// operators and of the platform, SharePeers for those of other instances and
	// SharePeerMessages for messages on them that are not complete.
	ShareConnections  Share = "connections"
	ShareOperators    Share = "operators"
	SharePeers        Share = "peers"
	SharePeerMessages Share = "peer_messages"
	// ShareHeaders is for request headers that are larger than usual.
	ShareHeaders Share = "headers"
	// ShareRequests is for requests that wait or run, without their bodies.
	ShareRequests Share = "requests"
	// ShareBodies is for the first SmallBody bytes of request bodies, ShareLargeBodies
	// for the rest, so that small requests don't wait for large ones.
	ShareBodies      Share = "bodies"
	ShareLargeBodies Share = "large_bodies"
	// ShareResponses is for responses that are held back.
	ShareResponses Share = "responses"
)

// SmallBody is the part of each body that ShareBodies is for, in bytes.
const SmallBody = 64 << 10

// fractions has the part of a budget that a share may take at most. Together they are
// more than 1: which share needs it differs from site to site.
var fractions = map[Share]float64{
	ShareConnections:  0.5,
	ShareOperators:    0.05,
	SharePeers:        0.2,
	SharePeerMessages: 0.2,
	ShareHeaders:      0.2,
	ShareRequests:     0.5,
	ShareBodies:       0.25,
	ShareLargeBodies:  0.3,
	ShareResponses:    0.25,
}

// releaseWait bounds the wait for a client that was told to release its memory.
const releaseWait = 100 * time.Millisecond

// Budget bounds the memory that is held for clients. A nil Budget bounds nothing.
type Budget struct {
	bytes int64
	// limits has the bytes that each share may take.
	limits map[Share]int64

	mu sync.Mutex
	// used is the sum of usedBy, which has what is reserved by share, in bytes.
	used   int64
	usedBy map[Share]int64
	// released is closed at the next release, if anybody waits for one.
	released   chan struct{}
	reclaimers []func() bool

	// refused counts refused reservations, reclaimed clients that were given up. logged is
	// when a refusal was logged last.
	refused, reclaimed metrics.Counter
	log                *zap.Logger
	logged             time.Time
}

// NewBudget returns a budget of some bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{
		bytes: bytes, limits: map[Share]int64{}, usedBy: map[Share]int64{},
		refused: metrics.NilCounter{}, reclaimed: metrics.NilCounter{}, log: zap.NewNop(),
	}
	for s, f := range fractions {
		b.limits[s] = int64(f * float64(bytes))
	}
	return b
}

// Limit lowers what a share may take to some bytes. It must be called before the first
// reservation.
func (b *Budget) Limit(s Share, bytes int64) {
	b.limits[s] = min(b.limits[s], bytes)
}

// AddReclaimer adds a function that tells a client to release its memory soon, and
// reports whether there was one. It must not reserve memory. AddReclaimer must be called
// before the first reservation.
func (b *Budget) AddReclaimer(reclaim func() bool) {
	if b != nil {
		b.reclaimers = append(b.reclaimers, reclaim)
	}
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Take reserves n bytes at once, and reports whether they are to be had. Nobody is told
// to release memory.
func (b *Budget) Take(s Share, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(s, n)
}

func (b *Budget) take(s Share, n int64) bool {
	if n == 0 {
		return true
	}
	if b.used+n > b.bytes || b.usedBy[s] > 0 && b.usedBy[s]+n > b.limits[s] {
		return false
	}
	b.used += n
	b.usedBy[s] += n
	return true
}

// Reserve reserves n bytes like Take. If they aren't to be had, clients are told to
// release memory (rule 3).
func (b *Budget) Reserve(s Share, n int64) error {
	if b.Take(s, n) {
		return nil
	}
	for b.reclaim() {
		released := b.nextRelease()
		if b.Take(s, n) {
			return nil
		}
		timer := time.NewTimer(releaseWait)
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
		if b.Take(s, n) {
			return nil
		}
	}
	b.refuse(s, n)
	return ErrUsedUp
}

// reclaim tells one client to release its memory, and reports whether there was one.
func (b *Budget) reclaim() bool {
	for _, f := range b.reclaimers {
		if f() {
			return true
		}
	}
	return false
}

// nextRelease returns a channel that is closed at the next release.
func (b *Budget) nextRelease() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// Release returns n reserved bytes.
func (b *Budget) Release(s Share, n int64) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.usedBy[s] -= n
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}
