package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamstage/hornbeamstage/platform"
)

const (
	// heartbeat is the time between two writes of an endpoint's record.
	heartbeat = 1200 * time.Millisecond
	// weights is the version of the weights of all engines.
	weights = 1
)

// endpoint is an engine, or a plain service if it has no model. It runs each request
// that names it, to its end.
type endpoint struct {
	scene   *scene
	id      string
	service string
	model   string
	slots   int
	work    time.Duration
	addr    netip.AddrPort
	born    int64

	mu sync.Mutex
	// runs has the requests that were run, in order.
	runs []run
	// cached has the tenant whose request made a cached part, by salt and part.
	cached map[string]string
	// events has the cache events.
	events [][]any
	// spoil is the share of the answers whose status line is spoiled, spoiled their number.
	// endless is the share of those that have no end, endlessly their number.
	spoil, endless     float64
	spoiled, endlessly int
}

// run is one request that an endpoint ran.
type run struct {
	request, host, target, tenant, salt string
	// reused has the tenants whose cached parts the request used.
	reused []string
	// whole is set once the answer was written.
	whole bool
}

// startEndpoint starts an endpoint and registers it.
func (s *scene) startEndpoint(id, service, model string, slots int, work time.Duration) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return nil, err
	}
	e := &endpoint{scene: s, id: id, service: service, model: model, slots: slots, work: work, addr: addr, born: time.Now().UnixMilli(), cached: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("GET /v1/kv-events", e.serveEvents)
	mux.HandleFunc("/", e.serve)
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(l) }()
	context.AfterFunc(s.ctx, func() { _ = srv.Close() })
	go e.beat()
	return e, nil
}

// beat writes the endpoint's record every heartbeat.
func (e *endpoint) beat() {
	for n := 1; e.scene.ctx.Err() == nil; n++ {
		record := map[string]any{
			"service": e.service, "address": e.addr.String(), "zone": zone, "version": "1", "slots": e.slots, "state": "ready",
			"cold-remaining-ms": 0, "sequence": n, "born": e.born,
		}
		if e.model != "" {
			record["stage"], record["models"] = "unified", e.models()
		}
		if err := e.scene.store.Put(platform.KindEndpoints, e.id, record); err != nil {
			e.scene.note("record of %s not written: %v", e.id, err)
		}
		time.Sleep(heartbeat)
	}
}

func (e *endpoint) models() []any {
	return []any{map[string]any{"name": e.model, "version": weights, "adapters": []any{}}}
}

func (e *endpoint) serveReport(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "unified", "models": e.models(), "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv-used": 0, "kv-total": 100000,
		"handles": 0, "born": e.born,
	})
}

// serveEvents answers with the cache events after a number, or with none after a wait.
func (e *endpoint) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	until := time.Now().Add(time.Duration(min(wait, 1000)) * time.Millisecond)
	found := [][]any{}
	for {
		e.mu.Lock()
		found = append(found, e.events[min(since, len(e.events)):]...)
		e.mu.Unlock()
		if len(found) > 0 || time.Now().After(until) || r.Context().Err() != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": e.born, "next-token": since + len(found), "lost": false, "events": found})
}

// serve runs a request that is meant for this endpoint.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", e.id)
	expected, version := r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Expect-Version")
	if expected != "" && expected != e.id || version != "" && version != strconv.Itoa(weights) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	n := e.begin(r, id)
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Instance-Stamp", fmt.Sprintf("%s.%d", e.id, n))
	if e.spoils() {
		spoilStatus(w, h, id)
		return
	}
	if e.hasNoEnd() {
		writeEndless(w, h, id)
		return
	}
	if e.model == "" {
		body := "done " + id + "\n"
		h.Set("Content-Length", strconv.Itoa(len(body)))
		if _, err := io.WriteString(w, body); err == nil {
			e.end(n)
		}
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", strconv.Itoa(weights))
	for i := 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
	}
	e.end(n)
}

// begin records a run and returns its number.
func (e *endpoint) begin(r *http.Request, id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := run{request: id, host: r.Host, target: r.RequestURI, tenant: r.Header.Get("X-Tenant"), salt: r.Header.Get("X-Cache-Salt")}
	if e.model != "" {
		x.reused = e.readPrompt(r.Header.Get("X-Prefix-Hash"), &x)
	}
	e.runs = append(e.runs, x)
	return len(e.runs) - 1
}

// readPrompt finds the cached parts of a prompt up to the first that is missing, and
// caches the others. It returns the tenants that made those that were found. The caller
// holds mu.
func (e *endpoint) readPrompt(prompt string, x *run) (reused []string) {
	missing := false
	for part := range strings.SplitSeq(prompt, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		key := x.salt + "\x00" + id
		if by, ok := e.cached[key]; ok && !missing {
			reused = append(reused, by)
			continue
		}
		missing = true
		e.cached[key] = x.tenant
		n, _ := strconv.Atoi(tokens)
		e.events = append(e.events, []any{len(e.events) + 1, "+", x.salt, id, n, e.model})
	}
	return reused
}

// end records that the answer of the n-th run was written.
func (e *endpoint) end(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[n].whole = true
}

// ran returns the runs so far.
func (e *endpoint) ran() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

// setSpoil sets the share of the answers whose status line is spoiled. It returns the
// number of those that were.
func (e *endpoint) setSpoil(share float64) (spoiled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spoil = share
	return e.spoiled
}

// spoils reports whether the next answer is spoiled.
func (e *endpoint) spoils() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rand.Float64() >= e.spoil {
		return false
	}
	e.spoiled++
	return true
}

// spoilStatus writes an answer whose status line has a wrong digit, and ends the
// connection.
func spoilStatus(w http.ResponseWriter, h http.Header, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := "done " + id + "\n"
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 OK\r\nX-Request-Id: %s\r\nX-Instance-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, h.Get("X-Instance-Stamp"), len(body), body)
}

// setEndless sets the share of the answers that have no end. It returns the number of
// those that had none.
func (e *endpoint) setEndless(share float64) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endless = share
	return e.endlessly
}

// hasNoEnd reports whether the next answer has no end.
func (e *endpoint) hasNoEnd() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rand.Float64() >= e.endless {
		return false
	}
	e.endlessly++
	return true
}

// writeEndless writes a head that changes the protocol, which nobody asked for, and bytes
// until the caller closes.
func writeEndless(w http.ResponseWriter, h http.Header, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nX-Request-Id: %s\r\nX-Instance-Stamp: %s\r\n\r\n", id, h.Get("X-Instance-Stamp"))
	for err == nil {
		_, err = io.WriteString(conn, "x")
		time.Sleep(200 * time.Millisecond)
	}
}
