package bed

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// runSignals judges LOST around planned work: an instance that stops gets SIGTERM again
// before its grace time has passed, as when two planned operations overlap.
func runSignals(ctx context.Context, b *bed) (broken int, err error) {
	const (
		events   = 25
		gap      = 200 * time.Millisecond // streams of 5 s
		interval = 150 * time.Millisecond
		requests = 60
		// untilStop is the time from the first request to the first signal, between is the
		// time to the second one.
		untilStop, between = 4 * time.Second, 1500 * time.Millisecond
	)
	if err := b.start(2); err != nil {
		return 0, err
	}
	c := &config{
		Version: 3,
		Routes: []route{{
			Name: "reply", Host: host, Prefix: "/reply/", Kind: "stream", TimeoutMS: 12000, ObjectiveMS: 300, GapMS: 250, Priority: 0,
			Service: "assist", Attempts: 1, Public: true, Sticky: true,
		}},
		Services: []map[string]any{engineService("assist")},
	}
	if _, err := b.apply(c); err != nil {
		return 0, err
	}
	for k := range 3 {
		if err := b.addEndpoint(&endpoint{ID: fmt.Sprintf("i-engine%d", k), Service: "assist", Engine: true, Answer: streamAnswer(events, gap)}); err != nil {
			return 0, err
		}
	}
	if err := b.launchAll(ctx); err != nil {
		return 0, err
	}
	stopped := b.instances[0]
	var first time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		if sleep(ctx, untilStop) != nil {
			return
		}
		first = time.Now()
		stopped.signal(syscall.SIGTERM)
		if b.Trouble && sleep(ctx, between) == nil {
			stopped.signal(syscall.SIGTERM)
		}
	}()
	toStopped, toOther := b.newCaller(stopped), b.newCaller(b.instances[1])
	replies := burst(ctx, []*caller{toStopped, toOther}, interval, func(k int) (request, bool) {
		if k > int(untilStop/interval) {
			// The platform sends new channels to other instances.
			toStopped.instance = b.instances[1]
		}
		prompt := fmt.Sprintf("352a7024:119,cbb7%04x:79,ab%04x:430", k%20, k)
		return request{Method: "POST", Path: "/reply/1", Prompt: prompt, Deadline: 12 * time.Second, Body: "letter"}, k < requests
	})
	<-done
	ran := map[string]bool{}
	for _, n := range b.allRuns() {
		ran[n.Request] = true
	}
	for _, p := range replies {
		if ran[p.ID] && !p.Complete && p.Sent.Before(first) {
			broken++
			b.record.add("LOST: %s was passed on to an engine and its channel ended without a complete answer (status %d, %d bytes); it was sent %.1f s before the first SIGTERM",
				p.ID, p.Status, len(p.Body), first.Sub(p.Sent).Seconds())
		}
	}
	return broken, nil
}
