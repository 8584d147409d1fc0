package bed

import (
	"context"
	"fmt"
	"time"
)

// runIsolation judges WALL: a tenant becomes isolated by a new configuration. Requests
// of another tenant that are sent after the configuration must be in force may not use
// what its requests left in the engines' KV cache.
func runIsolation(ctx context.Context, b *bed) (broken int, err error) {
	const (
		owner, other = "owner", "other"
		subjects     = 8
		interval     = 50 * time.Millisecond
	)
	if err := b.start(2); err != nil {
		return 0, err
	}
	c := &config{
		Version: 3,
		Routes: []route{{
			Name: "grade", Host: host, Prefix: "/grade/", Kind: "stream", TimeoutMS: 4000, ObjectiveMS: 500, GapMS: 250, Priority: 1,
			Service: "assist", Attempts: 2, Sticky: true, Resumable: true,
		}},
		Services: []map[string]any{engineService("assist")},
		Tenants:  []tenant{{Name: owner, Keys: []string{"owner-key"}, Priority: 1}, {Name: other, Keys: []string{"other-key"}, Priority: 1}},
	}
	if _, err := b.apply(c); err != nil {
		return 0, err
	}
	for k := range 4 {
		e := &endpoint{ID: fmt.Sprintf("i-engine%d", k), Service: "assist", Engine: true, Answer: streamAnswer(5, 20*time.Millisecond)}
		if err := b.addEndpoint(e); err != nil {
			return 0, err
		}
	}
	if err := b.launchAll(ctx); err != nil {
		return 0, err
	}
	callers := []*caller{b.newCaller(b.instances[0]), b.newCaller(b.instances[1])}
	send := func(key string, n int) []reply {
		return burst(ctx, callers, interval, func(k int) (request, bool) {
			prompt := fmt.Sprintf("5c1e07a2:2520,91bd%04x:3780,%s%04x:100", k%subjects, key[:2], k)
			return request{Method: "POST", Path: "/grade/1", Key: key, Prompt: prompt, Deadline: 4 * time.Second, Body: "sheet"}, k < n
		})
	}
	send("owner-key", 80)
	isolated := map[string]bool{}
	inForce := time.Now()
	if b.Trouble {
		c.Version, c.Tenants[0].Isolated = 5, true
		acknowledged, err := b.apply(c)
		if err != nil {
			return 0, err
		}
		isolated[owner], inForce = true, acknowledged.Add(configDeadline)
	}
	if err := sleep(ctx, configDeadline+time.Second); err != nil {
		return 0, err
	}
	sent := map[string]time.Time{}
	for _, p := range send("other-key", 80) {
		sent[p.ID] = p.Sent
	}
	used := 0
	for _, n := range b.allRuns() {
		if len(n.Foreign) == 0 || n.Tenant != other {
			continue
		}
		used++
		if at, ok := sent[n.Request]; ok && at.After(inForce) && (isolated[owner] || isolated[other]) {
			broken++
			b.record.add("WALL: %s of %s at %s, sent %.1f s after the configuration must be in force, used parts %q; %s is isolated",
				n.Request, n.Tenant, n.Endpoint, at.Sub(inForce).Seconds(), n.Foreign, owner)
		}
	}
	b.record.add("%d requests of %s used parts that %s's requests made", used, other, owner)
	return broken, nil
}
