package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// answer relays j to its caller, whole or as events. Faults that concern
// answers apply here.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, j *job, stream bool) {
	shown, late, breakAt := e.disturb(j)
	_ = delay.For(r.Context(), late)
	e.stamp(w, shown.run.Attempt)
	defer e.release(j)
	e.hold(j)
	if !stream {
		e.whole(w, r, shown)
		return
	}
	e.relay(w, r, shown, 0, breakAt)
}

// disturb applies the faults on answers: the job to show in place of j, a
// delay, and the event after which the connection breaks (-1 for none).
func (e *Engine) disturb(j *job) (shown *job, late time.Duration, breakAt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	shown, breakAt = j, -1
	if time.Now().Before(e.faults.lateUntil) {
		late = e.faults.lateBy
	}
	if e.faults.broken > 0 {
		e.faults.broken--
		breakAt = j.output / 2
	}
	if e.faults.crossed > 0 {
		if other := e.another(j); other != nil {
			e.faults.crossed--
			shown = other
		}
	}
	return shown, late, breakAt
}

// another returns the newest unfinished job that is not j, or nil.
func (e *Engine) another(j *job) (other *job) {
	for _, k := range e.jobs {
		if k != j && !k.over && (other == nil || k.arrival > other.arrival) {
			other = k
		}
	}
	return other
}

// hold counts a connection that relays j.
func (e *Engine) hold(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers++
}

// release ends a connection that relays j; without another one within the
// resume window the job is canceled.
func (e *Engine) release(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers--
	if j.window <= 0 || !e.Capabilities.Resume {
		j.finish(EndCanceled)
		delete(e.jobs, j.run.Attempt)
		return
	}
	time.AfterFunc(j.window, func() { e.expire(j) })
}

func (e *Engine) expire(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.readers > 0 {
		return
	}
	j.finish(EndCanceled)
	delete(e.jobs, j.run.Attempt)
}

// progress returns how far j is and a channel that is closed when it goes on.
func (e *Engine) progress(j *job) (emitted int, over bool, end End, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.emitted, j.over, j.run.End, j.changed
}

// whole waits for the end of j and writes one JSON answer.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, j *job) {
	for {
		n, over, end, changed := e.progress(j)
		if over && end != EndComplete {
			writeError(w, http.StatusInternalServerError, "aborted")
			return
		}
		if over {
			writeJSON(w, http.StatusOK, e.wholeAnswer(j, n))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// relay writes the events of j from number from on.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, j *job, from, breakAt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	sent := from
	for {
		n, over, end, changed := e.progress(j)
		for ; sent < n; sent++ {
			if sent == breakAt {
				panic(http.ErrAbortHandler)
			}
			e.event(w, sent, e.chunk(j, sent))
		}
		if over && end != EndComplete {
			panic(http.ErrAbortHandler)
		}
		if over {
			e.event(w, sent, e.usageChunk(j, n))
			e.event(w, sent+1, []byte("[DONE]"))
			return
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) event(w http.ResponseWriter, id int, data []byte) {
	if e.Capabilities.Resume {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	j := e.jobs[hbs.AttemptID(p.ByName("attempt"))]
	e.mu.Unlock()
	if err != nil || from < 0 || j == nil || !e.Capabilities.Resume {
		writeError(w, http.StatusNotFound, "no_stream")
		return
	}
	e.stamp(w, j.run.Attempt)
	defer e.release(j)
	e.hold(j)
	e.relay(w, r, j, from, -1)
}

func (e *Engine) serveCancel(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := hbs.AttemptID(p.ByName("attempt"))
	if j := e.jobs[id]; j != nil {
		j.finish(EndCanceled)
		delete(e.jobs, id)
	}
	w.WriteHeader(http.StatusNoContent)
}
