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

// answer writes the output of j to its caller, as a stream of events or as one
// JSON object. Faults that concern answers are applied here.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, j *job, stream bool) {
	shown, late, breakAt := e.answerFaults(j)
	_ = delay.For(r.Context(), late)
	e.setIdentityHeaders(w, shown.run.Attempt)
	defer e.removeReader(j)
	e.addReader(j)
	if !stream {
		e.writeWhole(w, r, shown)
		return
	}
	e.relay(w, r, shown, 0, breakAt)
}

// answerFaults returns the effects of the injected faults on the answer to j: the
// job whose output is sent, a delay, and the number of the event before which the
// connection is aborted (-1 for none).
func (e *Engine) answerFaults(j *job) (shown *job, late time.Duration, breakAt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	shown, breakAt = j, -1
	if time.Now().Before(e.faults.delayUntil) {
		late = e.faults.answerDelay
	}
	if e.faults.brokenStreams > 0 {
		e.faults.brokenStreams--
		breakAt = j.output / 2
	}
	if e.faults.crossedAnswers > 0 {
		if other := e.newestOther(j); other != nil {
			e.faults.crossedAnswers--
			shown = other
		}
	}
	return shown, late, breakAt
}

// newestOther returns the newest unfinished job other than j, or nil.
func (e *Engine) newestOther(j *job) (other *job) {
	for _, k := range e.jobs {
		if k != j && !k.ended && (other == nil || k.arrival > other.arrival) {
			other = k
		}
	}
	return other
}

// addReader registers a connection that relays j.
func (e *Engine) addReader(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers++
}

// removeReader unregisters a connection that relays j. The job is canceled when
// its resume window passes without another reader, or at once if it has no window
// or the engine can't resume streams.
func (e *Engine) removeReader(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers--
	if j.resumeWindow <= 0 || !e.Capabilities.Resume {
		j.finish(EndCanceled)
		delete(e.jobs, j.run.Attempt)
		return
	}
	time.AfterFunc(j.resumeWindow, func() { e.expire(j) })
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

// progress returns the state of j and a channel that is closed when it changes.
func (e *Engine) progress(j *job) (emitted int, ended bool, end End, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.emitted, j.ended, j.run.End, j.changed.Next()
}

// writeWhole waits for the end of j and writes its output as one JSON object.
func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, j *job) {
	for {
		n, ended, end, changed := e.progress(j)
		if ended && end != EndComplete {
			writeError(w, http.StatusInternalServerError, "aborted")
			return
		}
		if ended {
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

// relay streams the events of j, starting with the event numbered from. It aborts
// the connection at the event breakAt, if that is not negative, and when the job
// is canceled or crashes.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, j *job, from, breakAt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	sent := from
	for {
		n, ended, end, changed := e.progress(j)
		for ; sent < n; sent++ {
			if sent == breakAt {
				panic(http.ErrAbortHandler)
			}
			e.writeEvent(w, sent, e.chunk(j, sent))
		}
		if ended && end != EndComplete {
			panic(http.ErrAbortHandler)
		}
		if ended {
			e.writeEvent(w, sent, e.usageChunk(j, n))
			e.writeEvent(w, sent+1, []byte("[DONE]"))
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

func (e *Engine) writeEvent(w http.ResponseWriter, id int, data []byte) {
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
	e.setIdentityHeaders(w, j.run.Attempt)
	defer e.removeReader(j)
	e.addReader(j)
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
