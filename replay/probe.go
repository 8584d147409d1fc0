package replay

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// Times of a probe.
const (
	probeEvery = 500 * time.Millisecond
	// inForce is the time in which a change of configuration is in force
	// everywhere.
	inForce = 9 * time.Second
)

// probe tries a key that a change of configuration introduced at every
// instance until the end of the trace.
type probe struct {
	workspace hbs.WorkspaceID
	begun     time.Time
	// slowest is the longest time until an instance accepted the key.
	slowest  time.Duration
	breaches []Promise
}

func (p *probe) run(ctx context.Context, r *Replay) {
	end := r.began.Add(trace.Seconds(r.Trace.Header.Seconds))
	var wg conc.WaitGroup
	seen := make([]*probed, len(r.fleet.instances))
	for i, in := range r.fleet.instances {
		seen[i] = &probed{in: in}
		wg.Go(func() { seen[i].try(ctx, r, p, end) })
	}
	wg.Wait()
	for _, s := range seen {
		p.slowest = max(p.slowest, s.took)
		p.breaches = append(p.breaches, s.breaches...)
	}
}

// probed is what a probe saw at one instance.
type probed struct {
	in       *instance
	took     time.Duration
	accepted bool
	breaches []Promise
}

func (s *probed) try(ctx context.Context, r *Replay, p *probe, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		s.judge(s.ask(ctx, r, p), time.Since(p.begun))
		_ = delay.For(ctx, probeEvery)
	}
}

// judge notes one status; 0 is no answer.
func (s *probed) judge(status int, after time.Duration) {
	switch {
	case status == http.StatusOK && !s.accepted:
		s.accepted = true
		s.took = after
	case status == http.StatusUnauthorized && s.accepted:
		s.accepted = false
		s.breaches = append(s.breaches, PromiseConfigKept)
	case status == http.StatusUnauthorized && after > inForce:
		s.breaches = append(s.breaches, PromiseConfigInForce)
	}
}

func (s *probed) ask(ctx context.Context, r *Replay, p *probe) (status int) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.in.callers().String()+"/v1/models", nil)
	r.fleet.must(err)
	req.Header.Set("Authorization", "Bearer "+bearerKey(p.workspace))
	resp, err := r.callers.transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
