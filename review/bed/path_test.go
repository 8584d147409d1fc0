package bed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// runPath judges UNASKED: a new configuration adds a route for all paths of a host, and
// requests whose path begins with two slashes take it. They must reach the endpoint with
// the path that their callers sent.
func runPath(ctx context.Context, b *bed) (broken int, err error) {
	const requests = 20
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
	for k := range 3 {
		e := &endpoint{ID: fmt.Sprintf("i-desk%d", k), Service: "desk", Answer: func(_ *endpoint, w http.ResponseWriter, _ *http.Request, n *run) {
			_, _ = fmt.Fprintf(w, "answer to %s for %s", n.Request, n.Target)
		}}
		if err := b.addEndpoint(e); err != nil {
			return 0, err
		}
	}
	if err := b.launchAll(ctx); err != nil {
		return 0, err
	}
	if b.Trouble {
		all := c.Routes[0]
		all.Name, all.Prefix = "all", "/"
		c.Version, c.Routes = 5, append(c.Routes, all)
		if _, err := b.apply(c); err != nil {
			return 0, err
		}
	}
	if err := sleep(ctx, configDeadline+time.Second); err != nil {
		return 0, err
	}
	sent := map[string]string{}
	callers := []*caller{b.newCaller(b.instances[0]), b.newCaller(b.instances[1])}
	for k := range requests {
		target := fmt.Sprintf("/status/job%d?full=1", k)
		if k%2 == 1 {
			target = fmt.Sprintf("//stock/job%d?full=1", k)
		}
		p := callers[k%len(callers)].sendTarget(request{Method: "GET", Path: target, Deadline: time.Second})
		sent[p.ID] = target
	}
	runs := b.allRuns()
	for _, n := range runs {
		if n.Target != sent[n.Request] || n.Host != host {
			broken++
			b.record.add("UNASKED: %s was sent with the target %s and the host %s, and ran at %s with the target %s and the host %s",
				n.Request, sent[n.Request], host, n.Endpoint, n.Target, n.Host)
		}
	}
	if len(runs) == 0 {
		return 0, errors.New("no request ran")
	}
	return broken, nil
}
