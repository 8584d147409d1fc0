package pool

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamstage/hornbeamstage/delay"
)

// logCacheEvents appends a cache event for each well-formed part of the prompt that the
// request's X-Prefix-Hash header lists. The caller holds mu.
func (e *Endpoint) logCacheEvents(h http.Header) {
	for part := range strings.SplitSeq(h.Get("X-Prefix-Hash"), ",") {
		id, tokens, ok := strings.Cut(part, ":")
		n, err := strconv.Atoi(tokens)
		if ok && err == nil {
			e.cacheEvents = append(e.cacheEvents, []any{len(e.cacheEvents) + 1, "+", h.Get("X-Cache-Salt"), id, n, string(e.Model)})
		}
	}
}

// eventsPoll is the interval at which a long poll checks for events.
const eventsPoll = 20 * time.Millisecond

// Polls returns the number of polls for cache events.
func (e *Endpoint) Polls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls
}

// serveCacheEvents answers a long poll with the events after the number "since". It
// answers at once if there are any, and else waits up to Wait-Ms milliseconds.
func (e *Endpoint) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	wait, waitErr := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.polls++
	e.mu.Unlock()
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	events := e.eventsAfter(since)
	for len(events) == 0 && time.Now().Before(until) {
		if delay.For(r.Context(), eventsPoll) != nil {
			return
		}
		events = e.eventsAfter(since)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next-token": since + len(events), "lost": false, "events": events})
}

func (e *Endpoint) eventsAfter(n int) [][]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheEvents[min(n, len(e.cacheEvents)):]
}
