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

const (
	probeEvery = 500 * time.Millisecond
	// maxConfigDelay is the time within which a configuration change must be in
	// force at every instance.
	maxConfigDelay = 9 * time.Second
)

// probe tries the key of a newly configured workspace at every instance until the
// end of the trace.
type probe struct {
	workspace hbs.WorkspaceID
	started   time.Time
	// slowest is the longest time until an instance first accepted the key.
	slowest    time.Duration
	violations []Violation
}

func (p *probe) run(ctx context.Context, r *Replay) {
	end := r.began.Add(trace.Seconds(r.Trace.Header.Seconds))
	var wg conc.WaitGroup
	seen := make([]*instanceProbe, len(r.fleet.instances))
	for i, in := range r.fleet.instances {
		seen[i] = &instanceProbe{in: in}
		wg.Go(func() { seen[i].poll(ctx, r, p, end) })
	}
	wg.Wait()
	for _, s := range seen {
		p.slowest = max(p.slowest, s.took)
		p.violations = append(p.violations, s.violations...)
	}
}

// instanceProbe is the state of a probe at one instance.
type instanceProbe struct {
	in         *instance
	took       time.Duration
	accepted   bool
	violations []Violation
}

func (s *instanceProbe) poll(ctx context.Context, r *Replay, p *probe, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		s.recordStatus(s.request(ctx, r, p), time.Since(p.started))
		_ = delay.For(ctx, probeEvery)
	}
}

// recordStatus processes the HTTP status of one try; 0 means no answer.
func (s *instanceProbe) recordStatus(status int, after time.Duration) {
	switch {
	case status == http.StatusOK && !s.accepted:
		s.accepted = true
		s.took = after
	case status == http.StatusUnauthorized && s.accepted:
		s.accepted = false
		s.violations = append(s.violations, ViolationConfigReverted)
	case status == http.StatusUnauthorized && after > maxConfigDelay:
		s.violations = append(s.violations, ViolationConfigLate)
	}
}

func (s *instanceProbe) request(ctx context.Context, r *Replay, p *probe) (status int) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.in.callersAddress().String()+"/v1/models", nil)
	r.fleet.must(err)
	req.Header.Set("Authorization", "Bearer "+bearerKey(p.workspace))
	resp, err := r.callers.transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
