package belief

import "time"

// Initial value and bounds of an endpoint's estimated eviction age.
const (
	initialAge = 60 * time.Second
	minAge     = 500 * time.Millisecond
	maxAge     = 30 * time.Minute
)

// ageSmoothing is the weight of one observation in the moving average.
const ageSmoothing = 0.2

// EvictionAge estimates the eviction age of one endpoint: how long an unused
// prefix stays in its cache. The zero value is ready to use and starts at
// initialAge.
type EvictionAge struct {
	seconds float64
	// untrustedBefore invalidates prefixes last used before this time, as the
	// events that reported their eviction may have been lost.
	untrustedBefore time.Time
}

// Value returns the estimated eviction age.
func (a *EvictionAge) Value() time.Duration {
	if a.seconds == 0 {
		return initialAge
	}
	return time.Duration(a.seconds * float64(time.Second))
}

// ObserveEviction records that a prefix was evicted, or found missing, after
// being unused for idle.
func (a *EvictionAge) ObserveEviction(idle time.Duration) { a.update(idle) }

// ObserveHit records a cache hit on a prefix unused for idle. It can only
// increase the estimate.
func (a *EvictionAge) ObserveHit(idle time.Duration) {
	if idle > a.Value() {
		a.update(idle)
	}
}

// ObserveMiss records a cache miss on a prefix that was expected to be cached
// and was unused for idle. It can only decrease the estimate.
func (a *EvictionAge) ObserveMiss(idle time.Duration) {
	if idle < a.Value() {
		a.update(idle)
	}
}

// ObservePeer records the estimate of a peer that receives the endpoint's cache
// events.
func (a *EvictionAge) ObservePeer(age time.Duration) { a.update(age) }

// update moves the estimate towards idle.
func (a *EvictionAge) update(idle time.Duration) {
	v := a.Value().Seconds()
	v += ageSmoothing * (idle.Seconds() - v)
	a.seconds = min(max(v, minAge.Seconds()), maxAge.Seconds())
}

// EventsLost records that cache events of the endpoint were lost, which may have
// included evictions. It invalidates the prefixes that were old enough to be
// evicted: those unused for half of the eviction age.
func (a *EvictionAge) EventsLost(now time.Time) {
	a.untrustedBefore = now.Add(-a.Value() / 2)
}

// Probability returns the probability that a prefix unused for idle is still
// cached.
func (a *EvictionAge) Probability(idle time.Duration, now time.Time) float64 {
	if !a.untrustedBefore.IsZero() && now.Add(-idle).Before(a.untrustedBefore) {
		return 0
	}
	return survival(idle.Seconds() / a.Value().Seconds())
}

// survival returns the probability that a prefix unused for x times the eviction
// age is still cached. It is 1 up to x = 0.5 and falls linearly to 0 at x = 1.5.
func survival(x float64) float64 {
	return min(1, max(0, 1.5-x))
}
