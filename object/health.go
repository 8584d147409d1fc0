package object

import (
	"math/rand/v2"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Health assumes an outage after OutageThreshold consecutive failures. From
// then on about one call per ProbeInterval is sent to probe the platform.
const (
	OutageThreshold = 3
	ProbeInterval   = 500 * time.Millisecond
)

// Health detects outages of the platform from the results of calls. The zero value
// is ready to use.
type Health struct {
	mu sync.Mutex
	// failures counts the failed calls since the last response that shows that the
	// platform is available.
	failures int
	// nextProbe is when the next call may be tried during an outage.
	nextProbe time.Time
}

// Allow reports whether to send a call. During an outage it returns true once per
// ProbeInterval on average, with jitter.
func (h *Health) Allow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures < OutageThreshold {
		return true
	}
	now := time.Now()
	if now.Before(h.nextProbe) {
		return false
	}
	h.nextProbe = now.Add(ProbeInterval/2 + rand.N(ProbeInterval))
	return true
}

// down reports whether an outage is assumed.
func (h *Health) down() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= OutageThreshold
}

// observe records the result of a call. Conflicts and missing objects are not
// failures: the platform responded.
func (h *Health) observe(err error) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil || Is(err, hbs.ErrConflict) || Is(err, hbs.ErrNotFound) {
		h.failures = 0
		return
	}
	h.failures++
}
