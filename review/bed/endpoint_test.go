package bed

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// engineSlots and serviceSlots are the numbers of requests that an engine and an
	// endpoint of a plain service run at once.
	engineSlots  = 64
	serviceSlots = 6
	// firstTokenTime is the usual time to the first token of an engine.
	firstTokenTime = 60 * time.Millisecond
	// loadTime is the time in which an engine loads weights.
	loadTime = 1300 * time.Millisecond
)

// run is one request that an endpoint ran.
type run struct {
	Request, Endpoint, Target string
	// Version is that of the weights on which it began.
	Version int
	// Began is the time at which it began to run.
	Began time.Time
	// Body is the whole body of the answer.
	Body string
}

// endpoint is a stand-in for an engine or an endpoint of a plain service.
type endpoint struct {
	ID, Service string
	// Engine is set for an engine of modelName.
	Engine bool
	// Slots is the number of requests that it runs at once; 0 means the usual number.
	Slots int
	// FirstToken is the time to the first token of an engine; 0 means the usual one.
	FirstToken time.Duration
	// Answer writes the answer to a request that runs.
	Answer func(e *endpoint, w http.ResponseWriter, r *http.Request, n *run)

	bed     *bed
	address string
	born    int64
	server  *http.Server

	mu       sync.Mutex
	runs     []*run
	running  int
	version  int
	sequence int
	busy     bool
	// cached has the cached parts, by salt and part.
	cached map[string]bool
	events [][]any
}

// addEndpoint starts an endpoint and registers it in the store.
func (b *bed) addEndpoint(e *endpoint) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	switch {
	case e.Slots != 0:
	case e.Engine:
		e.Slots = engineSlots
	default:
		e.Slots = serviceSlots
	}
	e.bed, e.address, e.born, e.version, e.cached = b, l.Addr().String(), time.Now().UnixMilli(), 1, map[string]bool{}
	if e.FirstToken == 0 {
		e.FirstToken = firstTokenTime
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/report", e.serveReport)
	m.HandleFunc("POST /v1/order", e.serveOrder)
	m.HandleFunc("GET /v1/kv-events", e.serveEvents)
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A mux would redirect requests whose path is not clean.
		if e.Engine && strings.HasPrefix(r.URL.Path, "/v1/") {
			m.ServeHTTP(w, r)
			return
		}
		e.serveRequest(w, r)
	})}
	go func() { _ = e.server.Serve(l) }()
	b.endpoints = append(b.endpoints, e)
	return e.register()
}

func (e *endpoint) close() { _ = e.server.Close() }

// models returns what the endpoint tells of its weights. The caller holds mu.
func (e *endpoint) models() []map[string]any {
	if !e.Engine {
		return nil
	}
	return []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}}}
}

// register writes the endpoint's record.
func (e *endpoint) register() error {
	e.mu.Lock()
	spec := map[string]any{
		"service": e.Service, "address": e.address, "zone": zone, "version": "v1", "slots": e.Slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 1, "born": e.born,
	}
	if e.Engine {
		spec["stage"], spec["models"] = "unified", e.models()
	}
	e.mu.Unlock()
	return e.bed.store.put("servers", e.ID, spec)
}

func (e *endpoint) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	body := map[string]any{
		"stage": "unified", "models": e.models(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": e.running,
		"kv-used": 0, "kv-total": 126201, "handles": 0, "born": e.born,
	}
	e.mu.Unlock()
	answer(w, http.StatusOK, body)
}

func (e *endpoint) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Manner, Holder string
		Version, Fence            int
		Precondition              *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "version" || o.Manner != "queue" || o.Holder == "" || o.Fence == 0 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case r.Header.Get("X-Expect-Instance") != e.ID:
		status = http.StatusMisdirectedRequest
	case e.version == o.Version:
		status = http.StatusOK
	case e.busy || o.Precondition != nil && *o.Precondition != e.sequence:
		status = http.StatusConflict
	default:
		e.busy = true
		e.sequence++
		go e.load(o.Version)
	}
	e.mu.Unlock()
	e.bed.record.add("order at %s from %s: version %d, status %d", e.ID, o.Holder, o.Version, status)
	answer(w, status, nil)
}

// load waits until the running requests have ended and loads weights.
func (e *endpoint) load(version int) {
	for {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	e.version, e.busy = version, false
	clear(e.cached)
	e.mu.Unlock()
	e.bed.record.add("%s has version %d", e.ID, version)
	_ = e.register()
}

func (e *endpoint) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(20 * time.Millisecond) {
		e.mu.Lock()
		events := e.events[min(since, len(e.events)):]
		next := len(e.events)
		e.mu.Unlock()
		if len(events) > 0 || time.Now().After(end) {
			answer(w, http.StatusOK, map[string]any{"epoch": e.born % 1e6, "next-token": next, "lost": false, "events": append([][]any{}, events...)})
			return
		}
	}
}

// serveRequest runs a request of a caller, or refuses it.
func (e *endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	e.mu.Lock()
	expected, version := r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Expect-Version")
	switch {
	case expected != "" && expected != e.ID, version != "" && version != strconv.Itoa(e.version):
		w.Header().Set("X-Instance-Id", e.ID)
		w.Header().Set("X-Weight-Versions", strconv.Itoa(e.version))
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.busy || e.running >= e.Slots:
		w.Header().Set("X-Not-Executed", "1")
		e.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := &run{
		Request: r.Header.Get("X-Request-Id"), Endpoint: e.ID, Target: r.RequestURI,
		Version: e.version,
	}
	e.running++
	n.Began = time.Now().Add(e.FirstToken)
	if !e.Engine {
		n.Began = time.Now()
	}
	e.readPrompt(r.Header)
	e.runs = append(e.runs, n)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.bed.record.add("%s runs %s: %s", e.ID, n.Request, r.RequestURI)
	if e.Engine {
		time.Sleep(e.FirstToken)
		w.Header().Set("X-Weight-Versions", strconv.Itoa(n.Version))
	}
	w.Header().Set("X-Instance-Stamp", "stamp-"+e.ID)
	e.Answer(e, w, r, n)
}

// readPrompt records the parts of a prompt that are cached from now on under the request's
// salt. The caller holds mu.
func (e *endpoint) readPrompt(h http.Header) {
	if !e.Engine || h.Get("X-Prefix-Hash") == "" {
		return
	}
	salt := h.Get("X-Cache-Salt")
	for _, part := range strings.Split(h.Get("X-Prefix-Hash"), ",") {
		id, tokens, _ := strings.Cut(part, ":")
		if e.cached[salt+" "+id] {
			continue
		}
		e.cached[salt+" "+id] = true
		n, _ := strconv.Atoi(tokens)
		e.events = append(e.events, []any{len(e.events) + 1, "+", salt, id, n, modelName})
	}
}

// allRuns returns the requests that all endpoints ran.
func (b *bed) allRuns() (all []run) {
	for _, e := range b.endpoints {
		e.mu.Lock()
		for _, n := range e.runs {
			all = append(all, *n)
		}
		e.mu.Unlock()
	}
	return all
}

// streamAnswer returns an answer of a number of events with a pause between each two.
func streamAnswer(events int, gap time.Duration) func(*endpoint, http.ResponseWriter, *http.Request, *run) {
	return func(_ *endpoint, w http.ResponseWriter, r *http.Request, n *run) {
		w.Header().Set("Content-Type", "text/event-stream")
		for k := 1; k <= events; k++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", k, k, n.Request); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			if sleep(r.Context(), gap) != nil {
				return
			}
		}
	}
}
