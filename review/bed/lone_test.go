package bed

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The traffic of tambuli-cowl's scale day, in requests a second, and the sizes of its
// requests in bytes.
const (
	notesPerSecond, verdictsPerSecond = 60, 43
	noteBytes, verdictBytes           = 1700, 18000
)

// runLone judges LOST: all instances but one are lost for good. The one that is left gets
// the whole traffic. The platform kills it if it exceeds its memory, and whatever it was
// passing on then gets no answer.
func runLone(ctx context.Context, b *bed) (broken int, err error) {
	const (
		instances, engines = 4, 12
		engineSlots        = 128
		memory             = 134 // MB
		// noteEvents and verdictEvents are the mean sizes of the sheet. They last 14.4 s and
		// 2.6 s; a pause of up to 250 ms is on time.
		noteEvents, verdictEvents, pause = 72, 13, 200 * time.Millisecond
		bookers                          = 16
		untilLoss, afterLoss             = 5 * time.Second, 30 * time.Second
		// allowed is the number of lost requests that the rule allows.
		allowed = 3
	)
	b.MemoryMB = memory
	if err := b.start(instances); err != nil {
		return 0, err
	}
	stream := route{
		Name: "note", Host: host, Prefix: "/note/", Kind: "stream", TimeoutMS: 15000, ObjectiveMS: 400, GapMS: 250, Priority: 0,
		Service: "pool", Attempts: 1, Public: true, Sticky: true,
	}
	verdict := stream
	verdict.Name, verdict.Prefix, verdict.TimeoutMS, verdict.Attempts, verdict.Resumable, verdict.Priority = "verdict", "/verdict/", 5000, 2, true, 1
	booking := route{
		Name: "book", Host: host, Prefix: "/book/", Kind: "non_idempotent", TimeoutMS: 1500, ObjectiveMS: 300, Priority: 2, Service: "desk",
		Attempts: 1, Public: true,
	}
	c := &config{Version: 3, Routes: []route{stream, verdict, booking}, Services: []map[string]any{engineService("pool"), plainService("desk")}}
	if _, err := b.apply(c); err != nil {
		return 0, err
	}
	note, short := streamAnswer(noteEvents, pause), streamAnswer(verdictEvents, pause)
	for k := range engines {
		e := &endpoint{ID: fmt.Sprintf("i-engine%d", k), Service: "pool", Engine: true, Slots: engineSlots, Answer: func(e *endpoint, w http.ResponseWriter, r *http.Request, n *run) {
			if strings.HasPrefix(n.Target, "/note/") {
				note(e, w, r, n)
				return
			}
			short(e, w, r, n)
		}}
		if err := b.addEndpoint(e); err != nil {
			return 0, err
		}
	}
	for k := range 4 {
		e := &endpoint{ID: fmt.Sprintf("i-desk%d", k), Service: "desk", Answer: func(_ *endpoint, w http.ResponseWriter, _ *http.Request, n *run) {
			time.Sleep(60 * time.Millisecond)
			_, _ = fmt.Fprintf(w, "booked %s", n.Request)
		}}
		if err := b.addEndpoint(e); err != nil {
			return 0, err
		}
	}
	if err := b.launchAll(ctx); err != nil {
		return 0, err
	}
	survivor := b.instances[0]
	var lost atomic.Bool
	// pick returns the instance to which the platform forwards the k-th new channel.
	pick := func(k int) *instance {
		if lost.Load() {
			return survivor
		}
		return b.instances[k%instances]
	}
	ctx, cancel := context.WithTimeout(ctx, untilLoss+afterLoss)
	defer cancel()
	var wg sync.WaitGroup
	watched, most := b.watchMemory(ctx, memory<<20)
	traffic := func(perSecond int, path, prompt string, size int, deadline time.Duration) {
		wg.Go(func() {
			body := strings.Repeat("x", size)
			tick := time.NewTicker(time.Second / time.Duration(perSecond))
			defer tick.Stop()
			for k := 0; ; k++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				wg.Go(func() {
					q := request{Method: "POST", Path: path, Prompt: fmt.Sprintf(prompt, k%40, k%235, k), Deadline: deadline, Body: body}
					b.newCaller(pick(k)).send(ctx, q)
				})
			}
		})
	}
	traffic(notesPerSecond, "/note/1", "35%04x:119,cb%04x:79,ab%04x:430", noteBytes, 15*time.Second)
	traffic(verdictsPerSecond, "/verdict/1", "5c%04x:2520,91%04x:3780,bd%04x:2890", verdictBytes, 5*time.Second)
	var mu sync.Mutex
	var booked []reply
	for k := range bookers {
		wg.Go(func() {
			for ctx.Err() == nil {
				kept := b.newCaller(pick(k))
				for ctx.Err() == nil {
					p := kept.send(context.WithoutCancel(ctx), request{Method: "POST", Path: "/book/1", Deadline: 1500 * time.Millisecond, Body: "crew"})
					mu.Lock()
					booked = append(booked, p)
					mu.Unlock()
					if p.Status == 0 || !p.Complete {
						break
					}
				}
				_ = sleep(ctx, 100*time.Millisecond)
			}
		})
	}
	if err := sleep(ctx, untilLoss); err != nil {
		return 0, err
	}
	if b.Trouble {
		lost.Store(true)
		for _, i := range b.instances[1:] {
			b.record.add("%s is lost for good", i.name)
			i.kill()
		}
	}
	wg.Wait()
	<-watched
	ran := map[string]bool{}
	for _, n := range b.allRuns() {
		ran[n.Request] = true
	}
	unanswered := 0
	for _, p := range booked {
		if ran[p.ID] && p.Status == 0 && p.Instance == survivor.name {
			unanswered++
			b.record.add("LOST: %s, a booking on a kept channel to %s, ran and got no answer", p.ID, p.Instance)
		}
	}
	b.record.add("the largest memory of an instance was %d MiB, and %d bookings that ran got no answer", most.Load()>>20, unanswered)
	fmt.Printf("largest memory %d MiB, %d bookings without an answer\n", most.Load()>>20, unanswered)
	if unanswered > allowed {
		broken = unanswered
	}
	return broken, nil
}

// watchMemory plays the platform: until ctx ends it kills each instance whose resident
// memory exceeds a number of bytes, and starts it again. most has the largest memory seen.
func (b *bed) watchMemory(ctx context.Context, bytes int64) (done <-chan struct{}, most *atomic.Int64) {
	const restartDelay = 500 * time.Millisecond
	ended := make(chan struct{})
	most = &atomic.Int64{}
	go func() {
		defer close(ended)
		for sleep(ctx, 20*time.Millisecond) == nil {
			for _, i := range b.instances {
				n := i.residentMemory()
				most.Store(max(most.Load(), n))
				if n <= bytes {
					continue
				}
				b.record.add("%s has %d MiB and is killed", i.name, n>>20)
				i.kill()
				if sleep(ctx, restartDelay) == nil {
					_ = i.launch()
				}
			}
		}
	}()
	return ended, most
}

// residentMemory returns the resident memory of the process in bytes, 0 if it has ended.
func (i *instance) residentMemory() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
