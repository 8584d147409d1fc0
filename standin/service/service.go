// Package service is a stand-in for a plain service beside the engines. It
// counts what it really ran, by body and by idempotency key, and has faults
// that can be turned on.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// Call is the JSON body, or in its absence the query, of a request.
type Call struct {
	// ID is the caller's name for the request; resent requests have the same.
	ID string `json:"id"`
	// Work is how long the call runs, in seconds.
	Work float64 `json:"work,omitempty"`
}

// Answer is the JSON answer of a call.
type Answer struct {
	ID string `json:"id"`
	// Runs is how often this replica has run the call, at least 1.
	Runs int `json:"runs"`
}

// Run is the service's own record of one call that it ran.
type Run struct {
	Attempt hbs.AttemptID
	Body    string
	Key     string
	Started time.Time
	Ended   time.Time
}

// Service is one replica. Exported fields are set before Run.
type Service struct {
	ID           hbs.EndpointID
	Name         hbs.ServiceName
	Address      netip.AddrPort
	Network      hbs.Network
	Capabilities hbs.Capabilities
	// Slots is the number of calls that run side by side, at least 1.
	Slots int

	mu      sync.Mutex
	runs    []Run
	known   map[string]Answer
	counts  map[string]int
	faults  faults
	slots   chan struct{}
	restart chan time.Duration
}

// faults are guarded by the service's mutex.
type faults struct {
	failAfter  int
	dieAfter   int
	slowFactor float64
	slowUntil  time.Time
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "service %s", s.ID) }()
	s.init()
	for ctx.Err() == nil {
		down, err := s.live(ctx)
		if err != nil {
			return err
		}
		_ = delay.For(ctx, down)
	}
	return ctx.Err()
}

func (s *Service) init() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = make(chan struct{}, s.Slots)
	s.known = map[string]Answer{}
	s.counts = map[string]int{}
	s.restart = make(chan time.Duration, 1)
}

func (s *Service) live(ctx context.Context) (down time.Duration, err error) {
	l, err := s.Network.Listen(s.Address)
	if err != nil {
		return 0, err
	}
	srv := &http.Server{Handler: s}
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(l) })
	select {
	case <-ctx.Done():
	case down = <-s.restart:
	}
	srv.Close()
	wg.Wait()
	return down, nil
}

// Crash cuts all calls. The replica comes back after down.
func (s *Service) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.restart <- down:
	default:
	}
}

// FailAfterRun answers the next n calls with 500 after they ran.
func (s *Service) FailAfterRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.failAfter = n
}

// DieAfterRun cuts the connection of the next n calls after they ran.
func (s *Service) DieAfterRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dieAfter = n
}

// Slow multiplies the time of calls by factor for d.
func (s *Service) Slow(factor float64, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slowFactor = factor
	s.faults.slowUntil = time.Now().Add(d)
}

// Runs returns the records of all calls that ran.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Record returns the platform's record of the replica.
func (s *Service) Record(domain hbs.DomainName, region hbs.RegionName) hbs.Endpoint {
	return hbs.Endpoint{
		ID:           s.ID,
		Kind:         hbs.KindService,
		Domain:       domain,
		Region:       region,
		Address:      s.Address,
		State:        hbs.StateLive,
		Service:      s.Name,
		Slots:        s.Slots,
		Capabilities: s.Capabilities,
	}
}

// ServeHTTP implements http.Handler. A call that was received runs to its end
// even when the connection is lost, as a booking does.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := decode(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	a, known := s.answered(r)
	if !known {
		a = s.run(c, hbs.AttemptID(attempt), r.Header.Get("Idempotency-Key"))
	}
	if s.Capabilities.EchoesAttempt {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if s.disturbed(w) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

func decode(r *http.Request) (c Call, err error) {
	defer func() { err = errors.Wrap(err, "decode call") }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return c, err
	}
	if len(b) > 0 {
		return c, json.Unmarshal(b, &c)
	}
	c.ID = r.URL.Query().Get("id")
	_, err = fmt.Sscanf("0"+r.URL.Query().Get("work"), "%f", &c.Work)
	return c, err
}

// answered returns the answer kept for the request's key where the replica
// deduplicates.
func (s *Service) answered(r *http.Request) (a Answer, known bool) {
	if !s.Capabilities.Deduplicates {
		return a, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a, known = s.known[r.Header.Get("Idempotency-Key")]
	return a, known
}

func (s *Service) run(c Call, attempt hbs.AttemptID, key string) Answer {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	started := time.Now()
	time.Sleep(s.time(c))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{attempt, c.ID, key, started, time.Now()})
	s.counts[c.ID]++
	a := Answer{ID: c.ID, Runs: s.counts[c.ID]}
	if key != "" {
		s.known[key] = a
	}
	return a
}

func (s *Service) time(c Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := c.Work
	if time.Now().Before(s.faults.slowUntil) {
		d *= s.faults.slowFactor
	}
	return time.Duration(d * float64(time.Second))
}

// disturbed applies the faults that strike after a run.
func (s *Service) disturbed(w http.ResponseWriter) bool {
	s.mu.Lock()
	fail, die := s.faults.failAfter > 0, s.faults.dieAfter > 0
	if fail {
		s.faults.failAfter--
	}
	if die && !fail {
		s.faults.dieAfter--
	}
	s.mu.Unlock()
	if fail {
		http.Error(w, `{"error":"failed after running"}`, http.StatusInternalServerError)
		return true
	}
	if die {
		panic(http.ErrAbortHandler)
	}
	return false
}
