package pool

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamstage/hornbeamstage/delay"
)

// store records the parts of a prompt as cached, as long as there are events for
// them. The caller holds mu.
func (e *Endpoint) store(h http.Header) {
	for part := range strings.SplitSeq(h.Get("X-Prefix-Hash"), ",") {
		id, tokens, ok := strings.Cut(part, ":")
		n, err := strconv.Atoi(tokens)
		if ok && err == nil {
			e.stored = append(e.stored, []any{len(e.stored) + 1, "+", h.Get("X-Cache-Salt"), id, n, string(e.Model)})
		}
	}
}

// eventsPoll is how often a question that waits looks for events.
const eventsPoll = 20 * time.Millisecond

// serveCacheEvents answers with the events after a number, at once when there are
// any.
func (e *Endpoint) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	wait, bad := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil || bad != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
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
	return e.stored[min(n, len(e.stored)):]
}
