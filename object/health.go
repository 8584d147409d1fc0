package object

import (
	"math/rand/v2"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// An outage is believed after OutageAfter failures in a row; then one call in
// each OutagePause probes the platform.
const (
	OutageAfter = 3
	OutagePause = 500 * time.Millisecond
)

// Health believes in an outage of the platform from the results of calls. The
// zero value is ready.
type Health struct {
	mu sync.Mutex
	// failures counts the failures since the last answer.
	failures int
	// probe is when the next call may be tried during an outage.
	probe time.Time
}

// Allow reports whether a call is worth sending. During an outage it is true
// for one caller in each OutagePause, jittered.
func (h *Health) Allow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures < OutageAfter {
		return true
	}
	now := time.Now()
	if now.Before(h.probe) {
		return false
	}
	h.probe = now.Add(OutagePause/2 + rand.N(OutagePause))
	return true
}

func (h *Health) down() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= OutageAfter
}

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
