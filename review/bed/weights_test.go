package bed

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// runWeights judges VERSION: the instance that last wrote to the store under a condition
// is killed just before operators name new weights. Streams of several seconds run at the
// engines, which finish them before they change their weights.
func runWeights(ctx context.Context, b *bed) (broken int, err error) {
	const (
		events   = 40
		gap      = 200 * time.Millisecond // streams of 8 s
		interval = 40 * time.Millisecond
		// warmUp is the time from the first request to the kill, downTime the time until
		// the process is started again.
		warmUp, downTime = 8 * time.Second, 500 * time.Millisecond
		// watched is the time after the acknowledgement in which requests are sent.
		watched = 18 * time.Second
	)
	if err := b.start(3); err != nil {
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
	if err := b.store.put("versions", modelName, map[string]any{"model": modelName, "version": 1}); err != nil {
		return 0, err
	}
	for k := range 12 {
		if err := b.addEndpoint(&endpoint{ID: fmt.Sprintf("i-engine%d", k), Service: "assist", Engine: true, Answer: streamAnswer(events, gap)}); err != nil {
			return 0, err
		}
	}
	if err := b.launchAll(ctx); err != nil {
		return 0, err
	}
	var acknowledged time.Time
	killed := ""
	done := make(chan error, 1)
	go func() {
		done <- func() error {
			if err := sleep(ctx, warmUp); err != nil {
				return err
			}
			leader := b.findInstance(b.store.leader())
			if leader == nil {
				return errors.New("no instance has written under a condition")
			}
			if b.Trouble {
				killed = leader.name
				b.record.add("SIGKILL to %s", leader.name)
				leader.kill()
			}
			if err := b.store.put("versions", modelName, map[string]any{"model": modelName, "version": 2}); err != nil {
				return err
			}
			acknowledged = time.Now()
			b.record.add("version 2 acknowledged")
			if !b.Trouble {
				return nil
			}
			if err := sleep(ctx, downTime); err != nil {
				return err
			}
			return leader.launch()
		}()
	}()
	var callers []*caller
	for _, i := range b.instances {
		callers = append(callers, b.newCaller(i))
	}
	end := time.Now().Add(warmUp + watched)
	via := map[string]string{}
	for _, p := range burst(ctx, callers, interval, func(k int) (request, bool) {
		prompt := fmt.Sprintf("352a7024:119,cbb7%04x:79,ab%04x:430", k%20, k)
		return request{Method: "POST", Path: "/reply/1", Prompt: prompt, Deadline: 12 * time.Second, Body: "letter"}, time.Now().Before(end)
	}) {
		via[p.ID] = p.Instance
	}
	if err := <-done; err != nil {
		return 0, err
	}
	for _, n := range b.allRuns() {
		if n.Version >= 2 || !n.Began.After(acknowledged.Add(convergeTime)) || via[n.Request] == killed {
			continue
		}
		broken++
		b.record.add("VERSION: %s, sent on by %s, which ran all the time, began at %s on version %d, %.2f s after version 2 was acknowledged",
			n.Request, via[n.Request], n.Endpoint, n.Version, n.Began.Sub(acknowledged).Seconds())
	}
	return broken, nil
}

func (b *bed) findInstance(name string) *instance {
	for _, i := range b.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}
