package bed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// runSplice judges MIXED: a plain service answers an idempotent route with server-sent
// events, and some of its endpoints break off a few answers. A success must have the
// whole body of one run.
func runSplice(ctx context.Context, b *bed) (broken int, err error) {
	const (
		events   = 6
		interval = 16 * time.Millisecond
		requests = 340 // 5.5 s of them
		// brokenEach is the interval of answers that a faulty endpoint breaks off: one in
		// 50 is the page's share x of .02.
		brokenEach = 50
	)
	if err := b.start(2); err != nil {
		return 0, err
	}
	c := &config{
		Version: 3,
		Routes: []route{{
			Name: "status", Host: host, Prefix: "/status/", Kind: "idempotent", TimeoutMS: 1000, ObjectiveMS: 300, Priority: 2,
			Service: "desk", Attempts: 2, Public: true,
		}},
		Services: []map[string]any{plainService("desk")},
	}
	if _, err := b.apply(c); err != nil {
		return 0, err
	}
	for k := range 4 {
		faulty := b.Trouble && k%2 == 0 // the page's share of .5
		if err := b.addEndpoint(&endpoint{ID: fmt.Sprintf("i-desk%d", k), Service: "desk", Answer: statusAnswer(events, brokenEach, faulty)}); err != nil {
			return 0, err
		}
	}
	if err := b.launchAll(ctx); err != nil {
		return 0, err
	}
	replies := burst(ctx, []*caller{b.newCaller(b.instances[0]), b.newCaller(b.instances[1])}, interval, func(k int) (request, bool) {
		return request{Method: "GET", Path: fmt.Sprintf("/status/job%d", k), Deadline: time.Second}, k < requests
	})
	whole := map[string][]string{}
	for _, n := range b.allRuns() {
		whole[n.Request] = append(whole[n.Request], n.Body)
	}
	served := 0
	for _, p := range replies {
		if p.Status/100 != 2 || !p.Complete {
			continue
		}
		served++
		if !slices.Contains(whole[p.ID], p.Body) {
			broken++
			b.record.add("MIXED: %s got %d, stamp %s, as a complete answer:\n%s\nthe whole bodies of its runs are:\n%s",
				p.ID, p.Status, p.Stamp, p.Body, strings.Join(whole[p.ID], "--\n"))
		}
	}
	b.record.add("%d of %d requests were served", served, len(replies))
	if served == 0 {
		return 0, errors.New("no request was served")
	}
	return broken, nil
}

// statusAnswer returns an answer of several events whose data differ between runs. A
// faulty endpoint breaks off one in each brokenEach of them after half of its events.
func statusAnswer(events, brokenEach int, faulty bool) func(*endpoint, http.ResponseWriter, *http.Request, *run) {
	answered := 0
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request, n *run) {
		var parts []string
		for k := 1; k <= events; k++ {
			parts = append(parts, fmt.Sprintf("id: %d\ndata: step %d of %d as seen by %s at %d\n\n", k, k, events, n.Endpoint, n.Began.UnixNano()))
		}
		e.mu.Lock()
		n.Body = strings.Join(parts, "")
		answered++
		breakOff := faulty && answered%brokenEach == 0
		e.mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		for k, part := range parts {
			if breakOff && k == events/2 {
				e.bed.record.add("%s breaks off its answer to %s", e.ID, n.Request)
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte(part))
			w.(http.Flusher).Flush()
			time.Sleep(4 * time.Millisecond)
		}
	}
}
