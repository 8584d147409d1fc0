// Package service is a stand-in for a plain service, an endpoint that is not an
// engine. It records the calls that it executed with their ids and idempotency
// keys, and can inject faults.
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
	"github.com/hornbeamstage/hornbeamstage/standin/endless"
)

// Call holds the parameters of a request, sent as JSON body or, if the body is
// empty, in the query.
type Call struct {
	// ID is the caller's identifier of the request. A retry has the same ID.
	ID string `json:"id"`
	// Work is the duration of the call in seconds.
	Work float64 `json:"work,omitempty"`
}

// Answer is the JSON response to a call.
type Answer struct {
	ID string `json:"id"`
	// Runs is the number of times that this replica has executed calls with this ID, at
	// least 1.
	Runs int `json:"runs"`
}

// Run is the record of one call that the replica executed. Body is the ID of the
// call and Key its idempotency key.
type Run struct {
	Attempt hbs.AttemptID
	CallID  string
	Key     string
	Started time.Time
	Ended   time.Time
}

// Service is one replica of a service. Exported fields are set before Run.
type Service struct {
	ID           hbs.EndpointID
	Name         hbs.ServiceName
	Address      netip.AddrPort
	Network      hbs.Network
	Capabilities hbs.Capabilities
	// Slots is the maximum number of concurrent calls, at least 1.
	Slots int

	mu      sync.Mutex
	runs    []Run
	answers map[string]Answer
	counts  map[string]int
	faults  faults
	endless endless.Fault
	slots   chan struct{}
	restart chan time.Duration
}

// faults holds the injected faults. It is guarded by the service's mutex.
type faults struct {
	failAfter  int
	dieAfter   int
	slowFactor float64
	slowUntil  time.Time
	answer     http.HandlerFunc
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "service %s", s.ID) }()
	s.init()
	for ctx.Err() == nil {
		down, err := s.runIncarnation(ctx)
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
	s.answers = map[string]Answer{}
	s.counts = map[string]int{}
	s.restart = make(chan time.Duration, 1)
}

func (s *Service) runIncarnation(ctx context.Context) (down time.Duration, err error) {
	l, err := s.Network.Listen(s.Address)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	srv := &http.Server{Handler: s.endless.Handler(ctx, &wg, s)}
	wg.Go(func() { _ = srv.Serve(l) })
	select {
	case <-ctx.Done():
	case down = <-s.restart:
	}
	cancel()
	srv.Close()
	wg.Wait()
	return down, nil
}

// Crash aborts the connections of all calls. The replica accepts connections again
// after down.
func (s *Service) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.restart <- down:
	default:
	}
}

// FailAfterRun answers the next n calls with status 500 after executing them.
func (s *Service) FailAfterRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.failAfter = n
}

// AbortAfterRun aborts the connections of the next n calls after executing them.
func (s *Service) AbortAfterRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dieAfter = n
}

// AnswerWith answers the calls from now on with h, after executing them.
func (s *Service) AnswerWith(h http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.answer = h
}

// AnswerEndlessly answers calls of the next d, which are not executed, with bytes
// that never end, in the header, in the body of an error or after a switch of
// protocols.
func (s *Service) AnswerEndlessly(d time.Duration) {
	s.endless.Begin(d, endless.HeaderLines, endless.ErrorBody, endless.Switched(""))
}

// Slow multiplies the duration of calls by factor for the next d.
func (s *Service) Slow(factor float64, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slowFactor = factor
	s.faults.slowUntil = time.Now().Add(d)
}

// Runs returns the records of all executed calls.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Record returns the endpoint record of the replica as the platform lists it.
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

// ServeHTTP implements http.Handler. A received call is executed to its end even if
// the connection is lost, as with a service whose calls have lasting effects.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := decode(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	a, known := s.cachedAnswer(r)
	if !known {
		a = s.run(c, hbs.AttemptID(attempt), r.Header.Get("Idempotency-Key"))
	}
	if s.Capabilities.EchoesAttempt {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if s.injectFault(w, r) {
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

// cachedAnswer returns the earlier answer for the request's idempotency key, if the
// replica deduplicates and has one.
func (s *Service) cachedAnswer(r *http.Request) (a Answer, known bool) {
	if !s.Capabilities.Deduplicates {
		return a, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a, known = s.answers[r.Header.Get("Idempotency-Key")]
	return a, known
}

func (s *Service) run(c Call, attempt hbs.AttemptID, key string) Answer {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	started := time.Now()
	time.Sleep(s.duration(c))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{attempt, c.ID, key, started, time.Now()})
	s.counts[c.ID]++
	a := Answer{ID: c.ID, Runs: s.counts[c.ID]}
	if key != "" {
		s.answers[key] = a
	}
	return a
}

func (s *Service) duration(c Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := c.Work
	if time.Now().Before(s.faults.slowUntil) {
		d *= s.faults.slowFactor
	}
	return time.Duration(d * float64(time.Second))
}

// injectFault applies the faults that occur after execution. It reports whether it
// has written the response.
func (s *Service) injectFault(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	fail, die, answer := s.faults.failAfter > 0, s.faults.dieAfter > 0, s.faults.answer
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
	if answer != nil {
		answer(w, r)
	}
	return answer != nil
}
