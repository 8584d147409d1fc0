package gateway

import (
	"sync"
	"time"
)

// contactGap is the longest time between two confirmations of a watch that is in contact
// with the store.
const contactGap = watchWait + unreachableMargin

// contact tells for how long one watch has been in contact with the store.
//
// A restart and a suspension of the machine say nothing of the store: limits on time go
// on meanwhile, and only don't bind the instance until it has been in contact for
// StableTime. After an outage they start anew. A failed call alone ends no contact: the
// store may cut off a watch that waits.
type contact struct {
	// StableTime is how long contact must have lasted before it counts.
	StableTime time.Duration
	// Suspended returns the total time for which the machine has been suspended.
	Suspended func() time.Duration

	mu sync.Mutex
	// confirmed is when the watch was last confirmed to be up to date, since when that
	// began. Both are zero before the first time; confirmed is zero after an outage, too.
	confirmed moment
	since     time.Time
	// regained is the end of the last outage, zero if there was none.
	regained moment
}

// confirm records that the watch is up to date.
func (c *contact) confirm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := moment{time.Now(), c.Suspended()}
	if !c.lasts() {
		c.since = now.at
	}
	c.confirmed = now
}

// regain records the end of an outage.
func (c *contact) regain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.regained, c.confirmed = moment{time.Now(), c.Suspended()}, moment{}
}

// stable reports whether the watch has been in contact for StableTime. regained is when the
// last outage ended, zero if there was none.
func (c *contact) stable() (regained moment, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.regained, c.lasts() && time.Since(c.since) >= c.StableTime
}

// lasts reports whether nothing has ended the contact since the last confirmation. The
// caller holds mu.
func (c *contact) lasts() bool {
	return c.confirmed != moment{} && time.Since(c.confirmed.at) <= contactGap &&
		c.Suspended()-c.confirmed.suspended <= suspendTolerance
}
