package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/hornbeamstage/hornbeamstage/delay"
)

// eventPoll is the interval at which a stream of cache events checks for events to
// send.
const eventPoll = 100 * time.Millisecond

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	markPublishing(r)
	if !e.Capabilities.CacheEvents {
		writeError(w, http.StatusNotFound, "no_cache_events")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	next, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		next = e.firstPendingEvent()
	}
	for r.Context().Err() == nil {
		var due []byte
		due, next = e.dueEvents(next)
		if len(due) > 0 {
			_, _ = w.Write(due)
			w.(http.Flusher).Flush()
		}
		_ = delay.For(r.Context(), eventPoll)
	}
}

// firstPendingEvent returns the sequence number of the first event that is younger
// than eventLag, or of the next event if there is none.
func (e *Engine) firstPendingEvent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	i := len(e.events.entries)
	for i > 0 && now.Sub(e.events.entries[i-1].at) < eventLag {
		i--
	}
	return e.events.first + i
}

// dueEvents returns, in the format of server-sent events, the events from sequence
// number next on that are at least eventLag old, and the number that follows them.
func (e *Engine) dueEvents(next int) (b []byte, after int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if next < e.events.first || next > e.events.first+len(e.events.entries) {
		next = e.events.first
	}
	for next-e.events.first < len(e.events.entries) {
		ev := e.events.entries[next-e.events.first]
		if now.Sub(ev.at) < eventLag {
			break
		}
		if !ev.lost {
			data, _ := json.Marshal(ev.data)
			b = fmt.Appendf(b, "id: %d\ndata: %s\n\n", next, data)
		}
		next++
	}
	return b, next
}
