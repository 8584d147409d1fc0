package belief

import "time"

// The bounds of an endpoint's eviction age.
const (
	initialAge = 60 * time.Second
	minAge     = 500 * time.Millisecond
	maxAge     = 30 * time.Minute
)

// ageGain is the weight of one observation.
const ageGain = 0.2

// Age estimates for how long an unused prefix stays cached on one endpoint.
// The zero value starts with a default.
type Age struct {
	seconds float64
	// distrust is the time before which word of the cache may be wrong because
	// events were lost.
	distrust time.Time
}

// Value returns the estimate.
func (a *Age) Value() time.Duration {
	if a.seconds == 0 {
		return initialAge
	}
	return time.Duration(a.seconds * float64(time.Second))
}

// Evicted tells that a prefix was evicted, or found missing, after idle.
func (a *Age) Evicted(idle time.Duration) { a.move(idle) }

// Kept tells that a prefix was found cached after idle.
func (a *Age) Kept(idle time.Duration) {
	if idle > a.Value() {
		a.move(idle)
	}
}

// Missing tells that a prefix believed cached was gone after idle.
func (a *Age) Missing(idle time.Duration) {
	if idle < a.Value() {
		a.move(idle)
	}
}

// Heard takes the estimate of a peer that reads the endpoint's events.
func (a *Age) Heard(age time.Duration) { a.move(age) }

func (a *Age) move(idle time.Duration) {
	v := a.Value().Seconds()
	v += ageGain * (idle.Seconds() - v)
	a.seconds = min(max(v, minAge.Seconds()), maxAge.Seconds())
}

// Lost tells that events of the endpoint were lost, evictions perhaps among
// them. Beliefs that were old enough to be evicted are dropped: those not used
// for half of the eviction age.
func (a *Age) Lost(now time.Time) {
	a.distrust = now.Add(-a.Value() / 2)
}

// Chance returns the probability that a prefix unused for idle is still cached.
func (a *Age) Chance(idle time.Duration, now time.Time) float64 {
	if !a.distrust.IsZero() && now.Add(-idle).Before(a.distrust) {
		return 0
	}
	return fall(idle.Seconds() / a.Value().Seconds())
}

// fall is 1 up to half of the eviction age and 0 from one and a half on.
func fall(x float64) float64 {
	return min(1, max(0, 1.5-x))
}
